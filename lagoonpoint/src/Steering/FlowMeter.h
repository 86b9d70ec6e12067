#pragma once

#include "lagoonpoint/src/Steering/RegionTargets.h"

#include <map>

namespace lagoonpoint {

/// \class FlowMeter
/// \ingroup Steering
/// \brief Calls a second at this VM, by flow and by region they were sent to.
struct FlowMeter {
  std::map<Flow, double> ReceivedCalls_; ///< since Since_
  std::map<RegionId, double> SentCalls_;
  std::map<Flow, double> Demand_; ///< calls a second, smoothed
  std::map<RegionId, double> SendRates_;
  Time CountingSince_;
};

/// Counts a call that arrived.
/// \ingroup Steering
void countReceived(FlowMeter &M, const Flow &F);

/// Counts a call that was sent to a region.
/// \ingroup Steering
void countSent(FlowMeter &M, const RegionId &Region);

/// Takes the counts into the smoothed rates. Call it about once a second; a
/// shorter span since the last call is left to the next.
/// \ingroup Steering
void updateRates(FlowMeter &M, Time Now);

} // namespace lagoonpoint
