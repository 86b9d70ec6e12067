#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint {

/// Starts a replica from what its disk holds. It supports no candidate for
/// ElectionMin_, as it may have promised that before it stopped.
/// \ingroup Replication
ReplicaState startReplica(const ReplicaOptions &Options, StoredState Stored,
                          Time Now);

/// Lets time pass: heartbeats, elections, check-quorum.
/// \ingroup Replication
void tick(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// Handles one message. \p Now must not be read before the message arrived.
/// \ingroup Replication
void receive(ReplicaState &S, const VmId &From, const ReplicationMessage &M,
             Time Now, ReplicaOutput &Out);

/// Appends a command if this replica leads.
/// \ingroup Replication
ProposeResult propose(ReplicaState &S, std::string Command, Time Now,
                      ReplicaOutput &Out);

/// Tells that all writes of the last step are durable.
/// \ingroup Replication
void onWritesDurable(ReplicaState &S, Time Now, ReplicaOutput &Out);

/// Gives up leadership or candidacy, as when the disk has failed.
/// \ingroup Replication
void stepDown(ReplicaState &S, Time Now);

/// Replaces the entries up to \p Index by the state machine's state.
/// \pre Index is committed and after the present snapshot
/// \ingroup Replication
void compact(ReplicaState &S, LogIndex Index, std::string State,
             ReplicaOutput &Out);

/// \returns true if enough entries are stored for a new snapshot. A leader
/// waits for followers that are a little behind, to spare them the snapshot.
/// \ingroup Replication
bool wantsSnapshot(const ReplicaState &S);

/// \returns until when no other VM can be leader, nothing if that isn't known.
/// \ingroup Replication
std::optional<Time> leaseEnd(const ReplicaState &S, Time Now);

/// \returns true while no other VM can be leader: reads here are current.
/// \ingroup Replication
bool leaseValid(const ReplicaState &S, Time Now);

/// \returns true if this leader's voters, three or more, are all in contact
/// and each durably holds everything up to the committed last change of the
/// voters: losing any one of them then loses nothing.
/// \ingroup Replication
bool survivesOneLoss(const ReplicaState &S, Time Now);

} // namespace lagoonpoint
