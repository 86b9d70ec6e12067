#include "lagoonpoint/src/Once/OnceTable.h"

#include "lagoonpoint/src/Once/util/Decisions.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

using namespace internal;

namespace {

/// Keys issued by a clock further ahead than this are refused.
constexpr std::int64_t MaxAheadMillis = 60'000;

std::size_t bytesOf(const OnceAnswer &A) {
  std::size_t Sum = A.Body_.size();
  for (const auto &[Name, Value] : A.Headers_)
    Sum += Name.size() + Value.size();
  return Sum;
}

bool isMemberOf(const OnceView &View, const VmId &Vm, Incarnation I) {
  const OnceMember *Found = memberOf(View, Vm);
  return Found && Found->Incarnation_ == I;
}

} // namespace

OnceTable::OnceTable(VmId Self, ZoneId Zone, Incarnation I,
                     std::int64_t UnixMillis, Time Now, OnceLimits Limits)
    : Self_(std::move(Self)), Zone_(std::move(Zone)), Incarnation_(I),
      UnixOrigin_(UnixMillis - Now.count()), Limits_(Limits) {}

std::int64_t OnceTable::unixMillis(Time Now) const {
  return UnixOrigin_ + Now.count();
}

bool OnceTable::expired(const OnceKey &Key) const {
  return Key.IssuedMillis_ <= ForgottenUpTo_;
}

const OnceView *OnceTable::homeView() const {
  auto Found = Views_.find(Zone_);
  return Found == Views_.end() ? nullptr : &Found->second;
}

bool OnceTable::isMember() const {
  const OnceView *View = homeView();
  return View && isMemberOf(*View, Self_, Incarnation_);
}

void OnceTable::setView(const OnceView &View, Time Now) {
  auto [Found, New] = Views_.try_emplace(View.Zone_, View);
  if (!New && View.Epoch_ <= Found->second.Epoch_)
    return;
  Found->second = View;
  if (View.Zone_ != Zone_)
    return;
  std::vector<std::string> Pending;
  for (auto &[Text, R] : Records_) {
    if (R.State_ != OnceState::Claimed)
      continue;
    if (R.Claim_.Owner_ == Self_) {
      Pending.push_back(Text);
      continue;
    }
    if (isMemberOf(View, R.Claim_.Owner_, R.Claim_.Incarnation_))
      continue;
    // Its owner may have dispatched it before it left.
    R.State_ = OnceState::Unknown;
    endWaiters(R, mayHaveRun(RefusalReason::OnceUnknown));
  }
  for (const std::string &Text : Pending) {
    sendClaims(Text, Records_.at(Text), Now);
    grantIfWhole(Text, Records_.at(Text), Now);
  }
}

std::string OnceTable::prefix(const ZoneId &Zone, Time Now) const {
  auto Found = Views_.find(Zone);
  if (Found == Views_.end())
    return {};
  return oncePrefix(Zone, Found->second.Epoch_, unixMillis(Now));
}

OnceDecision OnceTable::begin(const std::string &Text,
                              const std::string &Digest, Time Deadline,
                              bool Forwarded, Time Now) {
  forgetExpired(Now);
  std::optional<OnceKey> Key = parseOnceKey(Text);
  if (!Key)
    return notRunBecause(RefusalReason::OnceKeyMissing);
  if (Key->IssuedMillis_ > unixMillis(Now) + MaxAheadMillis)
    return mayHaveRun(RefusalReason::OnceKeyMissing);
  if (expired(*Key))
    return mayHaveRun(RefusalReason::OnceKeyExpired);
  auto View = Views_.find(Key->Zone_);
  if (View == Views_.end() || View->second.Members_.empty())
    return mayHaveRun(RefusalReason::OnceHomeUnreachable);
  VmId Home = homeVm(View->second, Text);
  if (Key->Zone_ != Zone_ || !isMember())
    return Forwarded ? mayHaveRun(RefusalReason::OnceHomeUnreachable)
                     : forwardTo(Home);

  OnceWaiter Caller{++NextTicket_, Deadline, !Forwarded};
  auto Found = Records_.find(Text);
  bool Known = Found != Records_.end();
  if (Known && Found->second.State_ != OnceState::Free)
    return onKnown(Text, Found->second, Digest, Caller, Now);
  if (Key->Epoch_ > View->second.Epoch_)
    return mayHaveRun(RefusalReason::OnceHomeUnreachable);
  if (Key->Epoch_ < rememberedSince(View->second))
    return mayHaveRun(RefusalReason::OnceUnknown);
  bool ClaimedHere = Known && Found->second.Claim_.Owner_ == Self_;
  if (!Forwarded && Home != Self_ && !ClaimedHere)
    return forwardTo(Home);
  OnceRecord *R = Known ? &Found->second : insert(Text, *Key);
  if (!R)
    return remembers(*Key) ? notRunBecause(RefusalReason::QueueFull)
                           : mayHaveRun(RefusalReason::QueueFull);
  return startClaim(Text, *R, Digest, Caller, Now);
}

OnceDecision OnceTable::onKnown(const std::string &Text, OnceRecord &R,
                                const std::string &Digest,
                                const OnceWaiter &Caller, Time Now) {
  if (R.Digest_ != Digest)
    return notRunBecause(RefusalReason::BadRequest);
  if (R.State_ == OnceState::Answered && R.Answer_)
    return storedAnswer(*R.Answer_);
  if (R.State_ == OnceState::Answered || R.State_ == OnceState::Unknown)
    return mayHaveRun(RefusalReason::OnceUnknown);
  if (R.Claim_.Owner_ != Self_ && Caller.MayForward_)
    return forwardTo(R.Claim_.Owner_);
  if (Caller.Until_ <= Now)
    return mayHaveRun(RefusalReason::OnceInProgress);
  return waitFor(Text, R, Caller);
}

OnceDecision OnceTable::waitFor(const std::string &Text, OnceRecord &R,
                                const OnceWaiter &Caller) {
  R.Waiters_.push_back(Caller);
  Active_.insert(Text);
  OnceDecision Wait;
  Wait.Step_ = OnceStep::Wait;
  Wait.Ticket_ = Caller.Ticket_;
  return Wait;
}

OnceDecision OnceTable::startClaim(const std::string &Text, OnceRecord &R,
                                   const std::string &Digest,
                                   const OnceWaiter &Caller, Time Now) {
  R.State_ = OnceState::Claimed;
  R.Claim_ = {Self_, Incarnation_, ++NextAttempt_};
  R.Digest_ = Digest;
  R.Held_.clear();
  R.Contested_ = false;
  R.Untold_.clear();
  R.Claimer_ = Caller;
  R.Claimer_->Until_ = std::min(Caller.Until_, Now + Limits_.ClaimFor_);
  Active_.insert(Text);
  sendClaims(Text, R, Now);
  grantIfWhole(Text, R, Now);
  OnceDecision Wait;
  Wait.Step_ = OnceStep::Wait;
  Wait.Ticket_ = Caller.Ticket_;
  return Wait;
}

OnceRecord *OnceTable::insert(const std::string &Text, const OnceKey &Key) {
  if (Records_.size() >= Limits_.Records_)
    return nullptr;
  OnceRecord &R = Records_[Text];
  R.Key_ = Key;
  ByIssue_.emplace(Key.IssuedMillis_, Text);
  return &R;
}

void OnceTable::answered(const std::string &Text, const OnceAnswer &Answer,
                         Time Now) {
  finish(Text, OnceState::Answered, &Answer, Now);
}

void OnceTable::unknown(const std::string &Text, Time Now) {
  finish(Text, OnceState::Unknown, nullptr, Now);
}

void OnceTable::notRun(const std::string &Text, Time Now) {
  auto Found = Records_.find(Text);
  if (Found == Records_.end() || Found->second.State_ != OnceState::Dispatched)
    return;
  release(Text, Found->second, notRunBecause(RefusalReason::OnceInProgress),
          Now);
}

void OnceTable::finish(const std::string &Text, OnceState State,
                       const OnceAnswer *Answer, Time Now) {
  auto Found = Records_.find(Text);
  if (Found == Records_.end() || Found->second.State_ != OnceState::Dispatched)
    return;
  OnceRecord &R = Found->second;
  R.State_ = State;
  if (Answer) {
    endWaiters(R, storedAnswer(*Answer));
    keep(Text, R, *Answer);
  }
  endWaiters(R, mayHaveRun(RefusalReason::OnceUnknown));
  startTelling(Text, R, Now);
}

void OnceTable::keep(const std::string &Text, OnceRecord &R,
                     const OnceAnswer &Answer) {
  std::size_t Bytes = bytesOf(Answer);
  if (Bytes > Limits_.OneAnswerBytes_ || R.Answer_)
    return;
  R.Answer_ = Answer;
  AnswerBytes_ += Bytes;
  WithAnswer_.push_back(Text);
  while (AnswerBytes_ > Limits_.AnswerBytes_ && !WithAnswer_.empty()) {
    auto Oldest = Records_.find(WithAnswer_.front());
    WithAnswer_.pop_front();
    if (Oldest != Records_.end())
      dropAnswer(Oldest->second);
  }
}

void OnceTable::dropAnswer(OnceRecord &R) {
  if (!R.Answer_)
    return;
  AnswerBytes_ -= bytesOf(*R.Answer_);
  R.Answer_.reset();
}

void OnceTable::forgetExpired(Time Now) {
  ForgottenUpTo_ = std::max(ForgottenUpTo_, unixMillis(Now) - Kept_.count());
  while (!ByIssue_.empty() && ByIssue_.begin()->first <= ForgottenUpTo_) {
    auto Found = Records_.find(ByIssue_.begin()->second);
    OnceRecord &R = Found->second;
    endWaiters(R, mayHaveRun(RefusalReason::OnceKeyExpired));
    dropAnswer(R);
    Active_.erase(Found->first);
    Records_.erase(Found);
    ByIssue_.erase(ByIssue_.begin());
  }
  while (!WithAnswer_.empty() && !Records_.count(WithAnswer_.front()))
    WithAnswer_.pop_front();
}

void OnceTable::endWaiters(OnceRecord &R, const OnceDecision &How) {
  if (R.Claimer_)
    R.Waiters_.push_back(*std::exchange(R.Claimer_, std::nullopt));
  for (const OnceWaiter &W : std::exchange(R.Waiters_, {})) {
    Ended_.push_back(How);
    Ended_.back().Ticket_ = W.Ticket_;
  }
}

std::vector<OnceDecision> OnceTable::takeEnded() {
  return std::exchange(Ended_, {});
}

std::vector<Envelope> OnceTable::takeOutbox() {
  std::vector<Envelope> Out;
  for (const auto &[To, Batch] : Out_)
    Out.push_back({Self_, To, Channel::Once, encode(Batch)});
  Out_.clear();
  return Out;
}

} // namespace lagoonpoint
