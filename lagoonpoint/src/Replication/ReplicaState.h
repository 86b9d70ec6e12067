#pragma once

#include "lagoonpoint/src/Replication/Messages.h"
#include "lagoonpoint/src/Replication/Storage.h"
#include "lagoonpoint/src/Replication/util/Log.h"

#include <map>
#include <optional>
#include <set>

namespace lagoonpoint {

/// Role of a replica in its term.
enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };

/// \returns a lower-case name for status and logs.
const char *toString(ReplicaRole Role);

/// Replication progress of one peer, kept by the leader.
struct PeerProgress {
  LogIndex Next_;  ///< next entry to send
  LogIndex Match_; ///< last matching entry that is durable on Disk_
  DiskId Disk_;    ///< last disk id that the peer reported
  LogIndex CommitSent_;
  std::optional<Time> AckedAt_; ///< send time of the newest answered message
  Time SentAt_;                 ///< send time of the newest message
  /// Send time of the last message sent while none was in flight.
  Time EntriesSentAt_;
  /// The messages sent since EntriesSentAt_ are unanswered. No further entries
  /// are sent until one of them is answered.
  bool InFlight_ = false;
  std::uint64_t SnapshotOffset_ = 0;
};

/// A snapshot that is being received in chunks.
struct IncomingSnapshot {
  SnapshotMeta Meta_;
  std::uint64_t Total_ = 0;
  std::string Bytes_;
};

/// Identity and configuration of a replica.
struct ReplicaOptions {
  VmId Self_;
  std::vector<VmId> InitialVoters_; ///< of a new deployment
  ReplicationTiming Timing_;
  ReplicationLimits Limits_;
  std::uint64_t Seed_ = 1; ///< seed of the random election timeouts
};

/// \class ReplicaState
/// \ingroup Replication
/// \brief The state of one replica: plain data that the functions of Step.h
/// and Reconfiguration.h operate on.
struct ReplicaState {
  ReplicaOptions Options_;
  Random Random_;

  DiskId Disk_;
  Term Term_;
  VmId Vote_;
  internal::Log Log_;

  ReplicaRole Role_ = ReplicaRole::Follower;
  VmId Leader_;      ///< empty if unknown
  LogIndex Commit_;  ///< last entry known to be committed
  LogIndex Durable_; ///< last entry that is durable on this VM's disk
  Time LastContact_; ///< time of the last message from a leader
  Time ElectionDue_;
  std::set<VmId> VotesGranted_;

  std::map<VmId, PeerProgress> Peers_; ///< used by leaders only
  Time BecameLeader_;
  LogIndex TermStart_; ///< first entry of this leader's term

  Time ProbeDue_;
  std::map<VmId, DiskId> EmptyPeers_; ///< initial voters with empty disks
  IncomingSnapshot Incoming_;
};

/// \class ReplicaOutput
/// \ingroup Replication
/// \brief The I/O that one step requests. Do the writes first, in the order of
/// the members, and send the messages only when all writes are durable.
struct ReplicaOutput {
  bool SaveVote_ = false;
  bool SaveSnapshot_ = false; ///< together with all entries after it
  std::optional<LogIndex> AppendFrom_;
  std::vector<AddressedMessage> Messages_;

  bool writes() const {
    return SaveVote_ || SaveSnapshot_ || AppendFrom_.has_value();
  }
};

/// Why a proposal or a reconfiguration was refused.
enum class ProposeRefusal {
  None,
  NotLeader,
  Busy,             ///< too many uncommitted entries
  ChangeInProgress, ///< another change of the voters is not yet committed
  NotCaughtUp,      ///< the learner lacks committed entries
  BreaksQuorum,     ///< fewer than a quorum of the new voters are in contact
  TooManyVoters,
  NoSuchMember,
  AlreadyMember,
  Failed, ///< the replica stopped, for example because its disk failed
};

/// \returns a description for operators.
const char *toString(ProposeRefusal Refusal);

/// \class ProposeResult
/// \ingroup Replication
/// \brief The result of a proposal: a refusal, or the command's log position.
///
/// The command is committed when Replica::takeCommitted() returns an item with
/// this index and term. An item with another term at this index means that the
/// command was lost.
struct ProposeResult {
  ProposeRefusal Refusal_ = ProposeRefusal::None;
  LogIndex Index_;
  Term Term_;
  VmId Leader_; ///< VM to send the proposal to; empty if unknown

  bool accepted() const { return Refusal_ == ProposeRefusal::None; }
};

} // namespace lagoonpoint
