#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint::internal {

/// \returns true if this VM must get the initial configuration by probing the
/// other initial voters.
bool needsBootstrap(const ReplicaState &S);

/// Probes the other initial voters, and sets the initial configuration when all
/// of them have empty disks.
///
/// A voter that lost its disk finds other voters with data. It can therefore
/// neither bootstrap a second deployment nor vote in place of its lost disk.
void tickBootstrap(ReplicaState &S, Time Now, ReplicaOutput &Out);

void handle(ReplicaState &S, const VmId &From, const BootstrapProbe &M,
            Time Now, ReplicaOutput &Out);
void handle(ReplicaState &S, const VmId &From, const BootstrapProbeReply &M,
            Time Now, ReplicaOutput &Out);

} // namespace lagoonpoint::internal
