#pragma once

#include "lagoonpoint/Core"

#include <map>
#include <vector>

namespace lagoonpoint {

/// The declared VMs and their zones.
using VmZones = std::map<VmId, ZoneId>;

/// \returns the VMs of a sorted ring that one VM sends updates to. In a small
/// ring these are all other VMs. In a large one they are those at distances 1,
/// 2, 4 and so on, so that an update reaches all VMs in a number of hops that
/// is logarithmic in the size of the ring.
/// \ingroup Membership
/// \param Ring sorted; need not contain \p Self
std::vector<VmId> neighbours(const std::vector<VmId> &Ring, const VmId &Self);

/// Number of neighbours that a VM pings in a large ring: those at the smallest
/// distances.
constexpr std::size_t PingedNeighbours = 3;

/// \returns the neighbours to ping: all in a small ring, else the first
/// PingedNeighbours.
/// \param Neighbours result of neighbours()
std::vector<VmId> pingTargets(const std::vector<VmId> &Neighbours);

/// \returns the neighbours that receive batched updates. In a small ring these
/// are all neighbours, else the first one and up to two more that change with
/// \p Round. This limits the traffic, and updates still reach all VMs within a
/// few rounds.
std::vector<VmId> batchTargets(const std::vector<VmId> &Neighbours,
                               std::uint64_t Round);

/// Maximum number of VMs of a zone that exchange reports with other zones.
constexpr std::size_t BridgesPerZone = 2;

} // namespace lagoonpoint
