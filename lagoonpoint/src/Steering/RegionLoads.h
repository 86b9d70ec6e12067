#pragma once

#include "lagoonpoint/Config"

#include <map>
#include <set>

namespace lagoonpoint {

/// \class RegionLoads
/// \ingroup Steering
/// \brief What the VMs say of the load and the upstreams of the regions.
struct RegionLoads {
  struct Report {
    Time ReceivedAt_;                      ///< when this VM learned of it
    std::map<RegionId, double> SendRates_; ///< requests a second by region
    double Slots_ = 0; ///< that the VM holds at upstreams which take work
  };
  /// Slots of a region's upstreams.
  struct RegionSlots {
    double Current_ = 0;
    double Baseline_ = 0; ///< the most there were; fades over hours
    Time UpdatedAt_;
  };
  std::map<VmId, Report> Reports_;
  std::map<RegionId, RegionSlots> Slots_;
};

/// Part of a region's capacity that plans fill; the rest is headroom for what
/// callers do before plans follow.
inline constexpr double TargetUtilization = 0.85;

/// How long the report of a silent VM is reckoned with.
inline constexpr Duration ReportRetention = Duration::seconds(30);

/// Sums the slots of each region. Call it after each change of the reports.
/// \ingroup Steering
void updateSlots(RegionLoads &Loads, const Declarations &D, Time Now);

/// \returns the requests a second that a region takes now: its declared
/// capacity, less the part of its usual slots that is missing.
/// \ingroup Steering
double availableCapacity(const RegionLoads &Loads, const RegionDecl &Region);

/// Works out what this VM may plan to send to each region: what it sends now
/// and an equal part of the room that all reports leave. Where they leave less
/// than none, each VM gives up the same part.
///
/// A VM that isn't heard from is reckoned with what it said last, for
/// ReportRetention after that.
/// \ingroup Steering
/// \param Fill part of the capacities to fill: TargetUtilization, or 1 for the
/// limits \param Ready entry VMs in contact, among which the room is divided
std::map<RegionId, double> planCredits(const RegionLoads &Loads,
                                       const Declarations &D,
                                       double Utilization, const VmId &Self,
                                       const std::set<VmId> &Ready, Time Now);

} // namespace lagoonpoint
