#include "lagoonpoint/src/Gateway/TeamTokens.h"

#include <algorithm>
#include <chrono>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.limit";
/// A core VM of the region answers in a few milliseconds, one that shares its
/// processor in a tenth of a second.
constexpr Duration AnswerWithin = Duration::millis(200);
/// A core VM that didn't answer is asked again after this.
constexpr Duration Suspicion = Duration::seconds(1);
/// Longest time that a request waits to learn whether it is over the rate.
constexpr Duration LongestWait = Duration::millis(450);
/// A token not used by then is dropped: the limit holds for any window.
constexpr Duration TokenLife = Duration::seconds(1);
/// Tokens are asked for ahead for requests of this span.
constexpr Duration AheadFor = Duration::millis(400);
constexpr unsigned MostAhead = 8;
/// While no core VM answers, a VM goes on for as long, at a part of the rate
/// that it was granted before.
constexpr Duration OwnFor = Duration::millis(2500);
constexpr double OwnPart = 0.5;
constexpr double MostOwn = 2;
constexpr Duration ComeBack = Duration::millis(300);

} // namespace

void TeamTokens::setHolders(std::vector<VmId> Near, std::vector<VmId> Far) {
  std::lock_guard Guard(Lock_);
  Near_ = std::move(Near);
  Far_ = std::move(Far);
}

void TeamTokens::countService(const ServiceId &Service) {
  std::lock_guard Guard(Lock_);
  recordEvents(Services_[Service]);
}

bool TeamTokens::takeHeld(Purse &P, Time Now) const {
  if (Now - P.GotAt_ > TokenLife)
    P.Tokens_ = 0;
  if (P.Tokens_ == 0)
    return false;
  --P.Tokens_;
  return true;
}

bool TeamTokens::takeOwn(Purse &P, Time Now) const {
  if (P.TokenAt_ == Time() || Now - P.TokenAt_ > OwnFor)
    return false;
  Time Since = std::max(P.OwnAt_, P.TokenAt_);
  double Gain = (Now - Since).inSeconds() * P.Granted_.Rate_ * OwnPart;
  P.Own_ = std::min(MostOwn, P.Own_ + Gain);
  P.OwnAt_ = Now;
  if (P.Own_ < 1)
    return false;
  P.Own_ -= 1;
  return true;
}

VmId TeamTokens::holderOf(const TeamId &Team, Time Now) const {
  std::vector<VmId> Order = rankHolders(Team.str(), Near_);
  Order.insert(Order.end(), Far_.begin(), Far_.end());
  for (const VmId &Vm : Order) {
    auto Found = Suspected_.find(Vm);
    if (Found == Suspected_.end() || Now >= Found->second)
      return Vm;
  }
  return VmId();
}

/// \returns false if there is nobody to ask.
bool TeamTokens::ask(const TeamId &Team, Purse &P, Time Now) {
  if (P.Number_ != 0 && Now - P.SentAt_ < AnswerWithin)
    return true;
  if (P.Number_ != 0)
    Suspected_[P.Of_] = Now + Suspicion;
  P.Number_ = 0;
  P.Of_ = holderOf(Team, Now);
  if (P.Of_.empty())
    return false;
  updateRate(P.Asked_, Now);
  auto Ahead = static_cast<unsigned>(P.Asked_.Rate_ * AheadFor.inSeconds());
  P.Number_ = NextNumber_++;
  P.SentAt_ = Now;
  Send_(P.Of_, {P.Number_, Team, P.Waiting_, std::min(Ahead, MostAhead)});
  return true;
}

void TeamTokens::take(const TeamId &Team) {
  std::unique_lock Guard(Lock_);
  Purse &P = Purses_[Team];
  recordEvents(P.Asked_);
  Time Limit = Clock_.now() + LongestWait;
  ++P.Waiting_;
  for (;;) {
    Time Now = Clock_.now();
    bool Taken = takeHeld(P, Now);
    if (Taken || Now < P.NoneUntil_ || Now >= Limit || !ask(Team, P, Now)) {
      --P.Waiting_;
      if (Taken || (Now >= P.NoneUntil_ && takeOwn(P, Now)))
        return;
      if (Now < P.NoneUntil_)
        throw Refusal(RefusalReason::OverRate, Ran::No, Step,
                      "the team is over its rate", P.NoneUntil_ - Now);
      throw Refusal(RefusalReason::NotReady, Ran::No, Step,
                    "no core VM tells whether the team is over its rate",
                    ComeBack);
    }
    Duration Left = std::min(Limit, P.SentAt_ + AnswerWithin) - Now;
    P.Changed_.wait_for(Guard, std::chrono::milliseconds(Left.count() + 1));
  }
}

void TeamTokens::giveBack(const TeamId &Team) {
  std::lock_guard Guard(Lock_);
  auto Found = Purses_.find(Team);
  if (Found == Purses_.end())
    return;
  ++Found->second.Tokens_;
  Found->second.Changed_.notify_one();
}

void TeamTokens::onGrant(const VmId &From, const TokenGrant &G) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  auto Found = Purses_.find(G.Team_);
  if (Found == Purses_.end() || Found->second.Number_ != G.Number_)
    return; // too late: another one was asked
  Purse &P = Found->second;
  P.Number_ = 0;
  if (!G.IsHolder_) {
    Suspected_[From] = Now + Suspicion;
  } else {
    if (Now - P.GotAt_ > TokenLife)
      P.Tokens_ = 0;
    P.Tokens_ += G.Count_;
    P.GotAt_ = P.TokenAt_ = Now;
    P.Own_ = 0;
    P.NoneUntil_ = Now + G.Wait_;
    recordEvents(P.Granted_, G.Count_);
    updateRate(P.Granted_, Now);
  }
  P.Changed_.notify_all();
}

void TeamTokens::rates(RateMap &Teams, RateMap &Services) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  for (auto &[Team, P] : Purses_) {
    updateRate(P.Asked_, Now);
    Teams[Team.str()] = P.Asked_.Rate_;
  }
  for (auto &[Service, M] : Services_) {
    updateRate(M, Now);
    Services[Service.str()] = M.Rate_;
  }
}

} // namespace lagoonpoint
