#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint::internal {

/// \returns true if this VM should learn the first configuration by probing.
bool needsBootstrap(const ReplicaState &S);

/// Probes the other first voters, and begins once all have empty disks.
///
/// A voter that lost its disk finds others that aren't empty, so it can't
/// begin a second deployment or vote under its old name.
void tickBootstrap(ReplicaState &S, Time Now, ReplicaOutput &Out);

void handle(ReplicaState &S, const VmId &From, const BootstrapProbe &M,
            Time Now, ReplicaOutput &Out);
void handle(ReplicaState &S, const VmId &From, const BootstrapProbeReply &M,
            Time Now, ReplicaOutput &Out);

} // namespace lagoonpoint::internal
