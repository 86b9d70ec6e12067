#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint::internal {

void handle(ReplicaState &S, const VmId &From, const AppendRequest &M, Time Now,
            ReplicaOutput &Out);
void handle(ReplicaState &S, const VmId &From, const SnapshotChunk &M, Time Now,
            ReplicaOutput &Out);

} // namespace lagoonpoint::internal
