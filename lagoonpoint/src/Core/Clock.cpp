#include "lagoonpoint/src/Core/Clock.h"

#include <chrono>
#include <ctime>

namespace lagoonpoint {

namespace {

template <class Point> std::int64_t millisOf(Point P) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             P.time_since_epoch())
      .count();
}

} // namespace

Time SystemClock::now() const {
  // Unlike CLOCK_MONOTONIC it counts the time that the VM was suspended, so a
  // lease or a proof can't outlive a freeze.
  timespec At{};
  ::clock_gettime(CLOCK_BOOTTIME, &At);
  return Time(std::int64_t(At.tv_sec) * 1000 + At.tv_nsec / 1'000'000);
}

std::int64_t SystemClock::unixMillis() const {
  return millisOf(std::chrono::system_clock::now());
}

} // namespace lagoonpoint
