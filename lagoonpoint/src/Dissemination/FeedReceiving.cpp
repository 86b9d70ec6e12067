#include "lagoonpoint/src/Dissemination/Feed.h"

#include <algorithm>
#include <string_view>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "feed.receive";

bool newer(const Confirmation &A, const Confirmation &B) {
  if (A.Incarnation_ != B.Incarnation_)
    return A.Incarnation_ > B.Incarnation_;
  return A.Revision_ > B.Revision_;
}

} // namespace

void Feed::receive(const Envelope &Message, Time Now) {
  const std::string &From = Message.From_.str();
  if (Message.Body_.empty())
    throw CodecError(Step, From, "empty message");
  std::string_view Rest = std::string_view(Message.Body_).substr(1);
  switch (static_cast<FeedMessageKind>(Message.Body_[0])) {
  case FeedMessageKind::Pull:
    return handlePull(Message.From_, decode<FeedPull>(Rest, Step, From), Now);
  case FeedMessageKind::Update:
    return handleUpdate(Message.From_, decode<FeedUpdate>(Rest, Step, From),
                        Now);
  }
  throw CodecError(Step, From, "message of unknown kind");
}

void Feed::handlePull(const VmId &From, const FeedPull &In, Time Now) {
  recordConfirmation({From, In.Incarnation_, In.Revision_});
  for (const Confirmation &C : In.Confirmations_)
    recordConfirmation(C);
  FeedUpdate Out = makeUpdate(Now);
  Out.RequesterIncarnation_ = In.Incarnation_;
  Out.SentAt_ = In.SentAt_;
  if (In.Subscribe_) {
    Follower &F = Followers_[From];
    F.LastPullAt_ = Now;
    F.SentRevision_ = In.Revision_;
    bool Behind = In.Revision_ < Store_.revision();
    bool ForceSnapshot = In.WantSnapshot_ && In.Revision_ <= Store_.revision();
    if (Behind || ForceSnapshot)
      addChanges(Out, F, In.Revision_, ForceSnapshot, Now);
  }
  enqueue(From, FeedMessageKind::Update, Out);
}

void Feed::handleUpdate(const VmId &From, const FeedUpdate &In, Time Now) {
  Revision Before = Store_.revision();
  if (!IsVoter_) {
    for (const FeedSnapshot &State : In.Snapshots_)
      applySnapshot(State);
    for (const Delta &Change : In.Deltas_)
      applyDelta(Change);
  }
  LAGOONPOINT_ASSERT(Store_.revision() >= Before, Step);
  if (Store_.revision() != Before)
    confirmSelf();
  Time SentAt = Time() + In.SentAt_;
  bool AnswersPull = In.RequesterIncarnation_ == Options_.Incarnation_ &&
                     SentAt >= StartedAt_ && SentAt <= Now;
  if (AnswersPull)
    handleReply(From, In, Now);
  checkDigest(From, In);
  adoptPendingProof();
  if (Store_.revision() != Before)
    pushToFollowers(Now);
  if (From == Source_ && In.Revision_ > Store_.revision())
    NextPull_ = std::min(NextPull_, Now + Options_.PullInterval_ / 5);
}

void Feed::handleReply(const VmId &From, const FeedUpdate &In, Time Now) {
  Time SentAt = Time() + In.SentAt_;
  acceptProof(In, SentAt);
  bool Proved = In.HasProof_ && In.ProofAge_ < Options_.KeyLease_;
  PeerStatus &Last = PeerStatuses_[From];
  if (SentAt >= Last.RequestedAt_) {
    Last = {SentAt, In.Revision_, In.Ready_, std::nullopt};
    if (In.HasProof_)
      Last.ProvedAt_ = SentAt - In.ProofAge_;
  }
  if (From == Source_) {
    SourceHeardAt_ = Now;
    for (const Confirmation &C : PulledConfirmations_[SentAt]) {
      const Confirmation &Known = Confirmed_.at(C.Vm_);
      if (!newer(Known, C))
        Unacknowledged_.erase(C.Vm_);
    }
    PulledConfirmations_.erase(PulledConfirmations_.begin(),
                               PulledConfirmations_.upper_bound(SentAt));
    return;
  }
  if (IsVoter_)
    return;
  bool Preferred = !Sources_.empty() && From == Sources_.front() && Proved;
  bool Improves =
      !proofIsValid(Now) && (Proved || In.Revision_ > Store_.revision());
  if (Preferred || Improves)
    follow(From, Now);
}

void Feed::acceptProof(const FeedUpdate &In, Time SentAt) {
  if (!In.HasProof_ || In.ProofAge_ < Duration())
    return;
  Proof Offered{SentAt - In.ProofAge_, In.ProofRevision_};
  if (Proof_ && Offered.At_ <= Proof_->At_)
    return;
  if (Offered.Revision_ <= Store_.revision())
    Proof_ = Offered;
  else if (!PendingProof_ || Offered.At_ > PendingProof_->At_)
    PendingProof_ = Offered;
}

void Feed::adoptPendingProof() {
  if (!PendingProof_ || PendingProof_->Revision_ > Store_.revision())
    return;
  if (!Proof_ || PendingProof_->At_ > Proof_->At_)
    Proof_ = PendingProof_;
  PendingProof_.reset();
}

void Feed::applyDelta(const Delta &Change) {
  if (Change.Base_ != Store_.revision() || Change.To_ <= Change.Base_)
    return;
  try {
    Store_.apply(Change);
  } catch (const Error &) {
    ++RefusedBodies_;
    return;
  }
  LAGOONPOINT_ASSERT(Store_.revision() == Change.To_, "feed.apply");
  History_.add(Change);
}

void Feed::applySnapshot(const FeedSnapshot &State) {
  Revision Current = Store_.revision();
  bool Repair = WantSnapshot_ && State.Revision_ == Current;
  if (State.Revision_ <= Current && !Repair)
    return;
  try {
    Store_.restore(State);
  } catch (const Error &) {
    ++RefusedBodies_;
    return;
  }
  LAGOONPOINT_ASSERT(Store_.revision() == State.Revision_, "feed.restore");
  History_.clear();
  WantSnapshot_ = false;
  ++SnapshotsTaken_;
  Repairs_ += Repair ? 1 : 0;
}

void Feed::checkDigest(const VmId &From, const FeedUpdate &In) {
  if (From != Source_ || In.Revision_ != Store_.revision() || IsVoter_)
    return;
  WantSnapshot_ = In.Digest_ != shortDigest();
}

void Feed::confirmSelf() {
  recordConfirmation(
      {Options_.Self_, Options_.Incarnation_, Store_.revision()});
}

void Feed::recordConfirmation(const Confirmation &In) {
  auto [It, Inserted] = Confirmed_.emplace(In.Vm_, In);
  if (!Inserted && !newer(In, It->second))
    return;
  It->second = In;
  Unacknowledged_.insert(In.Vm_);
}

} // namespace lagoonpoint
