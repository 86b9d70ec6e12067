#pragma once

#include "lagoonpoint/Placement"

#include <map>
#include <vector>

namespace lagoonpoint {

/// What the pools of one service follow from.
struct PlacedService {
  std::vector<PlacedUpstream> Upstreams_;
  double WarmupRate_ = 0; ///< calls per second that a cold upstream can take
  /// Calls per second by the callers' region; without regions that no core VM
  /// hears from.
  std::map<RegionId, double> Rates_;
  RegionShares Shares_; ///< of the own region's calls, in use at present
};

} // namespace lagoonpoint
