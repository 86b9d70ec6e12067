#pragma once

#include "lagoonpoint/src/Steering/RegionTargets.h"

#include <map>

namespace lagoonpoint {

/// \class FlowMeter
/// \ingroup Steering
/// \brief Smoothed call rates of this VM: received by flow and sent by region.
struct FlowMeter {
  std::map<Flow, double> ReceivedCalls_; ///< since CountingSince_
  std::map<RegionId, double> SentCalls_;
  std::map<Flow, double> Demand_; ///< calls per second, smoothed
  std::map<RegionId, double> SendRates_;
  Time CountingSince_;
};

/// Counts a call received from a caller.
/// \ingroup Steering
void countReceived(FlowMeter &M, const Flow &F);

/// Counts a call sent to a region.
/// \ingroup Steering
void countSent(FlowMeter &M, const RegionId &Region);

/// Updates the smoothed rates with the counts. Call it about once per second.
/// If less than half a second has passed since the last update, the counts are
/// kept for the next one.
/// \ingroup Steering
void updateRates(FlowMeter &M, Time Now);

} // namespace lagoonpoint
