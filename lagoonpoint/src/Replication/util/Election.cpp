#include "lagoonpoint/src/Replication/util/Election.h"

#include "lagoonpoint/src/Replication/util/Leader.h"

namespace lagoonpoint::internal {

namespace {

void requestVotes(ReplicaState &S, bool PreVote, ReplicaOutput &Out) {
  VoteRequest Request;
  Request.Term_ = PreVote ? S.Term_.next() : S.Term_;
  Request.PreVote_ = PreVote;
  Request.LastIndex_ = S.Log_.lastIndex();
  Request.LastTerm_ = S.Log_.lastTerm();
  for (const Voter &V : S.Log_.config().Voters_)
    if (V.Vm_ != S.Options_.Self_)
      Out.Messages_.push_back({V.Vm_, Request});
}

bool hasQuorum(const ReplicaState &S) {
  return S.VotesGranted_.size() >= S.Log_.config().quorum();
}

Duration randomBetween(ReplicaState &S, Duration Min, Duration Max) {
  auto Span = static_cast<std::uint64_t>((Max - Min).count());
  std::uint64_t Extra = S.Random_() % (Span + 1);
  return Min + Duration::millis(static_cast<std::int64_t>(Extra));
}

/// Handles a split vote between two candidates of one term. The one with the
/// smaller id retries soon; the other waits for a full election timeout.
void retryAfterSplitVote(ReplicaState &S, const VmId &OtherCandidate,
                         Time Now) {
  if (S.Options_.Self_ > OtherCandidate) {
    resetElection(S, Now);
    return;
  }
  Duration Least = S.Options_.Timing_.SplitVoteRetry_;
  S.ElectionDue_ = Now + randomBetween(S, Least, Least * 3);
}

void countOwnVote(ReplicaState &S) {
  S.VotesGranted_.clear();
  if (isVoter(S))
    S.VotesGranted_.insert(S.Options_.Self_);
}

void startElection(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  S.Role_ = ReplicaRole::Candidate;
  S.Term_ = S.Term_.next();
  S.Vote_ = S.Options_.Self_;
  countOwnVote(S);
  Out.SaveVote_ = true;
  resetElection(S, Now);
  if (hasQuorum(S))
    becomeLeader(S, Now, Out);
  else
    requestVotes(S, false, Out);
}

/// \returns true if this VM leads, or heard from a leader within ElectionMin_.
/// If so, it votes for no other candidate; the leader's lease relies on this.
bool supportsCurrentLeader(const ReplicaState &S, Time Now) {
  if (S.Role_ == ReplicaRole::Leader)
    return true;
  return Now < S.LastContact_ + S.Options_.Timing_.ElectionMin_;
}

bool isUpToDate(const ReplicaState &S, const VoteRequest &M) {
  if (M.LastTerm_ != S.Log_.lastTerm())
    return M.LastTerm_ > S.Log_.lastTerm();
  return M.LastIndex_ >= S.Log_.lastIndex();
}

VoteReply makeRejection(const ReplicaState &S, bool PreVote) {
  VoteReply Reply;
  Reply.Term_ = S.Term_;
  Reply.PreVote_ = PreVote;
  Reply.Disk_ = S.Disk_;
  return Reply;
}

void grantPreVote(const ReplicaState &S, const VmId &From, const VoteRequest &M,
                  ReplicaOutput &Out) {
  VoteReply Reply = makeRejection(S, true);
  if (M.Term_ > S.Term_ && isUpToDate(S, M)) {
    Reply.Granted_ = true;
    Reply.Term_ = M.Term_;
  }
  Out.Messages_.push_back({From, Reply});
}

void grantVote(ReplicaState &S, const VmId &From, const VoteRequest &M,
               Time Now, ReplicaOutput &Out) {
  VoteReply Reply = makeRejection(S, false);
  bool CanVote = S.Vote_.empty() || S.Vote_ == From;
  if (M.Term_ == S.Term_ && CanVote && isUpToDate(S, M)) {
    Reply.Granted_ = true;
    S.Vote_ = From;
    Out.SaveVote_ = true;
    resetElection(S, Now);
  }
  Out.Messages_.push_back({From, Reply});
}

} // namespace

bool isVoter(const ReplicaState &S) {
  const Voter *Me = S.Log_.config().findVoter(S.Options_.Self_);
  return Me && Me->Disk_ == S.Disk_;
}

bool mayCampaign(const ReplicaState &S) {
  if (isVoter(S))
    return true;
  if (S.Log_.configIndex() <= S.Commit_)
    return false;
  // Only one change may be in progress, so the configuration before the newest
  // one is committed.
  LogIndex Before(S.Log_.configIndex().value() - 1);
  VoterConfig Committed = S.Log_.configAt(Before);
  const Voter *Me = Committed.findVoter(S.Options_.Self_);
  return Me && Me->Disk_ == S.Disk_;
}

void resetElection(ReplicaState &S, Time Now) {
  const ReplicationTiming &Timing = S.Options_.Timing_;
  S.ElectionDue_ =
      Now + randomBetween(S, Timing.ElectionMin_, Timing.ElectionMax_);
}

void becomeFollower(ReplicaState &S, Term T, const VmId &Leader, Time Now,
                    ReplicaOutput &Out) {
  LAGOONPOINT_ASSERT(T >= S.Term_, "replication.term");
  if (T > S.Term_) {
    S.Term_ = T;
    S.Vote_ = VmId();
    Out.SaveVote_ = true;
  }
  if (S.Role_ != ReplicaRole::Follower)
    resetElection(S, Now);
  S.Role_ = ReplicaRole::Follower;
  S.Leader_ = Leader;
  S.Peers_.clear();
  S.VotesGranted_.clear();
}

void startPreVote(ReplicaState &S, Time Now, ReplicaOutput &Out) {
  S.Role_ = ReplicaRole::PreCandidate;
  S.Leader_ = VmId();
  countOwnVote(S);
  resetElection(S, Now);
  if (hasQuorum(S))
    startElection(S, Now, Out);
  else
    requestVotes(S, true, Out);
}

void handle(ReplicaState &S, const VmId &From, const VoteRequest &M, Time Now,
            ReplicaOutput &Out) {
  if (supportsCurrentLeader(S, Now)) {
    Out.Messages_.push_back({From, makeRejection(S, M.PreVote_)});
    return;
  }
  if (M.PreVote_) {
    grantPreVote(S, From, M, Out);
    return;
  }
  if (M.Term_ > S.Term_)
    becomeFollower(S, M.Term_, VmId(), Now, Out);
  else if (S.Role_ == ReplicaRole::Candidate && M.Term_ == S.Term_)
    retryAfterSplitVote(S, From, Now);
  grantVote(S, From, M, Now, Out);
}

void handle(ReplicaState &S, const VmId &From, const VoteReply &M, Time Now,
            ReplicaOutput &Out) {
  if (!M.Granted_) {
    if (M.Term_ > S.Term_)
      becomeFollower(S, M.Term_, VmId(), Now, Out);
    return;
  }
  bool PreVote = S.Role_ == ReplicaRole::PreCandidate;
  if (!PreVote && S.Role_ != ReplicaRole::Candidate)
    return;
  Term Wanted = PreVote ? S.Term_.next() : S.Term_;
  const Voter *V = S.Log_.config().findVoter(From);
  if (M.PreVote_ != PreVote || M.Term_ != Wanted || !V || V->Disk_ != M.Disk_)
    return;
  S.VotesGranted_.insert(From);
  if (!hasQuorum(S))
    return;
  if (PreVote)
    startElection(S, Now, Out);
  else
    becomeLeader(S, Now, Out);
}

} // namespace lagoonpoint::internal
