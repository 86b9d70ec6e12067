#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint::internal {

/// Burst of a VM's bucket, in seconds of its demand.
inline constexpr double BurstSeconds = 0.25;
/// Demand in units per second below which a VM counts as idle.
inline constexpr double IdleDemand = 0.01;
/// The demand is smoothed over about this many units, within the time bounds
/// below.
inline constexpr double SmoothingUnits = 20;
inline constexpr double MinSmoothingSeconds = 0.15;
inline constexpr double MaxSmoothingSeconds = 1.0;
inline constexpr Duration DemandUpdateInterval = Duration::millis(50);

/// Updates the smoothed \p Demand with the units requested since \p UpdatedAt
/// and resets their count.
inline void updateDemand(double &Demand, double &RequestedUnits,
                         Time &UpdatedAt, Time Now) {
  if (Now - UpdatedAt < DemandUpdateInterval)
    return;
  double Seconds = (Now - UpdatedAt).inSeconds();
  double TimeConstant =
      std::clamp(SmoothingUnits / std::max(Demand, IdleDemand),
                 MinSmoothingSeconds, MaxSmoothingSeconds);
  double OldWeight = std::exp(-Seconds / TimeConstant);
  Demand = Demand * OldWeight + RequestedUnits / Seconds * (1 - OldWeight);
  RequestedUnits = 0;
  UpdatedAt = Now;
}

/// \returns the burst a VM needs to serve a demand without further requests.
inline double burstFor(double Demand) {
  return Demand < IdleDemand ? 0 : 1 + Demand * BurstSeconds;
}

/// \returns the refill rate a VM needs in addition to a burst.
///
/// Arrivals vary, so a bucket refilled at the full demand overflows at times,
/// the more the smaller its burst. The rest is requested from the pool.
inline double refillRateFor(double Demand, double Burst) {
  return Burst < 1 ? 0 : Demand * std::max(0.0, 1 - 2.5 / Burst);
}

} // namespace lagoonpoint::internal
