#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Steering/Shares.h"

#include <compare>
#include <map>
#include <set>

namespace lagoonpoint {

/// Calls of one service by callers of one region.
struct Flow {
  ServiceId Service_;
  RegionId Origin_;

  friend auto operator<=>(const Flow &, const Flow &) = default;
};

/// A service's upstreams in one region.
struct ServiceRegion {
  ServiceId Service_;
  RegionId Region_;

  friend auto operator<=>(const ServiceRegion &,
                          const ServiceRegion &) = default;
};

/// \class SteeringView
/// \ingroup Steering
/// \brief What one VM knows of the moment.
struct SteeringView {
  /// Places with at least one upstream that takes work, as far as this VM can
  /// reach and tell.
  std::set<ServiceRegion> Usable_;
  /// Requests a second that this VM may plan to send to a region, all services
  /// together, see planCredits(): so that headroom is left, and so that the
  /// region is just full. Absent where nothing limits it.
  std::map<RegionId, double> Credit_;
  std::map<RegionId, double> Limit_;
  /// Requests a second that callers bring to this VM, smoothed.
  std::map<Flow, double> Demand_;
  /// Flows that VMs out of contact may be carrying, see unreachableFlows().
  std::set<Flow> UnreachableFlows_;
};

/// A VM carries a flow from this demand on, in requests a second.
inline constexpr double MinCarriedRate = 0.1;

/// \returns whether callers bring a flow to this VM.
/// \ingroup Steering
bool carries(const SteeringView &View, const Flow &F);

/// \returns the flows of regions some of whose entry VMs are out of contact:
/// they may have failed, or serve their callers beyond a partition.
/// \ingroup Steering
/// \param Ready VMs in contact
std::set<Flow> unreachableFlows(const Declarations &D,
                                const std::set<VmId> &Ready);

/// Works out where each flow should go: the objective's choice first, and what
/// exceeds a region's credit to the next region of the preference. Where no
/// credit is left, regions are filled to their limits in the same manner.
///
/// What exceeds all limits is refused: a flow's own region refuses it, and the
/// others share the refusals of a flow whose own region can't serve. A flow
/// without any usable region has no target.
/// \ingroup Steering
std::map<Flow, RegionShares> targetsByFlow(const Declarations &D,
                                           const SteeringView &View);

/// \returns where a flow goes by the declarations alone, as if all regions
/// were usable and had headroom.
/// \ingroup Steering
RegionShares declaredTarget(const Declarations &D, const Flow &F);

} // namespace lagoonpoint
