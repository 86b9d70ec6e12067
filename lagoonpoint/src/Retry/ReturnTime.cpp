#include "lagoonpoint/src/Retry/ReturnTime.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// Callers obey Retry-After up to this fraction of the time they have left.
constexpr double ObeyedFraction = 1.0 / 3;
/// Part of the obeyed time before which a late call does not return.
constexpr double LateFraction = 0.5;
/// Part of the objective that a call needs to be served. Routes set objectives
/// of one to two run times.
constexpr double ServingFraction = 0.5;
constexpr Duration MinDelay = Duration::millis(1);

Duration scaled(Duration D, double Factor) {
  return Duration::millis(
      std::llround(static_cast<double>(D.count()) * Factor));
}

} // namespace

Duration returnDelay(const ReturnQuery &Q, double Spread) {
  Duration Earliest = std::max(Q.Earliest_, MinDelay);
  if (Q.TimeLeft_ <= Duration())
    return Earliest;
  Duration Longest = scaled(Q.TimeLeft_, ObeyedFraction);
  if (Earliest >= Longest)
    return Earliest; // a caller that returns earlier is refused again
  Duration First = Earliest;
  Duration LastPunctual =
      Q.ObjectiveLeft_ - scaled(Q.Objective_, ServingFraction);
  bool MayBePunctual = Q.Objective_ > Duration() && Earliest <= LastPunctual;
  Duration Last = Longest;
  if (MayBePunctual)
    Last = std::clamp(LastPunctual, First, Longest);
  else
    First = std::max(First, scaled(Longest, LateFraction));
  return First + scaled(Last - First, std::clamp(Spread, 0.0, 1.0));
}

} // namespace lagoonpoint
