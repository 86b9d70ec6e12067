#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

#include <functional>

namespace lagoonpoint {

/// \class CommittedItem
/// \ingroup Replication
/// \brief A command to apply, or a snapshot that replaces the state machine's
/// state.
struct CommittedItem {
  bool IsSnapshot_ = false;
  LogIndex Index_;
  Term Term_;
  std::string Bytes_;
};

/// \class ReplicaStatus
/// \ingroup Replication
/// \brief The status of a replica, for operators.
struct ReplicaStatus {
  ReplicaRole Role_ = ReplicaRole::Follower;
  Term Term_;
  VmId Leader_;
  LogIndex Commit_;
  LogIndex LastIndex_;
  LogIndex SnapshotIndex_;
  DiskId Disk_;
  VoterConfig Config_;
  bool IsVoter_ = false;           ///< this VM is a voter with its present disk
  bool ChangeInProgress_ = false;  ///< a voter change is uncommitted
  bool SurvivesOneLoss_ = false;   ///< see survivesOneLoss()
  std::map<VmId, LogIndex> Match_; ///< if leading: last durable, by peer
  std::string Fault_;              ///< why it stopped; empty if it runs
  std::uint64_t MalformedMessages_ = 0; ///< messages that failed to decode
};

/// \class Replica
/// \ingroup Replication
/// \brief One replica with its storage; not thread-safe.
///
/// Functions that write return when the write is durable. Call tick() every 20
/// to 50 ms, and receive() for each message of Channel::Replication. After each
/// call, send the messages of takeOutbox() and apply the items of
/// takeCommitted(). The time passed in must never decrease. For receive(), read
/// it after taking the message from its queue.
///
/// After a failed write or a violated invariant the replica stops: it no longer
/// leads, votes or acknowledges, and status() gives the reason. To restart,
/// create a new Replica on the reopened folder.
class Replica {
public:
  /// Loads the state from the storage.
  /// \param Store must outlive the replica
  /// \throws CorruptError if the folder is damaged
  Replica(const ReplicaOptions &Options, Storage &Store, Time Now);

  void tick(Time Now);
  void receive(const Envelope &Message, Time Now);
  ProposeResult propose(std::string Command, Time Now);
  ProposeResult addLearner(const VmId &Vm, Time Now);
  ProposeResult promote(const VmId &Vm, Time Now);
  ProposeResult remove(const VmId &Vm, Time Now);
  /// Promotes the first learner that can become a voter, if this VM leads.
  /// \param Held learners that stay learners for now
  void promoteLearner(const std::set<VmId> &Held, Time Now);

  /// \returns the messages to send, and removes them from the outbox.
  std::vector<Envelope> takeOutbox();

  /// \returns the items committed since the last call, in log order.
  std::vector<CommittedItem> takeCommitted();

  /// \returns true if snapshot() should be called.
  bool wantsSnapshot() const;

  /// Stores a snapshot and removes the log entries that it covers.
  /// \param State the state after applying all items taken so far
  void snapshot(std::string State, Time Now);

  VmId leaderHint() const { return State_.Leader_; }
  bool isLeader() const { return State_.Role_ == ReplicaRole::Leader; }
  bool leaseValid(Time Now) const;
  ReplicaStatus status(Time Now) const;
  /// \returns one message for each damaged log tail that was discarded when the
  /// folder was opened.
  const std::vector<std::string> &recoveryMessages() const {
    return RecoveryMessages_;
  }
  /// \returns why this replica stopped; empty if it runs.
  const std::string &fault() const { return Fault_; }
  const ReplicaState &state() const { return State_; }

private:
  using StepFunction = std::function<ProposeResult(ReplicaOutput &)>;

  ProposeResult runStep(Time Now, const StepFunction &Step);
  void persistAndSend(ReplicaOutput Out, Time Now);
  void persist(const ReplicaOutput &Out);
  void stop(const Error &E, Time Now);

  Storage &Store_;
  // Declared before State_, whose initializer sets it.
  std::vector<std::string> RecoveryMessages_;
  ReplicaState State_;
  std::vector<Envelope> Outbox_;
  LogIndex Delivered_;
  std::string Fault_;
  std::uint64_t MalformedMessages_ = 0;
};

} // namespace lagoonpoint
