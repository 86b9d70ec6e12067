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

void sendPiece(ReplicaState &S, const VmId &To, PeerProgress &P, Time Now,
               ReplicaOutput &Out) {
  const Snapshot &Whole = S.Log_.base();
  if (P.SnapshotOffset_ > Whole.State_.size())
    P.SnapshotOffset_ = 0;
  SnapshotPiece Piece;
  Piece.Term_ = S.Term_;
  Piece.Meta_ = Whole.Meta_;
  Piece.Total_ = Whole.State_.size();
  Piece.Offset_ = P.SnapshotOffset_;
  Piece.Bytes_ =
      Whole.State_.substr(P.SnapshotOffset_, S.Options_.Limits_.PieceBytes_);
  Piece.Sent_ = Now.count();
  Out.Messages_.push_back({To, std::move(Piece)});
}

/// Sends what the peer lacks; while the last of that is unanswered, only asks
/// how far the peer is, so that an unreachable VM costs little.
void sendTo(ReplicaState &S, const VmId &To, PeerProgress &P, Time Now,
            ReplicaOutput &Out) {
  if (P.Next_ <= S.Log_.baseIndex())
    sendPiece(S, To, P, Now, Out);
  else
    sendEntries(S, To, P, Now, Out);
  P.SentAt_ = Now;
  if (!P.InFlight_)
    P.EntriesSentAt_ = Now;
  P.InFlight_ = true;
}

bool hasNews(const ReplicaState &S, const PeerProgress &P) {
  return P.Next_ <= S.Log_.lastIndex() || P.CommitSent_ < S.Commit_;
}

void sendNews(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  for (auto &[Vm, P] : S.Peers_)
    if (!P.InFlight_ && hasNews(S, P))
      sendTo(S, Vm, P, Now, Out);
}

/// Makes S.Peers_ follow the configuration.
void syncPeers(ReplicaState &S) {
  std::vector<VmId> Wanted = S.Log_.config().peersOf(S.Options_.Self_);
  std::erase_if(S.Peers_, [&](const auto &Entry) {
    return std::find(Wanted.begin(), Wanted.end(), Entry.first) == Wanted.end();
  });
  for (const VmId &Vm : Wanted)
    if (!S.Peers_.count(Vm))
      S.Peers_[Vm].Next_ = S.Log_.lastIndex().next();
}

/// Notes the reply of a peer. \returns null if it is not for this term.
PeerProgress *noteReply(ReplicaState &S, const VmId &From, Term T, DiskId Disk,
                        std::int64_t Sent, Time Now, ReplicaOutput &Out) {
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

void noteMatch(ReplicaState &S, PeerProgress &P, LogIndex Match, Time Now,
               ReplicaOutput &Out) {
  P.Match_ = std::max(P.Match_, Match);
  P.Next_ = std::max(P.Next_, P.Match_.next());
  advanceCommit(S, Now, Out);
}

/// The quorum-th largest of one value a voter.
template <class Value, class Of>
Value quorumOf(const ReplicaState &S, const Of &ValueOf) {
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

bool ledItselfOut(const ReplicaState &S) {
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
  S.TermStart_ = appendOwn(S, EntryKind::Blank, "", Now, Out);
}

LogIndex appendOwn(ReplicaState &S, EntryKind Kind, std::string Bytes, Time Now,
                   ReplicaOutput &Out) {
  LAGOONPOINT_ASSERT(S.Role_ == ReplicaRole::Leader, Step);
  LogIndex Index = S.Log_.lastIndex().next();
  S.Log_.append({S.Term_, Index, Kind, std::move(Bytes)});
  Out.AppendFrom_ = std::min(Out.AppendFrom_.value_or(Index), Index);
  if (Kind == EntryKind::Config)
    syncPeers(S);
  sendNews(S, Now, Out);
  return Index;
}

void tickLeader(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  const ReplicationTiming &Timing = S.Options_.Timing_;
  Time Heard = quorumAckedAt(S, Now).value_or(S.BecameLeader_);
  Heard = std::max(Heard, S.BecameLeader_);
  if (Now >= Heard + Timing.ElectionMin_) {
    becomeFollower(S, S.Term_, VmId(), Now, Out);
    return;
  }
  for (auto &[Vm, P] : S.Peers_)
    if (Now >= P.SentAt_ + Timing.Heartbeat_)
      sendTo(S, Vm, P, Now, Out);
}

void advanceCommit(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  LogIndex Held =
      quorumOf<LogIndex>(S, [&](const Voter &V) { return matchOf(S, V); });
  if (Held > S.Commit_ && S.Log_.termAt(Held) == S.Term_)
    S.Commit_ = Held;
  sendNews(S, Now, Out);
  if (ledItselfOut(S))
    becomeFollower(S, S.Term_, VmId(), Now, Out);
}

std::optional<Time> quorumAckedAt(const ReplicaState &S, Time Now) {
  return quorumOf<std::optional<Time>>(
      S, [&](const Voter &V) { return ackedAt(S, V, Now); });
}

bool isHeard(const ReplicaState &S, const Voter &V, Time Now) {
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
  PeerProgress *P = noteReply(S, From, M.Term_, M.Disk_, M.Sent_, Now, Out);
  if (!P)
    return;
  if (M.Matched_) {
    LAGOONPOINT_ASSERT(M.Match_ <= S.Log_.lastIndex(), Step);
    noteMatch(S, *P, M.Match_, Now, Out);
    return;
  }
  LogIndex Next = std::max(P->Match_.next(), M.Hint_.next());
  if (Next >= P->Next_)
    return; // an old reply: the next heartbeat asks again
  P->Next_ = Next;
  sendTo(S, From, *P, Now, Out);
}

void handle(ReplicaState &S, const VmId &From, const SnapshotReply &M, Time Now,
            ReplicaOutput &Out) {
  PeerProgress *P = noteReply(S, From, M.Term_, M.Disk_, M.Sent_, Now, Out);
  if (!P)
    return;
  if (M.Installed_) {
    P->SnapshotOffset_ = 0;
    noteMatch(S, *P, M.Index_, Now, Out);
    return;
  }
  std::uint64_t Before = P->SnapshotOffset_;
  bool Present = M.Index_ == S.Log_.baseIndex();
  P->SnapshotOffset_ = Present ? M.Offset_ : 0;
  if (!P->InFlight_ || P->SnapshotOffset_ > Before)
    sendTo(S, From, *P, Now, Out);
}

} // namespace lagoonpoint::internal
