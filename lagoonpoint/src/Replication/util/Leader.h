#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint::internal {

void becomeLeader(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// Appends an entry in this leader's term and sends it.
LogIndex appendAsLeader(ReplicaState &S, EntryKind Kind, std::string Bytes,
                        Time Now, ReplicaOutput &Out);

/// Sends the heartbeats that are due, and steps down without contact to a
/// quorum.
void tickLeader(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// Commits the entries that a quorum holds, if the last is of this term.
void advanceCommit(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// \returns the latest time for which a quorum has answered messages sent at or
/// after it; empty if there is none.
std::optional<Time> quorumAckedAt(const ReplicaState &S, Time Now);

/// \returns true if the voter answered within the last ElectionMin_.
bool isInContact(const ReplicaState &S, const Voter &V, Time Now);

/// \returns the last matching entry that is durable at the voter.
LogIndex matchOf(const ReplicaState &S, const Voter &V);

void handle(ReplicaState &S, const VmId &From, const AppendReply &M, Time Now,
            ReplicaOutput &Out);
void handle(ReplicaState &S, const VmId &From, const SnapshotReply &M, Time Now,
            ReplicaOutput &Out);

} // namespace lagoonpoint::internal
