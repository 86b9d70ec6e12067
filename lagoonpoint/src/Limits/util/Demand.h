#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <cmath>

namespace lagoonpoint::internal {

/// Rate held beyond the observed demand, so that small growth needs no ask.
inline constexpr double RateHeadroom = 1.25;
/// Demand whose tokens a holder stores.
inline constexpr double StoredSeconds = 0.25;
/// Below this demand, in units a second, a VM counts as idle.
inline constexpr double IdleDemand = 0.01;
/// Time constant of the smoothed demand, in seconds.
inline constexpr double DemandSeconds = 1.0;
inline constexpr Duration DemandStep = Duration::millis(100);

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

/// \returns what a VM needs to serve a demand and those that wait.
inline Amount neededFor(double Demand, double Waiting) {
  if (Demand < IdleDemand && Waiting <= 0)
    return {};
  return {Demand * RateHeadroom, Waiting + 1 + Demand * StoredSeconds};
}

} // namespace lagoonpoint::internal
