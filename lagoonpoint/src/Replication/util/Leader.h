#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint::internal {

void becomeLeader(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// Appends an entry of this leader's term and sends it.
LogIndex appendAsLeader(ReplicaState &S, EntryKind Kind, std::string Bytes,
                        Time Now, ReplicaOutput &Out);

/// Sends heartbeats that are due and steps down without a quorum.
void tickLeader(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// Commits what a quorum holds, if it is of this term.
void advanceCommit(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// \returns when the newest message was sent that a quorum has answered;
/// empty while there is none.
std::optional<Time> quorumAckedAt(const ReplicaState &S, Time Now);

/// \returns true if the voter answered within the last ElectionMin_.
bool isInContact(const ReplicaState &S, const Voter &V, Time Now);

/// \returns what the voter durably holds.
LogIndex matchOf(const ReplicaState &S, const Voter &V);

void handle(ReplicaState &S, const VmId &From, const AppendReply &M, Time Now,
            ReplicaOutput &Out);
void handle(ReplicaState &S, const VmId &From, const SnapshotReply &M, Time Now,
            ReplicaOutput &Out);

} // namespace lagoonpoint::internal
