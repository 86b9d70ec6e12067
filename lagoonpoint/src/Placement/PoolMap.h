#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/Steering"
#include "lagoonpoint/src/Placement/SlotPool.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonpoint {

/// An upstream of one service, and the region that it is in.
struct PlacedUpstream {
  PoolUpstream Upstream_;
  RegionId Region_;
};

/// Shares of all regions for one service: by the region of the callers, the
/// fractions of their calls by the region that serves them.
using RegionFlows = std::map<RegionId, RegionShares>;

/// \class FlowState
/// \ingroup Placement
/// \brief Smoothed demand of one service and the regions' shares that follow
/// from it.
struct FlowState {
  /// Fractions of all demand that the shares and the division of upstreams
  /// follow.
  std::map<RegionId, double> Demand_;
  std::map<RegionId, double> FastDemand_; ///< smoothed over a shorter time
  RegionFlows Flows_;
  bool HadCalls_ = false; ///< in any region, so that objects have their places
};

/// Moves the shares of all regions towards what demand and slots require.
/// \ingroup Placement
/// \param Slots usable slots by region
/// \param Rates calls per second by region of the callers. A region without a
/// rate serves its own callers and no others. Until there are calls, the shares
/// become what the slots require at once; later, the state stays as it is while
/// there are none.
/// \param MaxRegionShift fraction of a region's calls that may change region
/// within two seconds
void stepFlows(FlowState &S, const std::map<RegionId, double> &Slots,
               const std::map<RegionId, double> &Rates, double MaxRegionShift,
               Duration Elapsed);

/// Identifies a pool among all VMs.
struct PoolKey {
  ServiceId Service_;
  RegionId Serving_; ///< region of the upstreams
  unsigned Index_ = 0;
  friend auto operator<=>(const PoolKey &, const PoolKey &) = default;
};

/// A pool of the own region's callers.
struct Pool {
  PoolKey Key_;
  VmId Holder_; ///< empty if no entry VM is known
  std::vector<PoolUpstream> Members_;
};

/// What the pools of one service follow from.
struct PoolInputs {
  ServiceId Service_;
  RegionId Consumer_; ///< the own region
  std::vector<PlacedUpstream> Upstreams_;
  RegionFlows Flows_;
  /// By region of the callers. A region without a figure keeps its upstreams.
  std::map<RegionId, double> Demand_;
  std::vector<VmId> EntryVms_; ///< ready ones of the own region
  unsigned PoolSlots_ = 48;    ///< aimed at for one pool
};

/// \class PoolMap
/// \ingroup Placement
/// \brief The pools of one service for the callers of one region. VMs that know
/// the same upstreams, demand and entry VMs compute the same map.
struct PoolMap {
  ServiceId Service_;
  std::map<PoolKey, Pool> Pools_;
  /// By serving region: the upstreams that this region's callers may use, with
  /// the index of their pool.
  struct Member {
    std::uint64_t IdHash_ = 0;
    unsigned Slots_ = 1;
    unsigned Pool_ = 0;
  };
  std::map<RegionId, std::vector<Member>> Members_;
};

/// Divides the usable upstreams of each region among the regions that send
/// calls there, and those of the own region into pools. \ingroup Placement
PoolMap makePoolMap(const PoolInputs &In);

/// \returns the pool of an object, or of any call if \p Object is empty, in a
/// serving region; null if the region lends this one no upstream.
/// \ingroup Placement
/// \param Spread distributes calls without an object over the pools
const Pool *findPool(const PoolMap &M, const RegionId &Serving,
                     const std::string &Object, const std::string &Spread);

} // namespace lagoonpoint
