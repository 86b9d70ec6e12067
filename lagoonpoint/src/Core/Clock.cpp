#include "lagoonpoint/src/Core/Clock.h"

#include <chrono>

namespace lagoonpoint {

namespace {

template <class Point> std::int64_t millisOf(Point P) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             P.time_since_epoch())
      .count();
}

} // namespace

Time SystemClock::now() const {
  return Time(millisOf(std::chrono::steady_clock::now()));
}

std::int64_t SystemClock::unixMillis() const {
  return millisOf(std::chrono::system_clock::now());
}

} // namespace lagoonpoint
