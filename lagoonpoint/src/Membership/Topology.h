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

/// Neighbours that a VM pings in a large ring: its next ones.
constexpr std::size_t PingedNeighbours = 3;

/// \returns those to ping among the neighbours of a VM, as neighbours() gave
/// them: all of a small ring, else the next PingedNeighbours.
std::vector<VmId> pingTargets(const std::vector<VmId> &Neighbours);

/// \returns those that get news that can wait: all of a small ring, else the
/// next one and two that change with \p Round, which keeps the bytes low and
/// still reaches everyone within a few rounds.
std::vector<VmId> batchTargets(const std::vector<VmId> &Neighbours,
                               std::uint64_t Round);

/// VMs of a zone that exchange reports with other zones, at most.
constexpr std::size_t BridgesPerZone = 2;

} // namespace lagoonpoint
