#pragma once

#include "lagoonpoint/src/Replication/Messages.h"
#include "lagoonpoint/src/Replication/Storage.h"
#include "lagoonpoint/src/Replication/util/Log.h"

#include <map>
#include <optional>
#include <set>

namespace lagoonpoint {

/// What a replica does in its term.
enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };

/// \returns a short lower-case name, for status and logs.
const char *toString(ReplicaRole Role);

/// What a leader knows of one other VM.
struct PeerProgress {
  LogIndex Next_;  ///< first entry not yet sent
  LogIndex Match_; ///< durable at the peer, on Disk_
  DiskId Disk_;    ///< as the peer reported last
  LogIndex CommitSent_;
  std::optional<Time> AckedAt_; ///< when the newest answered message was sent
  Time SentAt_;                 ///< newest message
  Time EntriesSentAt_;          ///< newest message with entries or a piece
  bool InFlight_ = false;       ///< that one isn't answered yet
  std::uint64_t SnapshotOffset_ = 0;
};

/// A snapshot being received.
struct IncomingSnapshot {
  SnapshotMeta Meta_;
  std::uint64_t Total_ = 0;
  std::string Bytes_;
};

/// Who a replica is and how it is tuned.
struct ReplicaOptions {
  VmId Self_;
  std::vector<VmId> InitialVoters_; ///< that a new deployment starts with
  ReplicationTiming Timing_;
  ReplicationLimits Limits_;
  std::uint64_t Seed_ = 1; ///< for the random part of election timeouts
};

/// \class ReplicaState
/// \ingroup Replication
/// \brief Everything one replica knows; plain data for the functions of
/// Step.h and Reconfiguration.h.
struct ReplicaState {
  ReplicaOptions Options_;
  Random Random_;

  DiskId Disk_;
  Term Term_;
  VmId Vote_;
  internal::Log Log_;

  ReplicaRole Role_ = ReplicaRole::Follower;
  VmId Leader_;      ///< empty while unknown
  LogIndex Commit_;  ///< highest entry known to be committed
  LogIndex Durable_; ///< highest entry on this VM's disk
  Time LastContact_; ///< when a leader was last heard
  Time ElectionDue_;
  std::set<VmId> VotesGranted_;

  std::map<VmId, PeerProgress> Peers_; ///< while leading
  Time BecameLeader_;
  LogIndex TermStart_; ///< the leader's first entry of its term

  Time ProbeDue_;
  std::map<VmId, DiskId> EmptyPeers_; ///< first voters seen with empty disks
  IncomingSnapshot Incoming_;
};

/// \class ReplicaOutput
/// \ingroup Replication
/// \brief What one step wants done: the writes first, in the order of the
/// members; the messages only once all of them are durable.
struct ReplicaOutput {
  bool SaveVote_ = false;
  bool SaveSnapshot_ = false; ///< with all entries after it
  std::optional<LogIndex> AppendFrom_;
  std::vector<AddressedMessage> Messages_;

  bool writes() const {
    return SaveVote_ || SaveSnapshot_ || AppendFrom_.has_value();
  }
};

/// Why a proposal or a reconfiguration was not taken.
enum class ProposeRefusal {
  None,
  NotLeader,
  Busy,             ///< too many entries wait for a quorum
  ChangeInProgress, ///< another change of the voters isn't committed yet
  NotCaughtUp,      ///< the learner doesn't hold every committed entry yet
  BreaksQuorum,     ///< too few of the new voters are in contact
  TooManyVoters,
  NoSuchMember,
  AlreadyMember,
  Failed, ///< this VM's disk failed
};

/// \returns a short text for operators.
const char *toString(ProposeRefusal Refusal);

/// \class ProposeResult
/// \ingroup Replication
/// \brief Where an accepted command stands in the log.
///
/// It is committed once an entry of this index and term is taken from the
/// replica. An entry of another term at this index means that it was lost.
struct ProposeResult {
  ProposeRefusal Refusal_ = ProposeRefusal::None;
  LogIndex Index_;
  Term Term_;
  VmId Leader_; ///< whom to ask instead; empty if unknown

  bool accepted() const { return Refusal_ == ProposeRefusal::None; }
};

} // namespace lagoonpoint
