#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

#include <functional>

namespace lagoonpoint {

/// \class CommittedItem
/// \ingroup Replication
/// \brief A command to apply, or a state that replaces the state machine's.
struct CommittedItem {
  bool IsSnapshot_ = false;
  LogIndex Index_;
  Term Term_;
  std::string Bytes_;
};

/// \class ReplicaStatus
/// \ingroup Replication
/// \brief What operators see of a replica.
struct ReplicaStatus {
  ReplicaRole Role_ = ReplicaRole::Follower;
  Term Term_;
  VmId Leader_;
  LogIndex Commit_;
  LogIndex LastIndex_;
  LogIndex SnapshotIndex_;
  DiskId Disk_;
  VoterConfig Config_;
  bool IsVoter_ = false;           ///< this VM votes, by the disk it has
  bool ChangeInProgress_ = false;  ///< of the voters
  bool SurvivesOneLoss_ = false;   ///< see survivesOneLoss()
  std::map<VmId, LogIndex> Match_; ///< while leading: durable at each peer
  std::string Fault_;              ///< why this replica stopped, else empty
  std::uint64_t MalformedMessages_ = 0; ///< messages that could not be decoded
};

/// \class Replica
/// \ingroup Replication
/// \brief One replica with its disk; to be driven by a single thread.
///
/// Every function that may write returns after the write is durable. Drive it
/// so: tick() every 20 to 50 ms, receive() for each message of
/// Channel::Replication; after each, send takeOutbox() and apply
/// takeCommitted(). The time given never goes back, and for receive() is read
/// after the message was taken from its queue.
///
/// After a failed write or a violated invariant the replica stops: it leads,
/// votes and acknowledges no more, and status() says why. A new Replica on the
/// reopened folder starts again.
class Replica {
public:
  /// Reads the storage.
  /// \param Store must outlive the replica
  /// \throws CorruptError if the folder is damaged
  Replica(const ReplicaOptions &Options, Storage &Store, Time Now);

  void tick(Time Now);
  void receive(const Envelope &Message, Time Now);
  ProposeResult propose(std::string Command, Time Now);
  ProposeResult addLearner(const VmId &Vm, Time Now);
  ProposeResult promote(const VmId &Vm, Time Now);
  ProposeResult remove(const VmId &Vm, Time Now);

  /// Takes the messages to send.
  std::vector<Envelope> takeOutbox();

  /// Takes what was committed since the last call, in order.
  std::vector<CommittedItem> takeCommitted();

  /// \returns true if snapshot() should be called.
  bool wantsSnapshot() const;

  /// Stores the state machine's state after all items taken so far, and drops
  /// the entries it covers.
  void snapshot(std::string State, Time Now);

  VmId leaderHint() const { return State_.Leader_; }
  bool isLeader() const { return State_.Role_ == ReplicaRole::Leader; }
  bool leaseValid(Time Now) const;
  ReplicaStatus status(Time Now) const;
  /// \returns lines on tails that were cut when the folder was opened.
  const std::vector<std::string> &recoveryMessages() const {
    return RecoveryMessages_;
  }
  /// \returns why this replica stopped; empty while it runs.
  const std::string &fault() const { return Fault_; }
  const ReplicaState &state() const { return State_; }

private:
  using StepFunction = std::function<ProposeResult(ReplicaOutput &)>;

  ProposeResult runStep(Time Now, const StepFunction &Step);
  void persistAndSend(ReplicaOutput Out, Time Now);
  void persist(const ReplicaOutput &Out);
  void stop(const Error &E, Time Now);

  Storage &Store_;
  std::vector<std::string> RecoveryMessages_; // filled while State_ is made
  ReplicaState State_;
  std::vector<Envelope> Outbox_;
  LogIndex Delivered_;
  std::string Fault_;
  std::uint64_t MalformedMessages_ = 0;
};

} // namespace lagoonpoint
