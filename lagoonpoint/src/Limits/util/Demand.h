#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint::internal {

/// Demand whose tokens a VM stores.
inline constexpr double StoredSeconds = 0.25;
/// Below this demand, in units a second, a VM counts as idle.
inline constexpr double IdleDemand = 0.01;
/// The demand is smoothed over about so many units, within these bounds.
inline constexpr double SmoothedUnits = 20;
inline constexpr double MinSmoothSeconds = 0.15;
inline constexpr double MaxSmoothSeconds = 1.0;
inline constexpr Duration DemandStep = Duration::millis(50);

/// Smooths what was offered since \p At into \p Demand.
inline void updateDemand(double &Demand, double &Offered, Time &At, Time Now) {
  if (Now - At < DemandStep)
    return;
  double Seconds = (Now - At).inSeconds();
  double Smooth = std::clamp(SmoothedUnits / std::max(Demand, IdleDemand),
                             MinSmoothSeconds, MaxSmoothSeconds);
  double Keep = std::exp(-Seconds / Smooth);
  Demand = Demand * Keep + Offered / Seconds * (1 - Keep);
  Offered = 0;
  At = Now;
}

/// \returns the tokens a VM would store to serve a demand without asking.
inline double storeFor(double Demand) {
  return Demand < IdleDemand ? 0 : 1 + Demand * StoredSeconds;
}

/// \returns the rate a VM needs beside a store.
///
/// Arrivals vary, so a bucket that fills at the whole demand overflows now and
/// then, the smaller the store the more. The rest comes from the pool by asks.
inline double rateFor(double Demand, double Store) {
  return Store < 1 ? 0 : Demand * std::max(0.0, 1 - 2.5 / Store);
}

} // namespace lagoonpoint::internal
