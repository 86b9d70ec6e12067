#pragma once

#include "lagoonpoint/src/Replication/ReplicaState.h"

namespace lagoonpoint {

/// Maximum number of voters. promote() accepts one more, so that a voter can be
/// replaced by adding the new one before the old one is removed.
inline constexpr std::size_t MaxVoters = 9;

/// Adds a VM as a learner: it receives the log but doesn't vote.
/// \ingroup Replication
ProposeResult addLearner(ReplicaState &S, const VmId &Vm, Time Now,
                         ReplicaOutput &Out);

/// Makes a learner a voter, with the disk id that it reported. The learner must
/// durably hold every committed entry.
/// \ingroup Replication
ProposeResult promote(ReplicaState &S, const VmId &Vm, Time Now,
                      ReplicaOutput &Out);

/// Removes a voter or a learner. A leader that removes itself steps down when
/// the change is committed.
/// \ingroup Replication
ProposeResult removeMember(ReplicaState &S, const VmId &Vm, Time Now,
                           ReplicaOutput &Out);

} // namespace lagoonpoint
