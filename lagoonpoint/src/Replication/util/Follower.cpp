#include "lagoonpoint/src/Replication/util/Follower.h"

#include "lagoonpoint/src/Replication/util/Election.h"

#include <algorithm>

namespace lagoonpoint::internal {

namespace {

constexpr const char *Step = "replication.follow";

/// Accepts the sender as the leader of its term.
void followLeader(ReplicaState &S, const VmId &From, Term T, Time Now,
                  ReplicaOutput &Out) {
  LAGOONPOINT_ASSERT(S.Role_ != ReplicaRole::Leader || T > S.Term_, Step);
  LAGOONPOINT_ASSERT(S.Leader_.empty() || S.Leader_ == From || T > S.Term_,
                     Step);
  becomeFollower(S, T, From, Now, Out);
  S.LastContact_ = Now;
  resetElection(S, Now);
}

AppendReply replyTo(const ReplicaState &S, const AppendRequest &M) {
  AppendReply Reply;
  Reply.Term_ = S.Term_;
  Reply.Disk_ = S.Disk_;
  Reply.Sent_ = M.Sent_;
  return Reply;
}

bool isWellFormed(const AppendRequest &M) {
  LogIndex Index = M.PrevIndex_;
  Term Last = M.PrevTerm_;
  for (const LogEntry &E : M.Entries_) {
    Index = Index.next();
    if (E.Index_ != Index || E.Term_ < Last || E.Term_ > M.Term_)
      return false;
    Last = E.Term_;
  }
  return true;
}

bool matchesPrevious(const ReplicaState &S, const AppendRequest &M) {
  if (M.PrevIndex_ < S.Log_.baseIndex())
    return true; // included in the snapshot, so committed
  return S.Log_.termAt(M.PrevIndex_) == M.PrevTerm_;
}

LogIndex rejectHintFor(const ReplicaState &S, LogIndex Prev) {
  if (Prev > S.Log_.lastIndex())
    return S.Log_.lastIndex();
  return std::max(S.Log_.lastIndexBeforeTermOf(Prev), S.Commit_);
}

void appendEntries(ReplicaState &S, const std::vector<LogEntry> &Entries,
                   ReplicaOutput &Out) {
  for (const LogEntry &E : Entries) {
    if (E.Index_ <= S.Log_.baseIndex())
      continue;
    if (S.Log_.termAt(E.Index_) == E.Term_)
      continue;
    if (E.Index_ <= S.Log_.lastIndex()) {
      LAGOONPOINT_ASSERT(E.Index_ > S.Commit_, Step);
      S.Log_.truncateFrom(E.Index_);
    }
    S.Log_.append(E);
    Out.AppendFrom_ = std::min(Out.AppendFrom_.value_or(E.Index_), E.Index_);
  }
}

SnapshotReply replyTo(const ReplicaState &S, const SnapshotChunk &M) {
  SnapshotReply Reply;
  Reply.Term_ = S.Term_;
  Reply.Index_ = M.Meta_.Index_;
  Reply.Disk_ = S.Disk_;
  Reply.Sent_ = M.Sent_;
  return Reply;
}

bool isWellFormed(const ReplicaState &S, const SnapshotChunk &M) {
  return M.Total_ <= S.Options_.Limits_.MaxSnapshotBytes_ &&
         M.Offset_ <= M.Total_ && M.Bytes_.size() <= M.Total_ - M.Offset_;
}

void appendChunk(IncomingSnapshot &Incoming, const SnapshotChunk &M) {
  if (Incoming.Meta_ != M.Meta_ || Incoming.Total_ != M.Total_)
    Incoming = {M.Meta_, M.Total_, ""};
  if (M.Offset_ == Incoming.Bytes_.size())
    Incoming.Bytes_ += M.Bytes_;
}

void installSnapshot(ReplicaState &S, ReplicaOutput &Out) {
  Snapshot Complete{S.Incoming_.Meta_, std::move(S.Incoming_.Bytes_)};
  S.Incoming_ = IncomingSnapshot();
  S.Commit_ = Complete.Meta_.Index_;
  S.Log_.rebase(std::move(Complete));
  Out.SaveSnapshot_ = true;
}

} // namespace

void handle(ReplicaState &S, const VmId &From, const AppendRequest &M, Time Now,
            ReplicaOutput &Out) {
  if (M.Term_ < S.Term_) {
    Out.Messages_.push_back({From, replyTo(S, M)});
    return;
  }
  if (!isWellFormed(M))
    return;
  followLeader(S, From, M.Term_, Now, Out);
  AppendReply Reply = replyTo(S, M);
  if (matchesPrevious(S, M)) {
    appendEntries(S, M.Entries_, Out);
    Reply.Matched_ = true;
    Reply.Match_ = LogIndex(M.PrevIndex_.value() + M.Entries_.size());
    S.Commit_ = std::max(S.Commit_, std::min(M.Commit_, Reply.Match_));
  } else {
    Reply.RejectHint_ = rejectHintFor(S, M.PrevIndex_);
  }
  Out.Messages_.push_back({From, Reply});
}

void handle(ReplicaState &S, const VmId &From, const SnapshotChunk &M, Time Now,
            ReplicaOutput &Out) {
  SnapshotReply Reply = replyTo(S, M);
  if (M.Term_ < S.Term_) {
    Out.Messages_.push_back({From, Reply});
    return;
  }
  if (!isWellFormed(S, M))
    return;
  followLeader(S, From, M.Term_, Now, Out);
  Reply.Term_ = S.Term_;
  if (M.Meta_.Index_ > S.Commit_) {
    appendChunk(S.Incoming_, M);
    Reply.Offset_ = S.Incoming_.Bytes_.size();
    if (Reply.Offset_ == M.Total_)
      installSnapshot(S, Out);
  }
  Reply.Installed_ = M.Meta_.Index_ <= S.Commit_;
  Out.Messages_.push_back({From, Reply});
}

} // namespace lagoonpoint::internal
