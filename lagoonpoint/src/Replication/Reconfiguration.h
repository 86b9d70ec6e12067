#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint {

/// Voters there may be at most; one more while one is being replaced.
inline constexpr std::size_t MaxVoters = 9;

/// Starts to replicate to a VM that doesn't vote.
/// \ingroup Replication
ProposeResult addLearner(ReplicaState &S, const VmId &Vm, Time Now,
                         ReplicaOutput &Out);

/// Makes a learner that durably holds every committed entry a voter, with the
/// disk it reported.
/// \ingroup Replication
ProposeResult promote(ReplicaState &S, const VmId &Vm, Time Now,
                      ReplicaOutput &Out);

/// Removes a voter or learner. A leader that removes itself steps down once
/// the change is committed.
/// \ingroup Replication
ProposeResult removeMember(ReplicaState &S, const VmId &Vm, Time Now,
                           ReplicaOutput &Out);

} // namespace lagoonpoint
