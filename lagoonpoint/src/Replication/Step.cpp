#include "lagoonpoint/src/Replication/Step.h"

#include "lagoonpoint/src/Replication/util/Bootstrap.h"
#include "lagoonpoint/src/Replication/util/Election.h"
#include "lagoonpoint/src/Replication/util/Follower.h"
#include "lagoonpoint/src/Replication/util/Leader.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

constexpr const char *StepName = "replication.step";

bool isReadyToCompact(const ReplicaState &S, LogIndex Index) {
  return std::all_of(S.Peers_.begin(), S.Peers_.end(), [&](const auto &Entry) {
    return Entry.second.Match_ >= Index;
  });
}

} // namespace

ReplicaState startReplica(const ReplicaOptions &Options, StoredState Stored,
                          Time Now) {
  ReplicaState S;
  S.Options_ = Options;
  S.Random_.seed(Options.Seed_);
  S.Disk_ = Stored.Disk_;
  S.Term_ = Stored.Term_;
  S.Vote_ = Stored.Vote_;
  S.Log_ =
      internal::Log(std::move(Stored.Snapshot_), std::move(Stored.Entries_));
  S.Commit_ = S.Log_.baseIndex();
  S.Durable_ = S.Log_.lastIndex();
  S.LastContact_ = Now;
  S.ProbeDue_ = Now;
  internal::resetElection(S, Now);
  return S;
}

void tick(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  if (S.Role_ == ReplicaRole::Leader) {
    internal::tickLeader(S, Now, Out);
    return;
  }
  internal::tickBootstrap(S, Now, Out);
  if (Now >= S.ElectionDue_ && internal::mayCampaign(S))
    internal::startPreVote(S, Now, Out);
}

void receive(ReplicaState &S, const VmId &From, const ReplicationMessage &M,
             Time Now, ReplicaOutput &Out) {
  std::visit(
      [&](const auto &Typed) { internal::handle(S, From, Typed, Now, Out); },
      M);
}

ProposeResult propose(ReplicaState &S, std::string Command, Time Now,
                      ReplicaOutput &Out) {
  ProposeResult Result;
  Result.Leader_ = S.Leader_;
  Result.Term_ = S.Term_;
  std::uint64_t Uncommitted = S.Log_.lastIndex().value() - S.Commit_.value();
  if (S.Role_ != ReplicaRole::Leader)
    Result.Refusal_ = ProposeRefusal::NotLeader;
  else if (Uncommitted >= S.Options_.Limits_.MaxUncommitted_)
    Result.Refusal_ = ProposeRefusal::Busy;
  else
    Result.Index_ = internal::appendAsLeader(S, EntryKind::Command,
                                             std::move(Command), Now, Out);
  return Result;
}

void onWritesDurable(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  S.Durable_ = S.Log_.lastIndex();
  if (S.Role_ == ReplicaRole::Leader)
    internal::advanceCommit(S, Now, Out);
}

void stepDown(ReplicaState &S, Time Now) {
  ReplicaOutput Unused;
  internal::becomeFollower(S, S.Term_, VmId(), Now, Unused);
}

void compact(ReplicaState &S, LogIndex Index, std::string State,
             ReplicaOutput &Out) {
  LAGOONPOINT_ASSERT(Index <= S.Commit_, StepName);
  LAGOONPOINT_ASSERT(Index > S.Log_.baseIndex(), StepName);
  Snapshot Next;
  Next.Meta_ = {Index, *S.Log_.termAt(Index), S.Log_.configAt(Index)};
  Next.State_ = std::move(State);
  S.Log_.rebase(std::move(Next));
  for (auto &Entry : S.Peers_)
    Entry.second.SnapshotOffset_ = 0;
  Out.SaveSnapshot_ = true;
}

bool wantsSnapshot(const ReplicaState &S) {
  const ReplicationLimits &Limits = S.Options_.Limits_;
  std::uint64_t Entries = S.Commit_.value() - S.Log_.baseIndex().value();
  std::size_t Bytes = S.Log_.bytes();
  if (Entries >= 2 * Limits.SnapshotEvery_ ||
      (Entries > 0 && Bytes >= 2 * Limits.SnapshotLogBytes_))
    return true;
  bool Enough = Entries >= Limits.SnapshotEvery_ ||
                (Entries > 0 && Bytes >= Limits.SnapshotLogBytes_);
  return Enough && isReadyToCompact(S, S.Commit_);
}

std::optional<Time> leaseEnd(const ReplicaState &S, Time Now) {
  if (S.Role_ != ReplicaRole::Leader || S.Commit_ < S.TermStart_)
    return std::nullopt;
  std::optional<Time> Acked = internal::quorumAckedAt(S, Now);
  if (!Acked)
    return std::nullopt;
  return *Acked + S.Options_.Timing_.Lease_;
}

bool leaseValid(const ReplicaState &S, Time Now) {
  std::optional<Time> End = leaseEnd(S, Now);
  return End && Now < *End;
}

MemberContact memberContact(const ReplicaState &S) {
  MemberContact Out;
  if (S.Role_ != ReplicaRole::Leader)
    return Out;
  Out.LeaderSince_ = S.BecameLeader_;
  for (const auto &[Vm, Progress] : S.Peers_)
    if (Progress.AckedAt_)
      Out.AnsweredAt_[Vm] = *Progress.AckedAt_;
  return Out;
}

bool survivesOneLoss(const ReplicaState &S, Time Now) {
  const VoterConfig &Config = S.Log_.config();
  constexpr std::size_t MinVoters = 3;
  if (S.Role_ != ReplicaRole::Leader || S.Commit_ < S.TermStart_)
    return false;
  if (Config.Voters_.size() < MinVoters || S.Log_.configIndex() > S.Commit_)
    return false;
  return std::all_of(Config.Voters_.begin(), Config.Voters_.end(),
                     [&](const Voter &V) {
                       return internal::isInContact(S, V, Now) &&
                              internal::matchOf(S, V) >= S.Log_.configIndex();
                     });
}

} // namespace lagoonpoint
