#pragma once

#include "lagoonpoint/Core"

#include <map>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Fractions of one region's requests by the region that serves them; they sum
/// to 1.
using RegionShares = std::map<RegionId, double>;

/// Smooths the regions' fractions of the total demand, so that shares follow
/// lasting changes and not short demand waves: objects that move to another
/// region find cold caches there.
/// \ingroup Steering
/// \param Parts smoothed fractions, updated in place; initially empty
/// \param Rates current requests per second
/// \param Since time since the last update
/// \param HalfLife of a difference; the default is longer than a demand wave
void smoothDemand(std::map<RegionId, double> &Parts,
                  const std::map<RegionId, double> &Rates, Duration Since,
                  Duration HalfLife = Duration::seconds(60));

/// Divides the requests of one region so that no region's upstreams receive
/// much more than the region's share of the total demand by slots.
/// \ingroup Steering
/// \param Slots of a service by region
/// \param Demand requests per second, by region of the callers
RegionShares targetShares(const RegionId &Own,
                          const std::map<RegionId, double> &Slots,
                          const std::map<RegionId, double> &Demand);

/// \returns shares moved towards a target by at most \p MaxMoved of the
/// requests. Empty shares become the target at once.
/// \ingroup Steering
RegionShares stepTowards(const RegionShares &Now, const RegionShares &Target,
                         double MaxMoved);

/// Orders the regions for one object: the region drawn by its hash in
/// proportion to the shares, then \p Own, then the others by share.
/// \ingroup Steering
std::vector<RegionId> regionOrder(const RegionId &Own,
                                  const RegionShares &Shares,
                                  const std::string &Object);

/// As regionOrder(), but when shares change, an object changes region only if
/// its hash is next to a boundary that moved. With regionOrder(), most objects
/// change region when two other regions' shares pass each other.
/// \ingroup Steering
std::vector<RegionId> steadyRegionOrder(const RegionId &Own,
                                        const RegionShares &Shares,
                                        const std::string &Object);

} // namespace lagoonpoint
