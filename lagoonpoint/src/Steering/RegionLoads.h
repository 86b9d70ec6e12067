#pragma once

#include "lagoonpoint/Config"

#include <map>
#include <set>

namespace lagoonpoint {

/// \class RegionLoads
/// \ingroup Steering
/// \brief Loads and upstream slots of the regions, as reported by the VMs.
struct RegionLoads {
  struct Report {
    Time ReceivedAt_;                      ///< when this VM received it
    std::map<RegionId, double> SendRates_; ///< requests per second by region
    double Slots_ = 0; ///< assigned to the VM at upstreams that accept calls
  };
  /// Upstream slots of a region.
  struct RegionSlots {
    double Current_ = 0;
    double Baseline_ = 0; ///< maximum seen; decays over hours
    Time UpdatedAt_;
  };
  std::map<VmId, Report> Reports_;
  std::map<RegionId, RegionSlots> Slots_;
};

/// Fraction of a region's capacity that plans use. The rest is headroom for
/// changes of demand until the plans follow.
inline constexpr double TargetUtilization = 0.85;

/// How long the last report of a VM is taken into account.
inline constexpr Duration ReportRetention = Duration::seconds(30);

/// Recomputes the slots of each region. Call it after each change of the
/// reports.
/// \ingroup Steering
void updateSlots(RegionLoads &Loads, const Declarations &D, Time Now);

/// \returns the requests per second that a region can take now: its declared
/// capacity, scaled by its current slots relative to the baseline.
/// \ingroup Steering
double availableCapacity(const RegionLoads &Loads, const RegionDecl &Region);

/// Computes the rate that this VM may plan to send to each region: its current
/// rate and an equal share of the capacity that is left by all reports. If a
/// region is overcommitted, all VMs reduce their rates by the same factor.
///
/// The last report of each VM counts for ReportRetention.
/// \ingroup Steering
/// \param Utilization fraction of the capacities to use: TargetUtilization, or
/// 1 for the limits
/// \param Ready VMs in contact; the free capacity is divided among those that
/// are entry VMs
std::map<RegionId, double> planCredits(const RegionLoads &Loads,
                                       const Declarations &D,
                                       double Utilization, const VmId &Self,
                                       const std::set<VmId> &Ready, Time Now);

} // namespace lagoonpoint
