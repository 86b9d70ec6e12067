#pragma once

#include "lagoonpoint/Core"

#include <map>
#include <vector>

namespace lagoonpoint {

/// The declared VMs and their zones.
using VmZones = std::map<VmId, ZoneId>;

/// \returns the VMs of a sorted ring that one VM exchanges messages with: all
/// of a small ring, else those at distances 1, 2, 4 and so on, so that news
/// reach everyone in a number of steps logarithmic in the size of the ring.
/// \ingroup Membership
/// \param Ring sorted; need not contain \p Self
std::vector<VmId> neighbours(const std::vector<VmId> &Ring, const VmId &Self);

/// VMs of a zone that exchange reports with other zones, at most.
constexpr std::size_t BridgesPerZone = 2;

} // namespace lagoonpoint
