#pragma once

#include "lagoonpoint/Core"

#include <map>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Part of one region's requests that each region serves; sums to 1.
using RegionShares = std::map<RegionId, double>;

/// Smooths the regions' parts of all demand, so that shares follow lasting
/// changes and not the waves of a day: moved objects meet cold upstreams.
/// \ingroup Steering
/// \param Parts as smoothed so far; empty at first
/// \param Rates requests a second, as seen lately
void smoothDemand(std::map<RegionId, double> &Parts,
                  const std::map<RegionId, double> &Rates, Duration Since);

/// Divides the requests of one region so that no region's upstreams are asked
/// for much more than their part of all slots.
/// \ingroup Steering
/// \param Slots of a service by region
/// \param Demand requests a second by region of the callers
RegionShares targetShares(const RegionId &Own,
                          const std::map<RegionId, double> &Slots,
                          const std::map<RegionId, double> &Demand);

/// Moves shares towards a target, at most \p MaxMoved of the requests.
/// \ingroup Steering
RegionShares stepTowards(const RegionShares &Now, const RegionShares &Target,
                         double MaxMoved);

/// Orders regions for one object: the one that its hash falls to comes first,
/// then the others by share.
/// \ingroup Steering
std::vector<RegionId> regionOrder(const RegionId &Own,
                                  const RegionShares &Shares,
                                  const std::string &Object);

} // namespace lagoonpoint
