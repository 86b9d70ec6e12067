#include "lagoonpoint/src/Gateway/StopPlan.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Margin added to the TTL of look-ups: callers use a VM until their look-up
/// has expired.
constexpr Duration LookupMargin = Duration::millis(500);
/// Divisor of the grace time: this part of it is for the process to exit.
constexpr std::int64_t ExitDivisor = 6;

} // namespace

StopPlan makeStopPlan(Time Now, Duration Grace, Duration LookupTtl) {
  return {Now + std::min(LookupTtl + LookupMargin, Grace / 2),
          Now + Grace - Grace / ExitDivisor};
}

bool acceptsCall(const StopPlan &Plan, Time Now, Time CallDeadline) {
  return CallDeadline <= Plan.CallsEndBy_ || Now < Plan.LookupsExpireAt_;
}

} // namespace lagoonpoint
