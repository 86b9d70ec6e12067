#pragma once

#include "fakes/ClusterNode.h"

#include <algorithm>

namespace lagoonpoint::fakes {

/// Observes replicas and records every violated invariant.
class ReplicaChecks {
public:
  std::vector<std::string> Violations_;
  std::uint64_t CheckCount_ = 0; ///< number of checks made

  /// Checks the state that a replica loaded at its start: it must include the
  /// last term and vote.
  void observeStart(const ClusterNode &N) {
    const ReplicaState &S = N.Replica_->state();
    PersistedVote &P = PersistedVotes_[N.Id_];
    expect(S.Term_ >= P.Term_, N, "the stored term is older than the last one");
    expect(S.Term_ > P.Term_ || P.Vote_.empty() || S.Vote_ == P.Vote_, N,
           "the stored vote differs from the last one");
    Applied_[N.Id_] = LogIndex();
    LogExtents_.erase(N.Id_);
  }

  /// Notes that a VM restarts with an empty disk. Acknowledgements from its
  /// previous disk stay valid.
  void observeWipe(const ClusterNode &N) { PersistedVotes_.erase(N.Id_); }

  void observeFault(const ClusterNode &N) {
    bool FromDisk = N.Replica_->fault().rfind("disk.", 0) == 0;
    expect(FromDisk, N, N.Replica_->fault());
  }

  /// Checks a replica after each step, before its messages are sent.
  void observe(const ClusterNode &N) {
    const ReplicaState &S = N.Replica_->state();
    observeLeader(N, S);
    observeLog(N, S);
    PersistedVote Present{S.Term_, S.Vote_};
    if (PersistedVotes_[N.Id_] != Present)
      observeDisk(N, S);
    PersistedVotes_[N.Id_] = Present;
    observeCommit(N, S);
  }

  void observeSnapshot(const ClusterNode &N, const CommittedItem &Item) {
    expect(Item.Index_ > Applied_[N.Id_], N, "the applied index decreased");
    Applied_[N.Id_] = Item.Index_;
  }

  void observeApplied(const ClusterNode &N, const CommittedItem &Item,
                      const Change &C, Revision Before,
                      const ChangeReply &Reply) {
    expect(Item.Index_ > Applied_[N.Id_], N, "the applied index decreased");
    Applied_[N.Id_] = Item.Index_;
    expect(N.Catalog_.Revision_ >= Before, N, "the revision decreased");
    auto [First, New] = Committed_.emplace(Item.Index_, Item);
    if (!New) {
      bool Same = First->second.Term_ == Item.Term_ &&
                  First->second.Bytes_ == Item.Bytes_;
      expect(Same, N, "a committed entry was replaced");
      return;
    }
    observeVerdict(N, C, N.Catalog_.Revision_ > Before, Reply);
  }

  void observeReply(const Change &C, const ChangeReply &Reply) {
    auto Found = Verdicts_.find(C.Id_);
    if (Found == Verdicts_.end() || Found->second != Reply)
      Violations_.push_back(C.Id_.str() + ": a reply differs from the verdict");
    if (Reply.Revision_ > HighestAnswered_)
      HighestAnswered_ = Reply.Revision_;
  }

  template <class IsValid>
  void observeLeases(const std::map<VmId, ClusterNode> &Nodes,
                     const IsValid &Valid) {
    int Holders = 0;
    for (const auto &[Id, N] : Nodes) {
      if (!N.isUp() || !Valid(N))
        continue;
      ++Holders;
      expect(N.Catalog_.Revision_ >= HighestAnswered_, N,
             "a lease holder lacks an answered change");
    }
    ++CheckCount_;
    if (Holders > 1)
      Violations_.push_back("two valid leader leases at once");
  }

  /// \returns the first violations, one on each line.
  std::string report() const {
    std::string Text;
    for (std::size_t N = 0; N < std::min<std::size_t>(3, Violations_.size());
         ++N)
      Text += Violations_[N] + "\n";
    return Text;
  }

private:
  struct PersistedVote {
    Term Term_;
    VmId Vote_;
    friend bool operator==(const PersistedVote &,
                           const PersistedVote &) = default;
  };
  struct LogExtent {
    LogIndex Last_;
    Term LastTerm_;
    LogIndex Base_;
    friend bool operator==(const LogExtent &, const LogExtent &) = default;
  };

  void expect(bool Holds, const ClusterNode &N, const std::string &What) {
    ++CheckCount_;
    if (!Holds)
      Violations_.push_back(N.Id_.str() + ": " + What);
  }

  void observeLeader(const ClusterNode &N, const ReplicaState &S) {
    if (S.Role_ != ReplicaRole::Leader)
      return;
    auto [First, New] = Leaders_.emplace(S.Term_, N.Id_);
    expect(First->second == N.Id_, N, "two leaders in one term");
    if (!New)
      return;
    for (const auto &[Index, Item] : Committed_)
      if (Index > S.Log_.baseIndex())
        expect(S.Log_.termAt(Index) == Item.Term_, N,
               "a new leader lacks a committed entry");
  }

  /// Checks that term, vote and log would survive a power loss.
  void observeDisk(const ClusterNode &N, const ReplicaState &S) {
    FakeDisk Left = N.Disk_.afterPowerLoss();
    StoredState Stored = DiskStorage(Left, DiskId()).load();
    expect(Stored.Term_ == S.Term_ && Stored.Vote_ == S.Vote_, N,
           "term or vote is not durable");
    expect(Stored.Snapshot_.Meta_ == S.Log_.base().Meta_ &&
               Stored.Entries_ == S.Log_.tailAfter(S.Log_.baseIndex()),
           N, "the log is not durable");
  }

  /// Checks log matching: entries with equal index and term are equal, and so
  /// are the terms of the entries before them.
  void observeLog(const ClusterNode &N, const ReplicaState &S) {
    LogExtent Present{S.Log_.lastIndex(), S.Log_.lastTerm(),
                      S.Log_.baseIndex()};
    if (LogExtents_[N.Id_] == Present)
      return;
    LogExtents_[N.Id_] = Present;
    observeDisk(N, S);
    for (const LogEntry &E : S.Log_.tailAfter(S.Log_.baseIndex())) {
      Term Previous = *S.Log_.termAt(LogIndex(E.Index_.value() - 1));
      auto [First, New] = Entries_.emplace(std::pair(E.Index_, E.Term_),
                                           std::pair(Previous, E.Bytes_));
      expect(New || First->second == std::pair(Previous, E.Bytes_), N,
             "logs differ at an equal index and term");
    }
  }

  /// Checks that a quorum of voters durably holds what the leader commits.
  void observeCommit(const ClusterNode &N, const ReplicaState &S) {
    Durable_[{N.Id_, S.Disk_}] = S.Durable_;
    if (S.Role_ != ReplicaRole::Leader || S.Commit_ <= HighestCommit_)
      return;
    HighestCommit_ = S.Commit_;
    const VoterConfig &Config = S.Log_.config();
    auto Holding =
        std::count_if(Config.Voters_.begin(), Config.Voters_.end(),
                      [&](const Voter &V) { return Durable_[V] >= S.Commit_; });
    expect(static_cast<std::size_t>(Holding) >= Config.quorum(), N,
           "entry committed without a quorum");
  }

  void observeVerdict(const ClusterNode &N, const Change &C,
                      bool RevisionIncreased, const ChangeReply &Reply) {
    auto [First, New] = Verdicts_.emplace(C.Id_, Reply);
    expect(First->second == Reply, N, "a resent change got another verdict");
    expect(New || !RevisionIncreased, N, "a change was applied twice");
    if (!RevisionIncreased || C.Kind_ != ChangeKind::Declare)
      return;
    expect(AcceptedByBase_.emplace(C.Base_, C.Id_).second, N,
           "two changes with one base revision were accepted");
  }

  std::map<Term, VmId> Leaders_;
  std::map<VmId, PersistedVote> PersistedVotes_;
  std::map<VmId, LogExtent> LogExtents_;
  std::map<std::pair<LogIndex, Term>, std::pair<Term, std::string>> Entries_;
  std::map<LogIndex, CommittedItem> Committed_;
  std::map<VmId, LogIndex> Applied_;
  std::map<Voter, LogIndex> Durable_; ///< by disk, including lost ones
  std::map<ChangeId, ChangeReply> Verdicts_;
  std::map<Revision, ChangeId> AcceptedByBase_;
  LogIndex HighestCommit_;
  Revision HighestAnswered_;
};

} // namespace lagoonpoint::fakes
