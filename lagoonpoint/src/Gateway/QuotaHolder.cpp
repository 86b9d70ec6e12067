#include "lagoonpoint/src/Gateway/QuotaHolder.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Fraction of the share that a standby grants while the core VM ranked before
/// it may still be granting.
constexpr double StandbyFraction = 0.5;
/// A team's entry VMs that wait for a slow core VM send requests more often
/// than this. Longer, and a standby would keep back the tokens of a core VM
/// that has failed.
constexpr Duration SeenPeriod = Duration::millis(500);
/// Below this usable fraction of the share, no tokens are granted.
constexpr double MinUsableFraction = 0.01;

} // namespace

std::set<RegionId> QuotaHolder::regions() const {
  std::set<RegionId> Out;
  for (const auto &[Zone, Region] : Settings_.Zones_)
    Out.insert(Region);
  return Out;
}

std::size_t QuotaHolder::regionCount() const {
  return std::max<std::size_t>(regions().size(), 1);
}

QuotaHolder::TeamQuota &QuotaHolder::quotaOf(const TeamId &Team) {
  auto [Found, New] = Quotas_.emplace(Team, TeamQuota());
  RateShare &Share = Found->second.RateShare_;
  if (New && Clock_.now() - StartedAt_ < Settings_.QuotaWindow_)
    Share.RefilledAt_ = StartedAt_;
  if (New)
    Share.Share_ = Share.DemandFraction_ = Share.KeptFraction_ =
        Share.FractionLimit_ = 1.0 / static_cast<double>(regionCount());
  return Found->second;
}

void QuotaHolder::updateDemand(const TeamDemand &Demand) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  ContactAt_ = Now - Demand.ContactAge_;
  // A region without core VMs is never heard.
  bool IsComplete =
      Demand.IsComplete_ &&
      (!Demand.HasUnknownRegion_ || Now - StartedAt_ > ShareExpiresAfter);
  RateMap Total;
  for (const auto &[Region, Rates] : Demand.RatesByRegion_)
    for (const auto &[Team, Rate] : Rates)
      Total[Team] += Rate;
  for (const auto &[Team, Rate] : Total)
    quotaOf(TeamId(Team));
  const RateMap &Own = Demand.RatesByRegion_.at(Settings_.Region_);
  for (auto &[Team, Quota] : Quotas_) {
    auto Here = Own.find(Team.str());
    auto Sum = Total.find(Team.str());
    updateShare(Quota.RateShare_, Here == Own.end() ? 0 : Here->second,
                Sum == Total.end() ? 0 : Sum->second, regionCount(),
                IsComplete);
  }
}

double QuotaHolder::usableFraction(const TeamQuota &Quota,
                                   const HolderRank &Rank) const {
  double Fraction = shareFactor(Clock_.now() - ContactAt_);
  if (Rank.First_)
    return Fraction;
  if (Rank.PrecedingLive_)
    return Fraction * StandbyFraction;
  // Only the link between the two is down, so that nothing can be charged.
  bool PrecedingSeen = Quota.PrecedingSeenAt_ != Time() &&
                       Clock_.now() - Quota.PrecedingSeenAt_ <= SeenPeriod;
  return PrecedingSeen ? 0 : Fraction;
}

GlobalRate QuotaHolder::rateOf(const TeamItem &Team) const {
  return {Team.Rate_, Team.Burst_, Settings_.QuotaWindow_,
          Settings_.QuotaOverage_, Settings_.QuotaSlack_};
}

void QuotaHolder::charge(const TokenCharge &Charge, const TeamItem *Team) {
  if (!Team)
    return;
  std::lock_guard Guard(Lock_);
  lagoonpoint::charge(quotaOf(Charge.Team_).RateShare_, rateOf(*Team),
                      regionCount(), Charge.Count_, Clock_.now());
}

/// Empties the bucket where another core VM, or this one before a restart, may
/// have granted the whole burst in this window. What was charged meanwhile
/// remains. Callers that were refused during an outage return together, so that
/// the tokens that accrued since the start are needed.
void QuotaHolder::startBucket(TeamQuota &Quota, const TokenRequest &Request,
                              const HolderRank &Rank, Time Now) const {
  Duration Window = Settings_.QuotaWindow_;
  bool IsFirstRequest = Quota.LastRequestAt_ == Time();
  bool JustStarted = Now - StartedAt_ < Window;
  RateShare &Share = Quota.RateShare_;
  if (Rank.First_ && JustStarted && IsFirstRequest && Rank.KnowsOthers_) {
    // Also without a request, a bucket was empty at the start.
    Quota.AccruedFrom_ = StartedAt_;
  } else if (Rank.First_ ? JustStarted && IsFirstRequest
                         : Now - Quota.LastRequestAt_ > Window) {
    Share.Tokens_ = std::min(Share.Tokens_, 0.0);
    Share.RefilledAt_ = Now;
  }
  bool OtherGranted = Quota.AccruedFrom_ != Time() && Request.OtherGranted_ &&
                      Now - Request.SinceOtherGrant_ > Quota.AccruedFrom_;
  if (OtherGranted && JustStarted) {
    Share.Tokens_ = std::min(Share.Tokens_, 0.0);
    Share.RefilledAt_ = Now;
    Quota.AccruedFrom_ = Time();
  }
}

TokenGrant QuotaHolder::grant(const TokenRequest &Request, const TeamItem *Team,
                              const HolderRank &Rank) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  TokenGrant Out{Request.Number_, Request.Team_, 0, {}, false};
  if (!Team)
    return Out;
  TeamQuota &Quota = quotaOf(Request.Team_);
  if (Request.PrecedingReplies_)
    Quota.PrecedingSeenAt_ = Now;
  double Usable = usableFraction(Quota, Rank);
  if (Usable < MinUsableFraction)
    return Out;
  startBucket(Quota, Request, Rank, Now);
  Quota.LastRequestAt_ = Now;
  GlobalRate TeamRate = rateOf(*Team);
  lagoonpoint::charge(Quota.RateShare_, TeamRate, regionCount(), Request.Used_,
                      Now);
  TakenTokens Taken = take(Quota.RateShare_, TeamRate, regionCount(), Usable,
                           Request.Waiting_, Request.Prefetch_, Now);
  Out.Count_ = Taken.Count_;
  Out.RetryAfter_ = Taken.RetryAfter_;
  Out.IsHolder_ = true;
  return Out;
}

} // namespace lagoonpoint
