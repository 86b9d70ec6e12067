#include "lagoonpoint/src/Replication/Replica.h"

#include "lagoonpoint/src/Replication/Reconfiguration.h"
#include "lagoonpoint/src/Replication/Step.h"
#include "lagoonpoint/src/Replication/util/Election.h"

#include <utility>

namespace lagoonpoint {

namespace {

StoredState loadStorage(Storage &Store,
                        std::vector<std::string> &RecoveryMessages) {
  StoredState Stored = Store.load();
  RecoveryMessages = Stored.RecoveryMessages_;
  return Stored;
}

} // namespace

Replica::Replica(const ReplicaOptions &Options, Storage &Store, Time Now)
    : Store_(Store),
      State_(
          startReplica(Options, loadStorage(Store, RecoveryMessages_), Now)) {}

void Replica::tick(Time Now) {
  runStep(Now, [&](ReplicaOutput &Out) {
    lagoonpoint::tick(State_, Now, Out);
    return ProposeResult();
  });
}

void Replica::receive(const Envelope &Message, Time Now) {
  try {
    ReplicationMessage Decoded = decodeMessage(Message.Body_, Message.From_);
    runStep(Now, [&](ReplicaOutput &Out) {
      lagoonpoint::receive(State_, Message.From_, Decoded, Now, Out);
      return ProposeResult();
    });
  } catch (const CodecError &) {
    ++MalformedMessages_;
  }
}

ProposeResult Replica::propose(std::string Command, Time Now) {
  return runStep(Now, [&](ReplicaOutput &Out) {
    return lagoonpoint::propose(State_, std::move(Command), Now, Out);
  });
}

ProposeResult Replica::addLearner(const VmId &Vm, Time Now) {
  return runStep(Now, [&](ReplicaOutput &Out) {
    return lagoonpoint::addLearner(State_, Vm, Now, Out);
  });
}

ProposeResult Replica::promote(const VmId &Vm, Time Now) {
  return runStep(Now, [&](ReplicaOutput &Out) {
    return lagoonpoint::promote(State_, Vm, Now, Out);
  });
}

ProposeResult Replica::remove(const VmId &Vm, Time Now) {
  return runStep(Now, [&](ReplicaOutput &Out) {
    return removeMember(State_, Vm, Now, Out);
  });
}

void Replica::promoteLearner(const std::set<VmId> &Held, Time Now) {
  if (!isLeader() || State_.Log_.configIndex() > State_.Commit_)
    return;
  // A copy, as a promotion changes the configuration.
  for (const VmId &Vm : std::vector<VmId>(State_.Log_.config().Learners_))
    if (!Held.count(Vm) && promote(Vm, Now).accepted())
      return;
}

std::vector<Envelope> Replica::takeOutbox() {
  return std::exchange(Outbox_, {});
}

std::vector<CommittedItem> Replica::takeCommitted() {
  std::vector<CommittedItem> Items;
  const SnapshotMeta &Base = State_.Log_.base().Meta_;
  if (Base.Index_ > Delivered_) {
    Items.push_back({true, Base.Index_, Base.Term_, State_.Log_.base().State_});
    Delivered_ = Base.Index_;
  }
  while (Delivered_ < State_.Commit_) {
    Delivered_ = Delivered_.next();
    const LogEntry &E = State_.Log_.at(Delivered_);
    if (E.Kind_ == EntryKind::Command)
      Items.push_back({false, E.Index_, E.Term_, E.Bytes_});
  }
  return Items;
}

bool Replica::wantsSnapshot() const {
  return Fault_.empty() && Delivered_ == State_.Commit_ &&
         lagoonpoint::wantsSnapshot(State_);
}

void Replica::snapshot(std::string State, Time Now) {
  runStep(Now, [&](ReplicaOutput &Out) {
    compact(State_, Delivered_, std::move(State), Out);
    return ProposeResult();
  });
}

bool Replica::leaseValid(Time Now) const {
  return Fault_.empty() && lagoonpoint::leaseValid(State_, Now);
}

ReplicaStatus Replica::status(Time Now) const {
  ReplicaStatus Status;
  Status.Role_ = State_.Role_;
  Status.Term_ = State_.Term_;
  Status.Leader_ = State_.Leader_;
  Status.Commit_ = State_.Commit_;
  Status.LastIndex_ = State_.Log_.lastIndex();
  Status.SnapshotIndex_ = State_.Log_.baseIndex();
  Status.Disk_ = State_.Disk_;
  Status.Config_ = State_.Log_.config();
  Status.IsVoter_ = internal::isVoter(State_);
  Status.ChangeInProgress_ = State_.Log_.configIndex() > State_.Commit_;
  Status.SurvivesOneLoss_ = Fault_.empty() && survivesOneLoss(State_, Now);
  for (const auto &[Vm, Progress] : State_.Peers_)
    Status.Match_[Vm] = Progress.Match_;
  Status.Fault_ = Fault_;
  Status.MalformedMessages_ = MalformedMessages_;
  return Status;
}

ProposeResult Replica::runStep(Time Now, const StepFunction &Step) {
  ProposeResult Failed;
  Failed.Refusal_ = ProposeRefusal::Failed;
  if (!Fault_.empty())
    return Failed;
  try {
    ReplicaOutput Out;
    ProposeResult Result = Step(Out);
    persistAndSend(std::move(Out), Now);
    return Result;
  } catch (const Error &E) {
    stop(E, Now);
  }
  return Failed;
}

void Replica::persistAndSend(ReplicaOutput Out, Time Now) {
  persist(Out);
  for (AddressedMessage &M : Out.Messages_)
    Outbox_.push_back({State_.Options_.Self_, M.To_, Channel::Replication,
                       encodeMessage(M.Message_)});
  if (!Out.writes())
    return;
  ReplicaOutput After;
  onWritesDurable(State_, Now, After);
  persistAndSend(std::move(After), Now);
}

void Replica::persist(const ReplicaOutput &Out) {
  if (Out.SaveVote_)
    Store_.saveVote(State_.Term_, State_.Vote_);
  LogIndex Base = State_.Log_.baseIndex();
  if (Out.SaveSnapshot_)
    Store_.saveSnapshot(State_.Log_.base(), State_.Log_.tailAfter(Base));
  else if (Out.AppendFrom_)
    Store_.append(
        State_.Log_.tailAfter(LogIndex(Out.AppendFrom_->value() - 1)));
}

void Replica::stop(const Error &E, Time Now) {
  Fault_ = E.what();
  stepDown(State_, Now);
}

} // namespace lagoonpoint
