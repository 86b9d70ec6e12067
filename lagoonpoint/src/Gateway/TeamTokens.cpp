#include "lagoonpoint/src/Gateway/TeamTokens.h"

#include <algorithm>
#include <chrono>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.limit";
/// A core VM of the region answers in a few milliseconds, one that shares its
/// processor in a tenth of a second.
constexpr Duration ReplyTimeout = Duration::millis(200);
/// A core VM that didn't answer is asked again after this.
constexpr Duration SuspicionPeriod = Duration::seconds(1);
/// Longest time that a request waits to learn whether it is over the rate.
constexpr Duration MaxTokenWait = Duration::millis(450);
/// A token not used by then is dropped: the limit holds for any window.
constexpr Duration TokenLifetime = Duration::seconds(1);
/// Tokens are asked for ahead for requests of this span.
constexpr Duration PrefetchWindow = Duration::millis(400);
constexpr unsigned MaxPrefetch = 8;
/// While no core VM answers, a VM goes on for as long, at a part of the rate
/// that it was granted before.
constexpr Duration FallbackPeriod = Duration::millis(2500);
constexpr double FallbackRateFraction = 0.5;
constexpr double MaxFallbackTokens = 2;
constexpr Duration RetryAfterHint = Duration::millis(300);

} // namespace

void TeamTokens::setHolders(std::vector<VmId> Local, std::vector<VmId> Remote) {
  std::lock_guard Guard(Lock_);
  LocalHolders_ = std::move(Local);
  RemoteHolders_ = std::move(Remote);
}

void TeamTokens::countService(const ServiceId &Service) {
  std::lock_guard Guard(Lock_);
  recordEvents(Services_[Service]);
}

bool TeamTokens::takeCachedToken(TeamState &P, Time Now) const {
  if (Now - P.ReceivedAt_ > TokenLifetime)
    P.Tokens_ = 0;
  if (P.Tokens_ == 0)
    return false;
  --P.Tokens_;
  return true;
}

bool TeamTokens::takeFallbackToken(TeamState &P, Time Now) const {
  if (P.LastGrantAt_ == Time() || Now - P.LastGrantAt_ > FallbackPeriod)
    return false;
  Time Since = std::max(P.FallbackUpdatedAt_, P.LastGrantAt_);
  double Gain =
      (Now - Since).inSeconds() * P.Granted_.Rate_ * FallbackRateFraction;
  P.FallbackTokens_ = std::min(MaxFallbackTokens, P.FallbackTokens_ + Gain);
  P.FallbackUpdatedAt_ = Now;
  if (P.FallbackTokens_ < 1)
    return false;
  P.FallbackTokens_ -= 1;
  return true;
}

VmId TeamTokens::holderOf(const TeamId &Team, Time Now) const {
  std::vector<VmId> Order = rankHolders(Team.str(), LocalHolders_);
  Order.insert(Order.end(), RemoteHolders_.begin(), RemoteHolders_.end());
  for (const VmId &Vm : Order) {
    auto Found = SuspectedUntil_.find(Vm);
    if (Found == SuspectedUntil_.end() || Now >= Found->second)
      return Vm;
  }
  return VmId();
}

/// \returns false if there is nobody to ask.
bool TeamTokens::requestTokens(const TeamId &Team, TeamState &P, Time Now) {
  if (P.RequestNumber_ != 0 && Now - P.SentAt_ < ReplyTimeout)
    return true;
  if (P.RequestNumber_ != 0)
    SuspectedUntil_[P.RequestedFrom_] = Now + SuspicionPeriod;
  P.RequestNumber_ = 0;
  P.RequestedFrom_ = holderOf(Team, Now);
  if (P.RequestedFrom_.empty())
    return false;
  updateRate(P.Demand_, Now);
  auto Prefetch =
      static_cast<unsigned>(P.Demand_.Rate_ * PrefetchWindow.inSeconds());
  P.RequestNumber_ = NextRequestNumber_++;
  P.SentAt_ = Now;
  Send_(P.RequestedFrom_,
        {P.RequestNumber_, Team, P.Waiting_, std::min(Prefetch, MaxPrefetch)});
  return true;
}

void TeamTokens::take(const TeamId &Team) {
  std::unique_lock Guard(Lock_);
  TeamState &P = Teams_[Team];
  recordEvents(P.Demand_);
  Time Limit = Clock_.now() + MaxTokenWait;
  ++P.Waiting_;
  for (;;) {
    Time Now = Clock_.now();
    bool Taken = takeCachedToken(P, Now);
    if (Taken || Now < P.OverRateUntil_ || Now >= Limit ||
        !requestTokens(Team, P, Now)) {
      --P.Waiting_;
      if (Taken || (Now >= P.OverRateUntil_ && takeFallbackToken(P, Now)))
        return;
      if (Now < P.OverRateUntil_)
        throw Refusal(RefusalReason::OverRate, Ran::No, Step,
                      "the team is over its rate", P.OverRateUntil_ - Now);
      throw Refusal(RefusalReason::NotReady, Ran::No, Step,
                    "no core VM tells whether the team is over its rate",
                    RetryAfterHint);
    }
    Duration Left = std::min(Limit, P.SentAt_ + ReplyTimeout) - Now;
    P.Changed_.wait_for(Guard, std::chrono::milliseconds(Left.count() + 1));
  }
}

void TeamTokens::returnToken(const TeamId &Team) {
  std::lock_guard Guard(Lock_);
  auto Found = Teams_.find(Team);
  if (Found == Teams_.end())
    return;
  ++Found->second.Tokens_;
  Found->second.Changed_.notify_one();
}

void TeamTokens::onGrant(const VmId &From, const TokenGrant &G) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  auto Found = Teams_.find(G.Team_);
  if (Found == Teams_.end() || Found->second.RequestNumber_ != G.Number_)
    return; // too late: another one was asked
  TeamState &P = Found->second;
  P.RequestNumber_ = 0;
  if (!G.IsHolder_) {
    SuspectedUntil_[From] = Now + SuspicionPeriod;
  } else {
    if (Now - P.ReceivedAt_ > TokenLifetime)
      P.Tokens_ = 0;
    P.Tokens_ += G.Count_;
    P.ReceivedAt_ = P.LastGrantAt_ = Now;
    P.FallbackTokens_ = 0;
    P.OverRateUntil_ = Now + G.Wait_;
    recordEvents(P.Granted_, G.Count_);
    updateRate(P.Granted_, Now);
  }
  P.Changed_.notify_all();
}

void TeamTokens::collectRates(RateMap &Teams, RateMap &Services) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  for (auto &[Team, P] : Teams_) {
    updateRate(P.Demand_, Now);
    Teams[Team.str()] = P.Demand_.Rate_;
  }
  for (auto &[Service, M] : Services_) {
    updateRate(M, Now);
    Services[Service.str()] = M.Rate_;
  }
}

} // namespace lagoonpoint
