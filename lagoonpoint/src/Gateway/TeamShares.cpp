#include "lagoonpoint/src/Gateway/TeamShares.h"

namespace lagoonpoint {

namespace {

/// Entry VMs assumed before any core VM has told how many there are.
constexpr std::size_t AssumedVms = 16;
/// A count of entry VMs is kept for as long though smaller ones are told.
constexpr Duration VmsKept = Duration::seconds(10);

} // namespace

void TeamShares::countService(const ServiceId &Service) {
  std::lock_guard Guard(Lock_);
  count(Services_[Service]);
}

void TeamShares::take(const TeamId &Team, double Rate, double Burst) {
  std::lock_guard Guard(Lock_);
  SharedBucket &B = Teams_[Team];
  count(B.Asked_);
  std::size_t Vms = Vms_ ? Vms_ : AssumedVms;
  Time Now = Clock_.now();
  if (B.Share_ == 0)
    B.Share_ = EvenPart / static_cast<double>(Vms);
  SharedRate Whole{Rate, Burst, Settings_.QuotaWindow_, Settings_.QuotaOverage_,
                   Settings_.QuotaSlack_};
  Duration Wait = lagoonpoint::take(B, Whole, Vms, Now - TotalsAt_, Now);
  if (Wait > Duration())
    throw Refusal(RefusalReason::OverRate, Ran::No, "call.limit",
                  "the team is over its rate", Wait);
}

void TeamShares::giveBack(const TeamId &Team) {
  std::lock_guard Guard(Lock_);
  auto Found = Teams_.find(Team);
  if (Found != Teams_.end())
    Found->second.Tokens_ += 1;
}

void TeamShares::learn(const RateMap &TeamRates, std::size_t Vms,
                       Time AskedAt) {
  std::lock_guard Guard(Lock_);
  if (AskedAt <= TotalsAt_)
    return;
  TotalsAt_ = AskedAt;
  // A core VM that is cut off hears of fewer VMs than there are.
  if (Vms >= Vms_ || AskedAt - VmsAt_ > VmsKept) {
    Vms_ = Vms;
    VmsAt_ = AskedAt;
  }
  for (auto &[Team, B] : Teams_) {
    auto Found = TeamRates.find(Team.str());
    setShare(B, Found == TeamRates.end() ? 0 : Found->second, Vms_);
  }
}

void TeamShares::rates(RateMap &Teams, RateMap &Services) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  for (auto &[Team, B] : Teams_) {
    Teams[Team.str()] = tellDemand(B, Now);
  }
  for (auto &[Service, M] : Services_) {
    settle(M, Now);
    Services[Service.str()] = M.Rate_;
  }
}

} // namespace lagoonpoint
