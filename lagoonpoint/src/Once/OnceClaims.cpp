// The messages of OnceTable: claims, their confirmations and outcomes.
#include "lagoonpoint/src/Once/OnceTable.h"
#include "lagoonpoint/src/Once/util/Decisions.h"

#include <algorithm>

namespace lagoonpoint {

using namespace internal;

namespace {

bool sameProcess(const OnceClaimId &A, const OnceClaimId &B) {
  return A.Owner_ == B.Owner_ && A.Incarnation_ == B.Incarnation_;
}

bool ended(OnceState State) {
  return State == OnceState::Answered || State == OnceState::Unknown;
}

} // namespace

void OnceTable::sendClaims(const std::string &Text, OnceRecord &R, Time Now) {
  R.NextSend_ = Now + Limits_.ResendEvery_;
  const OnceView *View = homeView();
  if (!View)
    return;
  for (const OnceMember &Each : View->Members_)
    if (Each.Vm_ != Self_ && !R.Held_.count({Each.Vm_, Each.Incarnation_}))
      Out_[Each.Vm_].Claims_.push_back({Text, R.Digest_, R.Claim_});
}

void OnceTable::grantIfWhole(const std::string &Text, OnceRecord &R, Time Now) {
  if (R.State_ != OnceState::Claimed || !R.Claimer_)
    return;
  if (!isMember()) {
    release(Text, R, mayHaveRun(RefusalReason::OnceHomeUnreachable), Now);
    return;
  }
  const OnceView &View = *homeView();
  if (R.Key_.Epoch_ < rememberedSince(View)) {
    release(Text, R, mayHaveRun(RefusalReason::OnceUnknown), Now);
    return;
  }
  for (const OnceMember &Each : View.Members_)
    if (Each.Vm_ != Self_ && !R.Held_.count({Each.Vm_, Each.Incarnation_}))
      return;
  LAGOONPOINT_ASSERT(R.Claim_.Owner_ == Self_, "once.grant");
  R.State_ = OnceState::Dispatched;
  OnceDecision Run;
  Run.Step_ = OnceStep::Run;
  Run.Ticket_ = R.Claimer_->Ticket_;
  R.Claimer_.reset();
  Ended_.push_back(Run);
}

bool OnceTable::remembers(const OnceKey &Key) const {
  const OnceView *View = homeView();
  return isMember() && memberOf(*View, Self_)->Since_ <= Key.Epoch_;
}

OnceDecision OnceTable::notClaimed(const OnceRecord &R,
                                   RefusalReason Reason) const {
  // Nobody can have dispatched the key without this VM's confirmation.
  bool SurelyNot = remembers(R.Key_) && !R.Contested_;
  return SurelyNot ? notRunBecause(Reason) : mayHaveRun(Reason);
}

void OnceTable::release(const std::string &Text, OnceRecord &R,
                        OnceDecision How, Time Now) {
  R.State_ = OnceState::Free;
  endWaiters(R, How);
  startTelling(Text, R, Now);
}

void OnceTable::startTelling(const std::string &Text, OnceRecord &R, Time Now) {
  const OnceView *View = homeView();
  if (!View)
    return;
  for (const OnceMember &Each : View->Members_)
    if (Each.Vm_ != Self_)
      R.Untold_.insert(Each.Vm_);
  R.StopTelling_ = Now + Limits_.TellFor_;
  R.NextSend_ = Now + Limits_.ResendEvery_;
  for (const VmId &Vm : R.Untold_)
    tell(Text, R, Vm);
  Active_.insert(Text);
}

void OnceTable::tell(const std::string &Text, OnceRecord &R, const VmId &To) {
  OnceOutcome O{Text, R.Digest_, R.Claim_, R.State_, R.Answer_.has_value(), {}};
  if (R.Answer_)
    O.Answer_ = *R.Answer_;
  Out_[To].Outcomes_.push_back(std::move(O));
}

bool OnceTable::goesBefore(const VmId &A, const VmId &B,
                           const std::string &Text) const {
  const OnceView *View = homeView();
  VmId Home = View ? homeVm(*View, Text) : VmId();
  if (A == Home || B == Home)
    return A == Home;
  return A < B;
}

std::optional<OnceVerdict> OnceTable::judge(const OnceClaim &C) {
  std::optional<OnceKey> Key = parseOnceKey(C.Key_);
  if (!Key || Key->Zone_ != Zone_ || expired(*Key))
    return OnceVerdict::Expired;
  auto Found = Records_.find(C.Key_);
  if (Found == Records_.end()) {
    OnceRecord *R = insert(C.Key_, *Key);
    if (!R)
      return OnceVerdict::Full;
    R->Claim_ = C.Claim_;
    R->Digest_ = C.Digest_;
    return OnceVerdict::Held;
  }
  OnceRecord &R = Found->second;
  bool Same = sameProcess(R.Claim_, C.Claim_);
  if (Same && C.Claim_.Attempt_ < R.Claim_.Attempt_)
    return std::nullopt;
  if (Same && C.Claim_.Attempt_ == R.Claim_.Attempt_) {
    if (R.State_ == OnceState::Free)
      return std::nullopt;
    return ended(R.State_) ? OnceVerdict::Taken : OnceVerdict::Held;
  }
  // A process that claims anew has given up its claim before.
  bool Open =
      R.State_ == OnceState::Free || (Same && R.State_ == OnceState::Claimed);
  if (!Open)
    return OnceVerdict::Taken;
  R.State_ = OnceState::Claimed;
  R.Claim_ = C.Claim_;
  R.Digest_ = C.Digest_;
  R.Untold_.clear();
  return OnceVerdict::Held;
}

void OnceTable::onClaim(const VmId &From, const OnceClaim &C) {
  std::optional<OnceVerdict> Verdict = judge(C);
  if (!Verdict)
    return;
  OnceAck A{C.Key_, C.Claim_, Incarnation_, *Verdict, {}};
  if (*Verdict == OnceVerdict::Taken) {
    OnceRecord &R = Records_.at(C.Key_);
    A.Holder_ = R.Claim_.Owner_;
    if (ended(R.State_))
      tell(C.Key_, R, From);
  }
  Out_[From].Acks_.push_back(std::move(A));
}

void OnceTable::onAck(const VmId &From, const OnceAck &A, Time Now) {
  auto Found = Records_.find(A.Key_);
  if (Found == Records_.end() || Found->second.Claim_ != A.Claim_ ||
      Found->second.State_ != OnceState::Claimed)
    return;
  OnceRecord &R = Found->second;
  switch (A.Verdict_) {
  case OnceVerdict::Held:
    R.Held_.insert({From, A.Incarnation_});
    grantIfWhole(A.Key_, R, Now);
    return;
  case OnceVerdict::Taken: {
    R.Contested_ = true;
    // A claim that goes after this one is about to be released.
    if (A.Holder_ != Self_ && goesBefore(Self_, A.Holder_, A.Key_))
      return;
    bool Pass = R.Claimer_ && R.Claimer_->MayForward_ && A.Holder_ != Self_;
    release(A.Key_, R,
            Pass ? forwardTo(A.Holder_)
                 : mayHaveRun(RefusalReason::OnceInProgress),
            Now);
    return;
  }
  case OnceVerdict::Expired:
    release(A.Key_, R, mayHaveRun(RefusalReason::OnceKeyExpired), Now);
    return;
  case OnceVerdict::Full:
    release(A.Key_, R, notClaimed(R, RefusalReason::QueueFull), Now);
    return;
  }
}

void OnceTable::onOutcome(const VmId &From, const OnceOutcome &O) {
  Out_[From].OutcomeAcks_.push_back({O.Key_, O.Claim_});
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
  // An outcome of another claim says that two processes dispatched the key.
  LAGOONPOINT_ASSERT(Same || R->State_ != OnceState::Dispatched,
                     "once.outcome");
  R->State_ = O.State_;
  R->Claim_ = O.Claim_;
  R->Digest_ = O.Digest_;
  R->Untold_.clear();
  if (O.Kept_) {
    endWaiters(*R, storedAnswer(O.Answer_));
    keep(O.Key_, *R, O.Answer_);
  }
  endWaiters(*R, mayHaveRun(O.State_ == OnceState::Free
                                ? RefusalReason::OnceInProgress
                                : RefusalReason::OnceUnknown));
}

void OnceTable::onOutcomeAck(const VmId &From, const OnceOutcomeAck &A) {
  auto Found = Records_.find(A.Key_);
  if (Found != Records_.end() && Found->second.Claim_ == A.Claim_)
    Found->second.Untold_.erase(From);
}

bool OnceTable::tickRecord(const std::string &Text, OnceRecord &R, Time Now) {
  if (R.Claimer_ && R.Claimer_->Until_ <= Now)
    release(Text, R, notClaimed(R, RefusalReason::OnceHomeUnreachable), Now);
  std::erase_if(R.Waiters_, [&](const OnceWaiter &W) {
    if (W.Until_ > Now)
      return false;
    Ended_.push_back(mayHaveRun(RefusalReason::OnceInProgress));
    Ended_.back().Ticket_ = W.Ticket_;
    return true;
  });
  if (R.StopTelling_ <= Now)
    R.Untold_.clear();
  if (R.NextSend_ <= Now && R.Claimer_)
    sendClaims(Text, R, Now);
  if (R.NextSend_ <= Now && !R.Untold_.empty()) {
    R.NextSend_ = Now + Limits_.ResendEvery_;
    for (const VmId &Vm : R.Untold_)
      tell(Text, R, Vm);
  }
  return R.Claimer_ || !R.Waiters_.empty() || !R.Untold_.empty();
}

void OnceTable::tick(Time Now) {
  forgetExpired(Now);
  for (auto It = Active_.begin(); It != Active_.end();) {
    auto Found = Records_.find(*It);
    bool Stays =
        Found != Records_.end() && tickRecord(Found->first, Found->second, Now);
    It = Stays ? std::next(It) : Active_.erase(It);
  }
}

void OnceTable::receive(const Envelope &Message, Time Now) {
  auto Batch =
      decode<OnceBatch>(Message.Body_, "once.receive", Message.From_.str());
  forgetExpired(Now);
  for (const OnceOutcome &O : Batch.Outcomes_)
    onOutcome(Message.From_, O);
  for (const OnceClaim &C : Batch.Claims_)
    onClaim(Message.From_, C);
  for (const OnceAck &A : Batch.Acks_)
    onAck(Message.From_, A, Now);
  for (const OnceOutcomeAck &A : Batch.OutcomeAcks_)
    onOutcomeAck(Message.From_, A);
}

} // namespace lagoonpoint
