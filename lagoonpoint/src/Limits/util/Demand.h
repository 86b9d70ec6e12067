#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint::internal {

/// Demand whose tokens a VM stores.
inline constexpr double StoredSeconds = 0.25;
/// Below this demand, in units a second, a VM counts as idle.
inline constexpr double IdleDemand = 0.01;
/// Time constant of the smoothed demand, in seconds.
inline constexpr double DemandSeconds = 0.5;
inline constexpr Duration DemandStep = Duration::millis(50);

/// Smooths what was offered since \p At into \p Demand.
inline void updateDemand(double &Demand, double &Offered, Time &At, Time Now) {
  if (Now - At < DemandStep)
    return;
  double Seconds = (Now - At).inSeconds();
  double Keep = std::exp(-Seconds / DemandSeconds);
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
/// then by about 1 / (2 * store) of it. The rest comes from the pool by asks.
inline double rateFor(double Demand, double Store) {
  return Store < 1 ? 0 : Demand * std::max(0.0, 1 - 1.5 / Store);
}

} // namespace lagoonpoint::internal
