#include "lagoonpoint/src/Once/OnceTable.h"

#include "lagoonpoint/src/Once/util/Decisions.h"

#include <algorithm>
#include <utility>

namespace lagoonpoint {

using namespace internal;

namespace {

/// Keys with a time of issue further in the future than this are refused.
constexpr std::int64_t MaxClockLeadMillis = 60'000;

std::size_t bytesOf(const OnceResponse &A) {
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
  return Key.IssuedMillis_ <= ExpiredUpTo_;
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
    // The owner may have dispatched the key before it left the view.
    R.State_ = OnceState::Unknown;
    completeWaiters(R, refuseMayHaveRun(RefusalReason::OnceUnknown));
  }
  for (const std::string &Text : Pending) {
    sendClaims(Text, Records_.at(Text), Now);
    dispatchIfConfirmed(Text, Records_.at(Text), Now);
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
  evictExpired(Now);
  std::optional<OnceKey> Key = parseOnceKey(Text);
  if (!Key)
    return refuseNotRun(RefusalReason::OnceKeyMissing);
  if (Key->IssuedMillis_ > unixMillis(Now) + MaxClockLeadMillis)
    return refuseMayHaveRun(RefusalReason::OnceKeyMissing);
  if (expired(*Key))
    return refuseMayHaveRun(RefusalReason::OnceKeyExpired);
  auto View = Views_.find(Key->Zone_);
  if (View == Views_.end() || View->second.Members_.empty())
    return refuseMayHaveRun(RefusalReason::OnceHomeUnreachable);
  VmId Home = homeVm(View->second, Text);
  if (Key->Zone_ != Zone_ || !isMember())
    return Forwarded ? refuseMayHaveRun(RefusalReason::OnceHomeUnreachable)
                     : forwardTo(Home);

  OnceWaiter Caller{++NextTicket_, Deadline, !Forwarded};
  auto Found = Records_.find(Text);
  bool Known = Found != Records_.end();
  if (Known && Found->second.State_ != OnceState::Free)
    return decideForRecord(Text, Found->second, Digest, Caller, Now);
  if (Key->Epoch_ > View->second.Epoch_)
    return refuseMayHaveRun(RefusalReason::OnceHomeUnreachable);
  if (Key->Epoch_ < oldestCoveredEpoch(View->second))
    return refuseMayHaveRun(RefusalReason::OnceUnknown);
  bool ClaimedHere = Known && Found->second.Claim_.Owner_ == Self_;
  if (!Forwarded && Home != Self_ && !ClaimedHere)
    return forwardTo(Home);
  OnceRecord *R = Known ? &Found->second : insert(Text, *Key);
  if (!R)
    return wasMemberAtIssue(*Key) ? refuseNotRun(RefusalReason::QueueFull)
                                  : refuseMayHaveRun(RefusalReason::QueueFull);
  return startClaim(Text, *R, Digest, Caller, Now);
}

OnceDecision OnceTable::decideForRecord(const std::string &Text, OnceRecord &R,
                                        const std::string &Digest,
                                        const OnceWaiter &Caller, Time Now) {
  if (R.Digest_ != Digest)
    return refuseNotRun(RefusalReason::BadRequest);
  if (R.State_ == OnceState::Answered && R.Response_)
    return replayResponse(*R.Response_);
  if (R.State_ == OnceState::Answered || R.State_ == OnceState::Unknown)
    return refuseMayHaveRun(RefusalReason::OnceUnknown);
  if (R.Claim_.Owner_ != Self_ && Caller.MayForward_)
    return forwardTo(R.Claim_.Owner_);
  if (Caller.Until_ <= Now)
    return refuseMayHaveRun(RefusalReason::OnceInProgress);
  return addWaiter(Text, R, Caller);
}

OnceDecision OnceTable::addWaiter(const std::string &Text, OnceRecord &R,
                                  const OnceWaiter &Caller) {
  R.Waiters_.push_back(Caller);
  ActiveKeys_.insert(Text);
  OnceDecision Wait;
  Wait.Action_ = OnceAction::Wait;
  Wait.Ticket_ = Caller.Ticket_;
  return Wait;
}

OnceDecision OnceTable::startClaim(const std::string &Text, OnceRecord &R,
                                   const std::string &Digest,
                                   const OnceWaiter &Caller, Time Now) {
  R.State_ = OnceState::Claimed;
  R.Claim_ = {Self_, Incarnation_, ++NextAttempt_};
  R.Digest_ = Digest;
  R.ConfirmedBy_.clear();
  R.Contested_ = false;
  R.UnackedMembers_.clear();
  R.Claimer_ = Caller;
  R.Claimer_->Until_ = std::min(Caller.Until_, Now + Limits_.ClaimTimeout_);
  ActiveKeys_.insert(Text);
  sendClaims(Text, R, Now);
  dispatchIfConfirmed(Text, R, Now);
  OnceDecision Wait;
  Wait.Action_ = OnceAction::Wait;
  Wait.Ticket_ = Caller.Ticket_;
  return Wait;
}

OnceRecord *OnceTable::insert(const std::string &Text, const OnceKey &Key) {
  if (Records_.size() >= Limits_.MaxRecords_)
    return nullptr;
  OnceRecord &R = Records_[Text];
  R.Key_ = Key;
  KeysByIssueTime_.emplace(Key.IssuedMillis_, Text);
  return &R;
}

void OnceTable::recordResponse(const std::string &Text,
                               const OnceResponse &Response, Time Now) {
  finish(Text, OnceState::Answered, &Response, Now);
}

void OnceTable::recordUnknown(const std::string &Text, Time Now) {
  finish(Text, OnceState::Unknown, nullptr, Now);
}

void OnceTable::recordNotRun(const std::string &Text, Time Now) {
  auto Found = Records_.find(Text);
  if (Found == Records_.end() || Found->second.State_ != OnceState::Dispatched)
    return;
  release(Text, Found->second, refuseNotRun(RefusalReason::OnceInProgress),
          Now);
}

void OnceTable::finish(const std::string &Text, OnceState State,
                       const OnceResponse *Response, Time Now) {
  auto Found = Records_.find(Text);
  if (Found == Records_.end() || Found->second.State_ != OnceState::Dispatched)
    return;
  OnceRecord &R = Found->second;
  R.State_ = State;
  if (Response) {
    completeWaiters(R, replayResponse(*Response));
    storeResponse(Text, R, *Response);
  }
  completeWaiters(R, refuseMayHaveRun(RefusalReason::OnceUnknown));
  broadcastOutcome(Text, R, Now);
}

void OnceTable::storeResponse(const std::string &Text, OnceRecord &R,
                              const OnceResponse &Response) {
  std::size_t Bytes = bytesOf(Response);
  if (Bytes > Limits_.MaxBytesPerResponse_ || R.Response_)
    return;
  R.Response_ = Response;
  ResponseBytes_ += Bytes;
  KeysWithResponse_.push_back(Text);
  while (ResponseBytes_ > Limits_.MaxResponseBytes_ &&
         !KeysWithResponse_.empty()) {
    auto Oldest = Records_.find(KeysWithResponse_.front());
    KeysWithResponse_.pop_front();
    if (Oldest != Records_.end())
      dropResponse(Oldest->second);
  }
}

void OnceTable::dropResponse(OnceRecord &R) {
  if (!R.Response_)
    return;
  ResponseBytes_ -= bytesOf(*R.Response_);
  R.Response_.reset();
}

void OnceTable::evictExpired(Time Now) {
  ExpiredUpTo_ = std::max(ExpiredUpTo_, unixMillis(Now) - Retention_.count());
  while (!KeysByIssueTime_.empty() &&
         KeysByIssueTime_.begin()->first <= ExpiredUpTo_) {
    auto Found = Records_.find(KeysByIssueTime_.begin()->second);
    OnceRecord &R = Found->second;
    completeWaiters(R, refuseMayHaveRun(RefusalReason::OnceKeyExpired));
    dropResponse(R);
    ActiveKeys_.erase(Found->first);
    Records_.erase(Found);
    KeysByIssueTime_.erase(KeysByIssueTime_.begin());
  }
  while (!KeysWithResponse_.empty() &&
         !Records_.count(KeysWithResponse_.front()))
    KeysWithResponse_.pop_front();
}

void OnceTable::completeWaiters(OnceRecord &R, const OnceDecision &Decision) {
  if (R.Claimer_)
    R.Waiters_.push_back(*std::exchange(R.Claimer_, std::nullopt));
  for (const OnceWaiter &W : std::exchange(R.Waiters_, {})) {
    Completed_.push_back(Decision);
    Completed_.back().Ticket_ = W.Ticket_;
  }
}

std::vector<OnceDecision> OnceTable::takeCompleted() {
  return std::exchange(Completed_, {});
}

std::vector<Envelope> OnceTable::takeOutbox() {
  std::vector<Envelope> Out;
  for (const auto &[To, Batch] : Outbox_)
    Out.push_back({Self_, To, Channel::Once, encode(Batch)});
  Outbox_.clear();
  return Out;
}

} // namespace lagoonpoint
