#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Steering/Shares.h"

#include <compare>
#include <map>
#include <set>

namespace lagoonpoint {

/// The calls to one service from callers of one region.
struct Flow {
  ServiceId Service_;
  RegionId Origin_;

  friend auto operator<=>(const Flow &, const Flow &) = default;
};

/// A service in one region.
struct ServiceRegion {
  ServiceId Service_;
  RegionId Region_;

  friend auto operator<=>(const ServiceRegion &,
                          const ServiceRegion &) = default;
};

/// \class SteeringView
/// \ingroup Steering
/// \brief One VM's view of demand, capacity and availability.
struct SteeringView {
  /// Services and regions with at least one upstream that accepts calls, as far
  /// as this VM knows and can reach it.
  std::set<ServiceRegion> Usable_;
  /// Requests per second that this VM may plan to send to a region, for all
  /// services together, see planCredits(): Credit_ leaves headroom in the
  /// region and Limit_ fills it. A region that is absent is not limited.
  std::map<RegionId, double> Credit_;
  std::map<RegionId, double> Limit_;
  /// Requests per second received from callers, smoothed.
  std::map<Flow, double> Demand_;
  /// Flows that may be carried by VMs out of contact, see unreachableFlows().
  std::set<Flow> UnreachableFlows_;
};

/// Smallest demand at which a VM carries a flow, in requests per second.
inline constexpr double MinCarriedRate = 0.1;

/// \returns whether this VM carries a flow, that is, receives it from callers.
/// \ingroup Steering
bool carries(const SteeringView &View, const Flow &F);

/// \returns the flows of regions with entry VMs that are out of contact. These
/// VMs may have failed, or still serve their callers behind a partition.
/// \ingroup Steering
/// \param Ready VMs in contact
std::set<Flow> unreachableFlows(const Declarations &D,
                                const std::set<VmId> &Ready);

/// Computes the target shares of each flow: first by the objective, and what
/// exceeds a region's credit goes to the next region by preference. If no
/// credit is left, the regions are filled to their limits in the same way.
///
/// Demand beyond all limits is refused. If the origin of a flow is its
/// preferred region, the objective assigns the excess too, usually to the
/// origin itself. Otherwise it is spread over the usable regions by capacity,
/// so that they share the refusals. A flow without a usable region has no
/// target.
/// \ingroup Steering
std::map<Flow, RegionShares> targetsByFlow(const Declarations &D,
                                           const SteeringView &View);

/// \returns the target shares of a flow by the declarations alone, as if all
/// regions were usable and had headroom.
/// \ingroup Steering
RegionShares declaredTarget(const Declarations &D, const Flow &F);

} // namespace lagoonpoint
