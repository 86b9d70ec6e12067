#include "lagoonpoint/src/Gateway/TeamTokens.h"

#include <algorithm>
#include <chrono>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.limit";
/// A core VM of the region answers within a few milliseconds, one on a shared
/// processor within 100 ms.
constexpr Duration ReplyTimeout = Duration::millis(200);
/// A core VM that gave no usable answer is not asked again for this long.
constexpr Duration SuspicionPeriod = Duration::seconds(1);
/// Longest time that a request waits for a token.
constexpr Duration MaxTokenWait = Duration::millis(450);
/// Tokens are requested in advance for the requests expected in this time.
constexpr Duration PrefetchWindow = Duration::millis(400);
constexpr unsigned MaxPrefetch = 8;
/// An answer that has not come by then was lost with its connection.
constexpr Duration AnswerLostAfter = Duration::seconds(2);
/// While no core VM answers, this VM admits requests for this long at a
/// fraction of the rate that it was granted before.
constexpr Duration FallbackPeriod = Duration::millis(2500);
constexpr double FallbackRateFraction = 0.5;
constexpr double MaxFallbackTokens = 2;
constexpr Duration RetryAfterHint = Duration::millis(300);

bool contains(const std::vector<VmId> &Vms, const VmId &Vm) {
  return std::find(Vms.begin(), Vms.end(), Vm) != Vms.end();
}

} // namespace

void TeamTokens::setHolders(std::vector<VmId> Local, std::vector<VmId> Remote,
                            std::vector<VmId> Replying) {
  std::lock_guard Guard(Lock_);
  ReplyingHolders_ = std::move(Replying);
  LocalHolders_ = std::move(Local);
  RemoteHolders_ = std::move(Remote);
}

void TeamTokens::countService(const ServiceId &Service) {
  std::lock_guard Guard(Lock_);
  recordEvents(Services_[Service]);
}

bool TeamTokens::takeCachedToken(TeamState &State, Time Now) const {
  if (Now - State.ReceivedAt_ > TokenLifetime)
    State.Tokens_ = 0;
  if (State.Tokens_ == 0)
    return false;
  --State.Tokens_;
  return true;
}

bool TeamTokens::takeFallbackToken(TeamState &State, Time Now) const {
  if (State.LastGrantAt_ == Time() || Now - State.LastGrantAt_ > FallbackPeriod)
    return false;
  Time Since = std::max(State.FallbackUpdatedAt_, State.LastGrantAt_);
  double Gain =
      (Now - Since).inSeconds() * State.Granted_.Rate_ * FallbackRateFraction;
  State.FallbackTokens_ =
      std::min(MaxFallbackTokens, State.FallbackTokens_ + Gain);
  State.FallbackUpdatedAt_ = Now;
  if (State.FallbackTokens_ < 1)
    return false;
  State.FallbackTokens_ -= 1;
  ++State.UnreportedUsed_;
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
  // A slow answer is better than none: all of them may only be busy.
  return Order.empty() ? VmId() : Order.front();
}

/// Requests tokens unless a request is outstanding.
/// \returns false if no core VM can be asked
bool TeamTokens::requestTokens(const TeamId &Team, TeamState &State, Time Now) {
  if (State.RequestNumber_ != 0 && Now - State.SentAt_ < ReplyTimeout)
    return true;
  if (State.RequestNumber_ != 0) {
    SuspectedUntil_[State.RequestedFrom_] = Now + SuspicionPeriod;
    setOverdue(State, Now);
  }
  State.RequestedFrom_ = holderOf(Team, Now);
  if (State.RequestedFrom_.empty())
    return false;
  updateRate(State.Demand_, Now);
  auto Prefetch =
      static_cast<unsigned>(State.Demand_.Rate_ * PrefetchWindow.inSeconds());
  State.RequestNumber_ = NextRequestNumber_++;
  State.SentAt_ = Now;
  State.ReportedUsed_ = State.UnreportedUsed_;
  State.UnreportedUsed_ = 0;
  TokenRequest Out{
      State.RequestNumber_, Team,
      State.Waiting_,       std::min(Prefetch, MaxPrefetch),
      State.ReportedUsed_,  precedingReplies(Team, State.RequestedFrom_)};
  Time OtherGrantAt = lastGrantOfOthers(State);
  Out.OtherGranted_ = OtherGrantAt != Time();
  Out.SinceOtherGrant_ = Out.OtherGranted_ ? Now - OtherGrantAt : Duration();
  Send_(State.RequestedFrom_, Out);
  return true;
}

/// Ends the wait for the outstanding request. The tokens that it reports are
/// reported again only once its answer is given up, as a late one has counted
/// them.
void TeamTokens::setOverdue(TeamState &State, Time Now) const {
  State.Overdue_[State.RequestNumber_] = {State.SentAt_, State.ReportedUsed_};
  State.RequestNumber_ = 0;
  State.ReportedUsed_ = 0;
  std::erase_if(State.Overdue_, [&](const auto &Entry) {
    bool GivenUp = Now - Entry.second.SentAt_ > AnswerLostAfter;
    State.UnreportedUsed_ += GivenUp ? Entry.second.ReportedUsed_ : 0;
    return GivenUp;
  });
}

/// \returns the last grant of a core VM of this region other than the one that
/// is asked; Time() if there was none
Time TeamTokens::lastGrantOfOthers(const TeamState &State) const {
  Time Out;
  for (const auto &[Core, At] : State.GrantedAt_)
    if (Core != State.RequestedFrom_ && contains(LocalHolders_, Core))
      Out = std::max(Out, At);
  return Out;
}

void TeamTokens::take(const TeamId &Team) {
  std::unique_lock Guard(Lock_);
  TeamState &State = Teams_[Team];
  recordEvents(State.Demand_);
  Time Limit = Clock_.now() + MaxTokenWait;
  ++State.Waiting_;
  for (;;) {
    Time Now = Clock_.now();
    bool Taken = takeCachedToken(State, Now);
    if (Taken || Now < State.OverRateUntil_ || Now >= Limit ||
        !requestTokens(Team, State, Now)) {
      --State.Waiting_;
      if (Taken ||
          (Now >= State.OverRateUntil_ && takeFallbackToken(State, Now)))
        return;
      if (Now < State.OverRateUntil_)
        throw Refusal(RefusalReason::OverRate, Ran::No, Step,
                      "the team is over its rate limit",
                      State.OverRateUntil_ - Now);
      throw Refusal(RefusalReason::NotReady, Ran::No, Step,
                    "no core VM answered the request for rate limit tokens",
                    RetryAfterHint);
    }
    Duration Left = std::min(Limit, State.SentAt_ + ReplyTimeout) - Now;
    State.Changed_.wait_for(Guard, std::chrono::milliseconds(Left.count() + 1));
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

/// \returns whether a core VM that is ranked before \p Vm is known to run
bool TeamTokens::precedingReplies(const TeamId &Team, const VmId &Vm) const {
  for (const VmId &Holder : rankHolders(Team.str(), LocalHolders_)) {
    if (Holder == Vm)
      return false;
    if (contains(ReplyingHolders_, Holder) && contains(LocalHolders_, Vm))
      return true;
  }
  return false;
}

void TeamTokens::addTokens(TeamState &State, const VmId &From, unsigned Count,
                           Time Now) const {
  if (Count > 0)
    State.GrantedAt_[From] = Now;
  if (Now - State.ReceivedAt_ > TokenLifetime)
    State.Tokens_ = 0;
  State.Tokens_ += Count;
  State.ReceivedAt_ = State.LastGrantAt_ = Now;
  recordEvents(State.Granted_, Count);
  updateRate(State.Granted_, Now);
}

/// Uses the tokens of a grant that came after another core VM was asked,
/// because the sender has counted them. Too old ones would exceed the limit of
/// a window.
void TeamTokens::acceptLateGrant(TeamState &State, const VmId &From,
                                 const TokenGrant &G, Time Now) const {
  auto Found = State.Overdue_.find(G.Number_);
  if (Found == State.Overdue_.end())
    return;
  OverdueRequest Request = Found->second;
  State.Overdue_.erase(Found);
  if (!G.IsHolder_)
    State.UnreportedUsed_ += Request.ReportedUsed_;
  if (!G.IsHolder_ || Now - Request.SentAt_ > TokenLifetime)
    return;
  if (G.Count_ > 0)
    addTokens(State, From, G.Count_, Now);
  State.OverRateUntil_ = Now + G.RetryAfter_;
  State.Changed_.notify_all();
}

void TeamTokens::onGrant(const VmId &From, const TokenGrant &G) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  auto Found = Teams_.find(G.Team_);
  if (Found == Teams_.end())
    return;
  TeamState &State = Found->second;
  if (State.RequestNumber_ != G.Number_) {
    acceptLateGrant(State, From, G, Now);
    return;
  }
  State.RequestNumber_ = 0;
  if (!G.IsHolder_) {
    SuspectedUntil_[From] = Now + SuspicionPeriod;
    State.UnreportedUsed_ += State.ReportedUsed_;
  } else {
    addTokens(State, From, G.Count_, Now);
    State.FallbackTokens_ = 0;
    State.OverRateUntil_ = Now + G.RetryAfter_;
  }
  State.ReportedUsed_ = 0;
  State.Changed_.notify_all();
}

void TeamTokens::collectRates(RateMap &Teams, RateMap &Services) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  for (auto &[Team, State] : Teams_) {
    updateRate(State.Demand_, Now);
    Teams[Team.str()] = State.Demand_.Rate_;
  }
  for (auto &[Service, M] : Services_) {
    updateRate(M, Now);
    Services[Service.str()] = M.Rate_;
  }
}

} // namespace lagoonpoint
