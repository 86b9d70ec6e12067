#pragma once

#include "lagoonpoint/Replication"
#include "lagoonpoint/src/Fleet/NodeRegistry.h"

#include <optional>
#include <set>

namespace lagoonpoint {

/// One change of the voters that the leader makes automatically.
struct VoterRepairStep {
  bool Add_ = false; ///< add as a learner, else remove
  VmId Vm_;
};

/// Chooses the next change that adapts the voters to the live core VMs: one
/// that lost its disk is removed and added again as a learner, a new one is
/// added, and one that was silent for long is removed.
/// \ingroup Fleet
/// \param Live core VMs in contact, the leader included
/// \param Silent voters and learners that have been silent for long
std::optional<VoterRepairStep>
nextVoterRepairStep(const VoterConfig &Config,
                    const std::vector<NodeRecord> &Live,
                    const std::set<VmId> &Silent);

} // namespace lagoonpoint
