#include "lagoonpoint/src/Replication/util/Leader.h"

#include "lagoonpoint/src/Replication/util/Election.h"

#include <algorithm>
#include <functional>

namespace lagoonpoint::internal {

namespace {

constexpr const char *Step = "replication.lead";

void sendEntries(ReplicaState &S, const VmId &To, PeerProgress &P, Time Now,
                 ReplicaOutput &Out) {
  AppendRequest Request;
  Request.Term_ = S.Term_;
  Request.PrevIndex_ = LogIndex(P.Next_.value() - 1);
  Request.PrevTerm_ = *S.Log_.termAt(Request.PrevIndex_);
  Request.Commit_ = S.Commit_;
  if (!P.InFlight_)
    Request.Entries_ = S.Log_.slice(P.Next_, S.Options_.Limits_.BatchBytes_);
  Request.Sent_ = Now.count();
  P.CommitSent_ = S.Commit_;
  Out.Messages_.push_back({To, std::move(Request)});
}

void sendChunk(ReplicaState &S, const VmId &To, PeerProgress &P, Time Now,
               ReplicaOutput &Out) {
  const Snapshot &Base = S.Log_.base();
  if (P.SnapshotOffset_ > Base.State_.size())
    P.SnapshotOffset_ = 0;
  SnapshotChunk Chunk;
  Chunk.Term_ = S.Term_;
  Chunk.Meta_ = Base.Meta_;
  Chunk.Total_ = Base.State_.size();
  Chunk.Offset_ = P.SnapshotOffset_;
  Chunk.Bytes_ =
      Base.State_.substr(P.SnapshotOffset_, S.Options_.Limits_.ChunkBytes_);
  Chunk.Sent_ = Now.count();
  Out.Messages_.push_back({To, std::move(Chunk)});
}

/// Sends the entries or the snapshot chunk that the peer needs next. While an
/// earlier message is in flight, entries are left out to limit the traffic to
/// an unreachable VM, and a chunk is sent again.
void sendTo(ReplicaState &S, const VmId &To, PeerProgress &P, Time Now,
            ReplicaOutput &Out) {
  if (P.Next_ <= S.Log_.baseIndex())
    sendChunk(S, To, P, Now, Out);
  else
    sendEntries(S, To, P, Now, Out);
  P.SentAt_ = Now;
  if (!P.InFlight_)
    P.EntriesSentAt_ = Now;
  P.InFlight_ = true;
}

bool hasPending(const ReplicaState &S, const PeerProgress &P) {
  return P.Next_ <= S.Log_.lastIndex() || P.CommitSent_ < S.Commit_;
}

void sendPending(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  for (auto &[Vm, P] : S.Peers_)
    if (!P.InFlight_ && hasPending(S, P))
      sendTo(S, Vm, P, Now, Out);
}

/// Updates S.Peers_ to match the configuration.
void syncPeers(ReplicaState &S) {
  std::vector<VmId> Wanted = S.Log_.config().peersOf(S.Options_.Self_);
  std::erase_if(S.Peers_, [&](const auto &Entry) {
    return std::find(Wanted.begin(), Wanted.end(), Entry.first) == Wanted.end();
  });
  for (const VmId &Vm : Wanted)
    if (!S.Peers_.count(Vm))
      S.Peers_[Vm].Next_ = S.Log_.lastIndex().next();
}

/// Records the reply of a peer.
/// \returns the peer's progress; null if the reply is to be ignored.
PeerProgress *recordReply(ReplicaState &S, const VmId &From, Term T,
                          DiskId Disk, std::int64_t Sent, Time Now,
                          ReplicaOutput &Out) {
  if (T > S.Term_) {
    becomeFollower(S, T, VmId(), Now, Out);
    return nullptr;
  }
  auto Found = S.Peers_.find(From);
  if (T < S.Term_ || S.Role_ != ReplicaRole::Leader || Found == S.Peers_.end())
    return nullptr;
  LAGOONPOINT_ASSERT(Sent <= Now.count(), Step);
  PeerProgress &P = Found->second;
  if (P.Disk_ != Disk) {
    P.Disk_ = Disk;
    P.Match_ = LogIndex();
    P.SnapshotOffset_ = 0;
  }
  if (Time(Sent) >= P.EntriesSentAt_)
    P.InFlight_ = false;
  P.AckedAt_ = std::max(P.AckedAt_.value_or(Time(Sent)), Time(Sent));
  return &P;
}

void recordMatch(ReplicaState &S, PeerProgress &P, LogIndex Match, Time Now,
                 ReplicaOutput &Out) {
  P.Match_ = std::max(P.Match_, Match);
  P.Next_ = std::max(P.Next_, P.Match_.next());
  advanceCommit(S, Now, Out);
}

/// \returns the largest value that a quorum of the voters reaches, given one
/// value for each voter.
template <class Value, class Of>
Value quorumValue(const ReplicaState &S, const Of &ValueOf) {
  const VoterConfig &Config = S.Log_.config();
  std::vector<Value> Values;
  for (const Voter &V : Config.Voters_)
    Values.push_back(ValueOf(V));
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values.empty() ? Value() : Values[Config.quorum() - 1];
}

std::optional<Time> ackedAt(const ReplicaState &S, const Voter &V, Time Now) {
  if (V.Vm_ == S.Options_.Self_)
    return Now;
  auto Found = S.Peers_.find(V.Vm_);
  if (Found == S.Peers_.end() || Found->second.Disk_ != V.Disk_)
    return std::nullopt;
  return Found->second.AckedAt_;
}

bool hasRemovedItself(const ReplicaState &S) {
  return !isVoter(S) && S.Log_.configIndex() <= S.Commit_;
}

} // namespace

void becomeLeader(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  LAGOONPOINT_ASSERT(S.Role_ == ReplicaRole::Candidate, Step);
  LAGOONPOINT_ASSERT(S.Vote_ == S.Options_.Self_, Step);
  S.Role_ = ReplicaRole::Leader;
  S.Leader_ = S.Options_.Self_;
  S.BecameLeader_ = Now;
  S.Peers_.clear();
  syncPeers(S);
  S.TermStart_ = appendAsLeader(S, EntryKind::NoOp, "", Now, Out);
}

LogIndex appendAsLeader(ReplicaState &S, EntryKind Kind, std::string Bytes,
                        Time Now, ReplicaOutput &Out) {
  LAGOONPOINT_ASSERT(S.Role_ == ReplicaRole::Leader, Step);
  LogIndex Index = S.Log_.lastIndex().next();
  S.Log_.append({S.Term_, Index, Kind, std::move(Bytes)});
  Out.AppendFrom_ = std::min(Out.AppendFrom_.value_or(Index), Index);
  if (Kind == EntryKind::Config)
    syncPeers(S);
  sendPending(S, Now, Out);
  return Index;
}

void tickLeader(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  const ReplicationTiming &Timing = S.Options_.Timing_;
  Time LastQuorumContact = quorumAckedAt(S, Now).value_or(S.BecameLeader_);
  LastQuorumContact = std::max(LastQuorumContact, S.BecameLeader_);
  if (Now >= LastQuorumContact + Timing.ElectionMin_) {
    becomeFollower(S, S.Term_, VmId(), Now, Out);
    return;
  }
  for (auto &[Vm, P] : S.Peers_)
    if (Now >= P.SentAt_ + Timing.Heartbeat_)
      sendTo(S, Vm, P, Now, Out);
}

void advanceCommit(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  LogIndex QuorumMatch =
      quorumValue<LogIndex>(S, [&](const Voter &V) { return matchOf(S, V); });
  if (QuorumMatch > S.Commit_ && S.Log_.termAt(QuorumMatch) == S.Term_)
    S.Commit_ = QuorumMatch;
  sendPending(S, Now, Out);
  if (hasRemovedItself(S))
    becomeFollower(S, S.Term_, VmId(), Now, Out);
}

std::optional<Time> quorumAckedAt(const ReplicaState &S, Time Now) {
  return quorumValue<std::optional<Time>>(
      S, [&](const Voter &V) { return ackedAt(S, V, Now); });
}

bool isInContact(const ReplicaState &S, const Voter &V, Time Now) {
  std::optional<Time> Acked = ackedAt(S, V, Now);
  return Acked && Now < *Acked + S.Options_.Timing_.ElectionMin_;
}

LogIndex matchOf(const ReplicaState &S, const Voter &V) {
  if (V.Vm_ == S.Options_.Self_)
    return V.Disk_ == S.Disk_ ? S.Durable_ : LogIndex();
  auto Found = S.Peers_.find(V.Vm_);
  if (Found == S.Peers_.end() || Found->second.Disk_ != V.Disk_)
    return LogIndex();
  return Found->second.Match_;
}

void handle(ReplicaState &S, const VmId &From, const AppendReply &M, Time Now,
            ReplicaOutput &Out) {
  PeerProgress *P = recordReply(S, From, M.Term_, M.Disk_, M.Sent_, Now, Out);
  if (!P)
    return;
  if (M.Matched_) {
    LAGOONPOINT_ASSERT(M.Match_ <= S.Log_.lastIndex(), Step);
    recordMatch(S, *P, M.Match_, Now, Out);
    return;
  }
  LogIndex Next = std::max(P->Match_.next(), M.RejectHint_.next());
  if (Next >= P->Next_)
    return; // outdated reply; the next heartbeat tries again
  P->Next_ = Next;
  sendTo(S, From, *P, Now, Out);
}

void handle(ReplicaState &S, const VmId &From, const SnapshotReply &M, Time Now,
            ReplicaOutput &Out) {
  PeerProgress *P = recordReply(S, From, M.Term_, M.Disk_, M.Sent_, Now, Out);
  if (!P)
    return;
  if (M.Installed_) {
    P->SnapshotOffset_ = 0;
    recordMatch(S, *P, M.Index_, Now, Out);
    return;
  }
  std::uint64_t Before = P->SnapshotOffset_;
  bool Present = M.Index_ == S.Log_.baseIndex();
  P->SnapshotOffset_ = Present ? M.Offset_ : 0;
  if (!P->InFlight_ || P->SnapshotOffset_ > Before)
    sendTo(S, From, *P, Now, Out);
}

} // namespace lagoonpoint::internal
