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
  switch (static_cast<FeedKind>(Message.Body_[0])) {
  case FeedKind::Pull:
    return takePull(Message.From_, decode<FeedPull>(Rest, Step, From), Now);
  case FeedKind::Beat:
    return takeBeat(Message.From_, decode<FeedBeat>(Rest, Step, From), Now);
  }
  throw CodecError(Step, From, "message of unknown kind");
}

void Feed::takePull(const VmId &From, const FeedPull &In, Time Now) {
  noteConfirmation({From, In.Incarnation_, In.Revision_});
  for (const Confirmation &C : In.Confirmed_)
    noteConfirmation(C);
  FeedBeat Out = beat(Now);
  Out.Asker_ = In.Incarnation_;
  Out.SentAt_ = In.SentAt_;
  if (In.Follows_) {
    Follower &F = Followers_[From];
    F.PulledAt_ = Now;
    F.Sent_ = In.Revision_;
    bool Behind = In.Revision_ < Store_.revision();
    bool Whole = In.WantSnapshot_ && In.Revision_ <= Store_.revision();
    if (Behind || Whole)
      addNews(Out, F, In.Revision_, Whole, Now);
  }
  post(From, FeedKind::Beat, Out);
}

void Feed::takeBeat(const VmId &From, const FeedBeat &In, Time Now) {
  Revision Before = Store_.revision();
  if (!Voter_) {
    for (const FeedSnapshot &State : In.Snapshots_)
      applySnapshot(State);
    for (const Delta &Change : In.Deltas_)
      applyDelta(Change);
  }
  LAGOONPOINT_ASSERT(Store_.revision() >= Before, Step);
  if (Store_.revision() != Before)
    confirmSelf();
  Time SentAt = Time() + In.SentAt_;
  bool Answer =
      In.Asker_ == Options_.Incarnation_ && SentAt >= Started_ && SentAt <= Now;
  if (Answer)
    takeAnswer(From, In, Now);
  checkDigest(From, In);
  adoptPendingProof();
  if (Store_.revision() != Before)
    pushToFollowers(Now);
  if (From == Source_ && In.Revision_ > Store_.revision())
    NextPull_ = std::min(NextPull_, Now + Options_.PullEvery_ / 5);
}

void Feed::takeAnswer(const VmId &From, const FeedBeat &In, Time Now) {
  Time SentAt = Time() + In.SentAt_;
  takeProof(In, SentAt);
  bool Proved = In.Proved_ && In.ProofAge_ < Options_.KeyLease_;
  PeerAnswer &Last = Answers_[From];
  if (SentAt >= Last.AskedAt_) {
    Last = {SentAt, In.Revision_, In.Ready_, std::nullopt};
    if (In.Proved_)
      Last.ProvedAt_ = SentAt - In.ProofAge_;
  }
  if (From == Source_) {
    SourceHeard_ = Now;
    for (const Confirmation &C : InPulls_[SentAt]) {
      const Confirmation &Mine = Confirmed_.at(C.Vm_);
      if (!newer(Mine, C))
        Unacknowledged_.erase(C.Vm_);
    }
    InPulls_.erase(InPulls_.begin(), InPulls_.upper_bound(SentAt));
    return;
  }
  if (Voter_)
    return;
  bool Preferred = !Sources_.empty() && From == Sources_.front() && Proved;
  bool Helps = !proofHolds(Now) && (Proved || In.Revision_ > Store_.revision());
  if (Preferred || Helps)
    follow(From, Now);
}

void Feed::takeProof(const FeedBeat &In, Time SentAt) {
  if (!In.Proved_ || In.ProofAge_ < Duration())
    return;
  Proof Shown{SentAt - In.ProofAge_, In.ProofRevision_};
  if (Proof_ && Shown.At_ <= Proof_->At_)
    return;
  if (Shown.Revision_ <= Store_.revision())
    Proof_ = Shown;
  else if (!Pending_ || Shown.At_ > Pending_->At_)
    Pending_ = Shown;
}

void Feed::adoptPendingProof() {
  if (!Pending_ || Pending_->Revision_ > Store_.revision())
    return;
  if (!Proof_ || Pending_->At_ > Proof_->At_)
    Proof_ = Pending_;
  Pending_.reset();
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
  Revision Held = Store_.revision();
  bool Repair = WantSnapshot_ && State.Revision_ == Held;
  if (State.Revision_ <= Held && !Repair)
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

void Feed::checkDigest(const VmId &From, const FeedBeat &In) {
  if (From != Source_ || In.Revision_ != Store_.revision() || Voter_)
    return;
  WantSnapshot_ = In.Digest_ != shortDigest();
}

void Feed::confirmSelf() {
  noteConfirmation({Options_.Self_, Options_.Incarnation_, Store_.revision()});
}

void Feed::noteConfirmation(const Confirmation &In) {
  auto [It, New] = Confirmed_.emplace(In.Vm_, In);
  if (!New && !newer(In, It->second))
    return;
  It->second = In;
  Unacknowledged_.insert(In.Vm_);
}

} // namespace lagoonpoint
