// OnceTable's message handling: claims, their confirmations, and outcomes.
#include "lagoonpoint/src/Once/OnceTable.h"
#include "lagoonpoint/src/Once/util/Decisions.h"

#include <algorithm>

namespace lagoonpoint {

using namespace internal;

namespace {

bool sameProcess(const OnceClaimId &A, const OnceClaimId &B) {
  return A.Owner_ == B.Owner_ && A.Incarnation_ == B.Incarnation_;
}

bool hasOutcome(OnceState State) {
  return State == OnceState::Answered || State == OnceState::Unknown;
}

} // namespace

void OnceTable::sendClaims(const std::string &Text, OnceRecord &R, Time Now) {
  R.NextSendAt_ = Now + Limits_.ResendInterval_;
  const OnceView *View = homeView();
  if (!View)
    return;
  for (const OnceMember &Each : View->Members_)
    if (Each.Vm_ != Self_ &&
        !R.ConfirmedBy_.count({Each.Vm_, Each.Incarnation_}))
      Outbox_[Each.Vm_].Claims_.push_back({Text, R.Digest_, R.Claim_});
}

void OnceTable::dispatchIfConfirmed(const std::string &Text, OnceRecord &R,
                                    Time Now) {
  if (R.State_ != OnceState::Claimed || !R.Claimer_)
    return;
  if (!isMember()) {
    release(Text, R, refuseMayHaveRun(RefusalReason::OnceHomeUnreachable), Now);
    return;
  }
  const OnceView &View = *homeView();
  if (R.Key_.Epoch_ < oldestCoveredEpoch(View)) {
    release(Text, R, refuseMayHaveRun(RefusalReason::OnceUnknown), Now);
    return;
  }
  for (const OnceMember &Each : View.Members_)
    if (Each.Vm_ != Self_ &&
        !R.ConfirmedBy_.count({Each.Vm_, Each.Incarnation_}))
      return;
  LAGOONPOINT_ASSERT(R.Claim_.Owner_ == Self_, "once.grant");
  R.State_ = OnceState::Dispatched;
  OnceDecision Run;
  Run.Action_ = OnceAction::Run;
  Run.Ticket_ = R.Claimer_->Ticket_;
  R.Claimer_.reset();
  Completed_.push_back(Run);
}

bool OnceTable::wasMemberAtIssue(const OnceKey &Key) const {
  const OnceView *View = homeView();
  return isMember() && memberOf(*View, Self_)->MemberSince_ <= Key.Epoch_;
}

OnceDecision OnceTable::refuseUnclaimed(const OnceRecord &R,
                                        RefusalReason Reason) const {
  // No VM can have dispatched the key without this member's confirmation.
  bool ProvablyNotRun = wasMemberAtIssue(R.Key_) && !R.Contested_;
  return ProvablyNotRun ? refuseNotRun(Reason) : refuseMayHaveRun(Reason);
}

void OnceTable::release(const std::string &Text, OnceRecord &R,
                        OnceDecision Decision, Time Now) {
  R.State_ = OnceState::Free;
  completeWaiters(R, Decision);
  broadcastOutcome(Text, R, Now);
}

void OnceTable::broadcastOutcome(const std::string &Text, OnceRecord &R,
                                 Time Now) {
  const OnceView *View = homeView();
  if (!View)
    return;
  for (const OnceMember &Each : View->Members_)
    if (Each.Vm_ != Self_)
      R.UnackedMembers_.insert(Each.Vm_);
  R.ResendUntil_ = Now + Limits_.OutcomeResendFor_;
  R.NextSendAt_ = Now + Limits_.ResendInterval_;
  for (const VmId &Vm : R.UnackedMembers_)
    sendOutcome(Text, R, Vm);
  ActiveKeys_.insert(Text);
}

void OnceTable::sendOutcome(const std::string &Text, OnceRecord &R,
                            const VmId &To) {
  OnceOutcome O{Text, R.Digest_, R.Claim_, R.State_, R.Response_.has_value(),
                {}};
  if (R.Response_)
    O.Response_ = *R.Response_;
  Outbox_[To].Outcomes_.push_back(std::move(O));
}

bool OnceTable::hasPriority(const VmId &A, const VmId &B,
                            const std::string &Text) const {
  const OnceView *View = homeView();
  VmId Home = View ? homeVm(*View, Text) : VmId();
  if (A == Home || B == Home)
    return A == Home;
  return A < B;
}

std::optional<OnceClaimStatus> OnceTable::evaluateClaim(const OnceClaim &C) {
  std::optional<OnceKey> Key = parseOnceKey(C.Key_);
  if (!Key || Key->Zone_ != Zone_ || expired(*Key))
    return OnceClaimStatus::Expired;
  auto Found = Records_.find(C.Key_);
  if (Found == Records_.end()) {
    OnceRecord *R = insert(C.Key_, *Key);
    if (!R)
      return OnceClaimStatus::Full;
    R->Claim_ = C.Claim_;
    R->Digest_ = C.Digest_;
    return OnceClaimStatus::Confirmed;
  }
  OnceRecord &R = Found->second;
  bool Same = sameProcess(R.Claim_, C.Claim_);
  if (Same && C.Claim_.Attempt_ < R.Claim_.Attempt_)
    return std::nullopt;
  if (Same && C.Claim_.Attempt_ == R.Claim_.Attempt_) {
    if (R.State_ == OnceState::Free)
      return std::nullopt;
    return hasOutcome(R.State_) ? OnceClaimStatus::Taken
                                : OnceClaimStatus::Confirmed;
  }
  // A process that claims again has released its earlier claim.
  bool Open =
      R.State_ == OnceState::Free || (Same && R.State_ == OnceState::Claimed);
  if (!Open)
    return OnceClaimStatus::Taken;
  R.State_ = OnceState::Claimed;
  R.Claim_ = C.Claim_;
  R.Digest_ = C.Digest_;
  R.UnackedMembers_.clear();
  return OnceClaimStatus::Confirmed;
}

void OnceTable::onClaim(const VmId &From, const OnceClaim &C) {
  std::optional<OnceClaimStatus> Status = evaluateClaim(C);
  if (!Status)
    return;
  OnceClaimAck A{C.Key_, C.Claim_, Incarnation_, *Status, {}};
  if (*Status == OnceClaimStatus::Taken) {
    OnceRecord &R = Records_.at(C.Key_);
    A.Holder_ = R.Claim_.Owner_;
    if (hasOutcome(R.State_))
      sendOutcome(C.Key_, R, From);
  }
  Outbox_[From].ClaimAcks_.push_back(std::move(A));
}

void OnceTable::onClaimAck(const VmId &From, const OnceClaimAck &A, Time Now) {
  auto Found = Records_.find(A.Key_);
  if (Found == Records_.end() || Found->second.Claim_ != A.Claim_ ||
      Found->second.State_ != OnceState::Claimed)
    return;
  OnceRecord &R = Found->second;
  switch (A.Status_) {
  case OnceClaimStatus::Confirmed:
    R.ConfirmedBy_.insert({From, A.Incarnation_});
    dispatchIfConfirmed(A.Key_, R, Now);
    return;
  case OnceClaimStatus::Taken: {
    R.Contested_ = true;
    // The other claim has lower priority; its owner is about to release it.
    if (A.Holder_ != Self_ && hasPriority(Self_, A.Holder_, A.Key_))
      return;
    bool Forward = R.Claimer_ && R.Claimer_->MayForward_ && A.Holder_ != Self_;
    release(A.Key_, R,
            Forward ? forwardTo(A.Holder_)
                    : refuseMayHaveRun(RefusalReason::OnceInProgress),
            Now);
    return;
  }
  case OnceClaimStatus::Expired:
    release(A.Key_, R, refuseMayHaveRun(RefusalReason::OnceKeyExpired), Now);
    return;
  case OnceClaimStatus::Full:
    release(A.Key_, R, refuseUnclaimed(R, RefusalReason::QueueFull), Now);
    return;
  }
}

void OnceTable::onOutcome(const VmId &From, const OnceOutcome &O) {
  Outbox_[From].OutcomeAcks_.push_back({O.Key_, O.Claim_});
  std::optional<OnceKey> Key = parseOnceKey(O.Key_);
  if (!Key || Key->Zone_ != Zone_ || expired(*Key))
    return;
  auto Found = Records_.find(O.Key_);
  OnceRecord *R = Found == Records_.end() ? nullptr : &Found->second;
  if (!R && O.State_ == OnceState::Free)
    return;
  if (!R)
    R = insert(O.Key_, *Key);
  if (!R || R->State_ == OnceState::Answered)
    return;
  bool Same = sameProcess(R->Claim_, O.Claim_);
  if (Same && O.Claim_.Attempt_ < R->Claim_.Attempt_)
    return;
  if (O.State_ == OnceState::Free && !Same)
    return;
  // An outcome of another claim would mean that two processes dispatched the
  // key.
  LAGOONPOINT_ASSERT(Same || R->State_ != OnceState::Dispatched,
                     "once.outcome");
  R->State_ = O.State_;
  R->Claim_ = O.Claim_;
  R->Digest_ = O.Digest_;
  R->UnackedMembers_.clear();
  if (O.HasResponse_) {
    completeWaiters(*R, replayResponse(O.Response_));
    storeResponse(O.Key_, *R, O.Response_);
  }
  completeWaiters(*R, refuseMayHaveRun(O.State_ == OnceState::Free
                                           ? RefusalReason::OnceInProgress
                                           : RefusalReason::OnceUnknown));
}

void OnceTable::onOutcomeAck(const VmId &From, const OnceOutcomeAck &A) {
  auto Found = Records_.find(A.Key_);
  if (Found != Records_.end() && Found->second.Claim_ == A.Claim_)
    Found->second.UnackedMembers_.erase(From);
}

bool OnceTable::tickRecord(const std::string &Text, OnceRecord &R, Time Now) {
  if (R.Claimer_ && R.Claimer_->Until_ <= Now)
    release(Text, R, refuseUnclaimed(R, RefusalReason::OnceHomeUnreachable),
            Now);
  std::erase_if(R.Waiters_, [&](const OnceWaiter &W) {
    if (W.Until_ > Now)
      return false;
    Completed_.push_back(refuseMayHaveRun(RefusalReason::OnceInProgress));
    Completed_.back().Ticket_ = W.Ticket_;
    return true;
  });
  if (R.ResendUntil_ <= Now)
    R.UnackedMembers_.clear();
  if (R.NextSendAt_ <= Now && R.Claimer_)
    sendClaims(Text, R, Now);
  if (R.NextSendAt_ <= Now && !R.UnackedMembers_.empty()) {
    R.NextSendAt_ = Now + Limits_.ResendInterval_;
    for (const VmId &Vm : R.UnackedMembers_)
      sendOutcome(Text, R, Vm);
  }
  return R.Claimer_ || !R.Waiters_.empty() || !R.UnackedMembers_.empty();
}

void OnceTable::tick(Time Now) {
  evictExpired(Now);
  for (auto It = ActiveKeys_.begin(); It != ActiveKeys_.end();) {
    auto Found = Records_.find(*It);
    bool Stays =
        Found != Records_.end() && tickRecord(Found->first, Found->second, Now);
    It = Stays ? std::next(It) : ActiveKeys_.erase(It);
  }
}

void OnceTable::receive(const Envelope &Message, Time Now) {
  auto Batch =
      decode<OnceBatch>(Message.Body_, "once.receive", Message.From_.str());
  evictExpired(Now);
  for (const OnceOutcome &O : Batch.Outcomes_)
    onOutcome(Message.From_, O);
  for (const OnceClaim &C : Batch.Claims_)
    onClaim(Message.From_, C);
  for (const OnceClaimAck &A : Batch.ClaimAcks_)
    onClaimAck(Message.From_, A, Now);
  for (const OnceOutcomeAck &A : Batch.OutcomeAcks_)
    onOutcomeAck(Message.From_, A);
}

} // namespace lagoonpoint
