#pragma once

#include "lagoonpoint/Core"

#include <array>
#include <map>
#include <mutex>
#include <string>

namespace lagoonpoint {

/// \class FirstDeadline
/// \ingroup Gateway
/// \brief Recognizes the retries of callers by their deadlines. Thread-safe.
///
/// A caller states how long it will still wait. The longest such time that was
/// lately seen on a route is taken as that of a first request; a shorter one
/// belongs to a request that the caller has sent before.
class FirstDeadline {
public:
  /// Records the time that a caller allows for a request.
  /// \returns the time since the caller's first request; zero if this is one
  Duration sinceFirstRequest(const std::string &Route, Duration Allowed,
                             Time Now);

private:
  /// Longest times of a route, by periods of BucketLength.
  struct Longest {
    static constexpr std::size_t Buckets = 7; ///< the last one is incomplete
    std::array<Duration, Buckets> Allowed_{};
    std::int64_t Bucket_ = 0; ///< number of the newest period
  };
  static constexpr Duration BucketLength = Duration::seconds(10);
  /// Callers' clocks and the way to this VM vary by less.
  static constexpr Duration MinDifference = Duration::millis(100);
  static constexpr std::size_t MaxRoutes = 256;

  std::mutex Lock_;
  std::map<std::string, Longest> Routes_;
};

} // namespace lagoonpoint
