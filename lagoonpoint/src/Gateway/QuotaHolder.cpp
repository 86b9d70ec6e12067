#include "lagoonpoint/src/Gateway/QuotaHolder.h"

#include <algorithm>
#include <set>

namespace lagoonpoint {

namespace {

/// Part of a share that a VM grants while the one before it may grant, too.
constexpr double BesideFirst = 0.5;
/// Of the part given up, no request is granted below this.
constexpr double LeastPart = 0.01;

} // namespace

std::size_t QuotaHolder::regions() const {
  std::set<RegionId> Regions;
  for (const auto &[Zone, Region] : Settings_.Zones_)
    Regions.insert(Region);
  return std::max<std::size_t>(Regions.size(), 1);
}

QuotaHolder::Part &QuotaHolder::partOf(const TeamId &Team) {
  auto [Found, New] = Parts_.emplace(Team, Part());
  RateShare &B = Found->second.Bucket_;
  if (New)
    B.Share_ = B.DemandFraction_ = 1.0 / static_cast<double>(regions());
  return Found->second;
}

void QuotaHolder::learn(const TeamDemand &Demand) {
  std::lock_guard Guard(Lock_);
  ContactAt_ = Clock_.now() - Demand.ContactAge_;
  RateMap All;
  for (const auto &[Region, Rates] : Demand.RatesByRegion_)
    for (const auto &[Team, Rate] : Rates)
      All[Team] += Rate;
  for (const auto &[Team, Rate] : All)
    partOf(TeamId(Team));
  const RateMap &Own = Demand.RatesByRegion_.at(Settings_.Region_);
  for (auto &[Team, P] : Parts_) {
    auto Here = Own.find(Team.str());
    auto Sum = All.find(Team.str());
    updateShare(P.Bucket_, Here == Own.end() ? 0 : Here->second,
                Sum == All.end() ? 0 : Sum->second, regions());
  }
}

double QuotaHolder::usable(const HolderRank &Rank) const {
  double Left = shareFactor(Clock_.now() - ContactAt_);
  return Rank.PrecedingLive_ ? Left * BesideFirst : Left;
}

TokenGrant QuotaHolder::answer(const TokenRequest &Ask, const TeamItem *Team,
                               HolderRank Rank) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  double Usable = usable(Rank);
  TokenGrant Out{Ask.Number_, Ask.Team_, 0, {}, false};
  if (!Team || Usable < LeastPart)
    return Out;
  Part &P = partOf(Ask.Team_);
  Duration Window = Settings_.QuotaWindow_;
  // Another VM, or this one before it restarted, may have granted all of it.
  bool Fresh = Rank.First_ ? Now - StartedAt_ < Window && P.AskedAt_ == Time()
                           : Now - P.AskedAt_ > Window;
  if (Fresh) {
    P.Bucket_.Tokens_ = 0;
    P.Bucket_.RefilledAt_ = Now;
  }
  P.AskedAt_ = Now;
  GlobalRate Whole{Team->Rate_, Team->Burst_, Window, Settings_.QuotaOverage_,
                   Settings_.QuotaSlack_};
  TakenTokens Taken = take(P.Bucket_, Whole, regions(), Usable, Ask.Waiting_,
                           Ask.Prefetch_, Now);
  Out.Count_ = Taken.Count_;
  Out.Wait_ = Taken.RetryAfter_;
  Out.IsHolder_ = true;
  return Out;
}

} // namespace lagoonpoint
