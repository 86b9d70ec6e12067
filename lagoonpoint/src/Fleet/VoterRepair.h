#pragma once

#include "lagoonpoint/Replication"
#include "lagoonpoint/src/Fleet/NodeRegistry.h"

#include <optional>
#include <set>

namespace lagoonpoint {

/// One change of the voters that a leader makes by itself.
struct VoterRepairStep {
  bool Add_ = false; ///< as a learner, else remove
  VmId Vm_;
};

/// Decides which change brings the voters closer to the core VMs that are
/// there: one that lost its disk is removed and starts again as a learner, a
/// new one is added, and one that is silent for long is removed.
/// \ingroup Fleet
/// \param Live core VMs in contact, the leader included
/// \param Silent voters and learners not heard of for long
std::optional<VoterRepairStep>
nextVoterRepairStep(const VoterConfig &Config,
                    const std::vector<NodeRecord> &Live,
                    const std::set<VmId> &Silent);

} // namespace lagoonpoint
