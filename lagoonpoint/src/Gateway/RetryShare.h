#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Retry"

namespace lagoonpoint {

/// \returns one entry VM's share of the fleet's retry budget.
/// \ingroup Gateway
/// \param EntryVms number of entry VMs, 0 if it is not known yet; the share is
/// then the part that follows the VM's own requests
RetryBudgetLimits retryShare(const FleetSettings &S, std::size_t EntryVms);

} // namespace lagoonpoint
