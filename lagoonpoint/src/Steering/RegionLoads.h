#pragma once

#include "lagoonpoint/Config"

#include <map>
#include <set>

namespace lagoonpoint {

/// \class RegionLoads
/// \ingroup Steering
/// \brief What the VMs say they send to each region, in requests a second.
struct RegionLoads {
  struct Report {
    Time At_; ///< when this VM learned of it
    std::map<RegionId, double> Sending_;
  };
  std::map<VmId, Report> Reports_;
};

/// Part of a region's capacity that plans fill; the rest is headroom for what
/// callers do before plans follow.
inline constexpr double FillTo = 0.85;

/// Works out what this VM may plan to send to each region: what it sends now
/// and an equal part of the room that all reports leave. Where they leave less
/// than none, each VM gives up the same part.
///
/// A VM that isn't heard from is reckoned with what it said last, for
/// \p ReportKept after that.
/// \ingroup Steering
/// \param Fill part of the capacities to fill: FillTo, or 1 for the limits
/// \param Ready entry VMs in contact, among which the room is divided
std::map<RegionId, double> planCredits(const RegionLoads &Loads,
                                       const Declarations &D, double Fill,
                                       const VmId &Self,
                                       const std::set<VmId> &Ready, Time Now);

/// How long the report of a silent VM is reckoned with.
inline constexpr Duration ReportKept = Duration::seconds(30);

} // namespace lagoonpoint
