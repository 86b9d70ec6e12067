#include "lagoonpoint/src/Core/Clock.h"

#include <chrono>
#include <ctime>

namespace lagoonpoint {

namespace {

template <class Point> std::int64_t millisSinceEpoch(Point P) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             P.time_since_epoch())
      .count();
}

} // namespace

Time SystemClock::now() const {
  // CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, includes time for which the VM was
  // suspended. Leases and key proofs therefore expire during a suspension.
  timespec Now{};
  ::clock_gettime(CLOCK_BOOTTIME, &Now);
  return Time(std::int64_t(Now.tv_sec) * 1000 + Now.tv_nsec / 1'000'000);
}

std::int64_t SystemClock::unixMillis() const {
  return millisSinceEpoch(std::chrono::system_clock::now());
}

} // namespace lagoonpoint
