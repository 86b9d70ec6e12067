#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint {

/// Creates the state of a replica from its stored state. The replica grants no
/// vote for ElectionMin_, because it may have acknowledged a leader just before
/// it stopped.
/// \ingroup Replication
ReplicaState startReplica(const ReplicaOptions &Options, StoredState Stored,
                          Time Now);

/// Handles timeouts: heartbeats, elections and check-quorum.
/// \ingroup Replication
void tick(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// Handles a message. \p Now must be read after the message arrived.
/// \ingroup Replication
void receive(ReplicaState &S, const VmId &From, const ReplicationMessage &M,
             Time Now, ReplicaOutput &Out);

/// Appends a command to the log if this replica is the leader.
/// \ingroup Replication
ProposeResult propose(ReplicaState &S, std::string Command, Time Now,
                      ReplicaOutput &Out);

/// Must be called when all writes of the last step are durable.
/// \ingroup Replication
void onWritesDurable(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// Gives up leadership or candidacy, for example when the disk fails.
/// \ingroup Replication
void stepDown(ReplicaState &S, Time Now);

/// Replaces the entries up to \p Index by a snapshot of the state machine.
/// \pre Index is committed and greater than the index of the present snapshot
/// \ingroup Replication
void compact(ReplicaState &S, LogIndex Index, std::string State,
             ReplicaOutput &Out);

/// \returns true if the log is large enough for a new snapshot. Up to twice
/// that size, a leader waits until all peers hold the committed entries, so
/// that it need not send them the snapshot.
/// \ingroup Replication
bool wantsSnapshot(const ReplicaState &S);

/// \returns the end of this leader's lease, which may have passed. Until then
/// no other VM can be leader. Empty if this replica doesn't lead, has committed
/// nothing in its term, or was not yet answered by a quorum.
/// \ingroup Replication
std::optional<Time> leaseEnd(const ReplicaState &S, Time Now);

/// \returns true if this replica leads with a valid lease. No other VM can then
/// be leader, so local reads are linearizable.
/// \ingroup Replication
bool leaseValid(const ReplicaState &S, Time Now);

/// When a leader last heard the voters and learners.
struct MemberContact {
  Time LeaderSince_;
  /// Send time of the newest answered message, without those that never
  /// answered.
  std::map<VmId, Time> AnsweredAt_;
};

/// \returns the contact of this replica with the members; empty if it doesn't
/// lead.
/// \ingroup Replication
MemberContact memberContact(const ReplicaState &S);

/// \returns true if the loss of any one voter loses no data. This holds if this
/// replica leads at least three voters, all are in contact, and the last change
/// of the voters is committed and durable at each of them.
/// \ingroup Replication
bool survivesOneLoss(const ReplicaState &S, Time Now);

} // namespace lagoonpoint
