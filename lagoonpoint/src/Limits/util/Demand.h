#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint::internal {

/// Demand whose tokens a VM stores.
inline constexpr double BurstSeconds = 0.25;
/// Below this demand, in units a second, a VM counts as idle.
inline constexpr double IdleDemand = 0.01;
/// The demand is smoothed over about so many units, within these bounds.
inline constexpr double SmoothingUnits = 20;
inline constexpr double MinSmoothingSeconds = 0.15;
inline constexpr double MaxSmoothingSeconds = 1.0;
inline constexpr Duration DemandUpdateInterval = Duration::millis(50);

/// Smooths what was offered since \p At into \p Demand.
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

/// \returns the tokens a VM would store to serve a demand without asking.
inline double burstFor(double Demand) {
  return Demand < IdleDemand ? 0 : 1 + Demand * BurstSeconds;
}

/// \returns the rate a VM needs beside a store.
///
/// Arrivals vary, so a bucket that fills at the whole demand overflows now and
/// then, the smaller the store the more. The rest comes from the pool by asks.
inline double refillRateFor(double Demand, double Burst) {
  return Burst < 1 ? 0 : Demand * std::max(0.0, 1 - 2.5 / Burst);
}

} // namespace lagoonpoint::internal
