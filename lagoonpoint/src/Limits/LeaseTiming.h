#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// \class LeaseTiming
/// \ingroup Limits
/// \brief Durations that holders and authorities must agree on.
struct LeaseTiming {
  Duration Length_ = Duration::seconds(3); ///< of a lease

  /// \returns the longest time between two renewals of a lease.
  Duration renewalInterval() const { return Length_ / 3; }
  /// \returns how long a holder cedes part of its floor. The authority counts
  /// this time from its previous grant, and the holder renews it with its next
  /// request, so the remaining time must cover a whole lease at any point in
  /// between.
  Duration cedeDuration() const { return Length_ + renewalInterval() * 5 / 2; }
};

/// Time after which a holder gives up an unanswered lease request.
inline constexpr Duration LeaseRequestTimeout = Duration::millis(250);
/// Length of a lease that serves only calls that are already waiting.
inline constexpr Duration ShortLeaseLength = Duration::millis(300);
/// Longest time that a call waits for a lease, whatever its deadline.
inline constexpr Duration MaxLeaseWait = Duration::millis(500);

/// Maximum clock drift rate, fast or slow: a disciplined clock is slewed by at
/// most 500 ppm.
inline constexpr double MaxClockDrift = 0.0005;

/// \returns an upper bound on the difference between two clocks over a span,
/// rounding to milliseconds included.
constexpr Duration clockMargin(Duration Span) {
  return Span / 500 + Duration::millis(2);
}

/// \returns the seconds of a measured span that have passed at least, for any
/// clock within MaxClockDrift.
constexpr double minElapsedSeconds(Duration Span) {
  return Span.inSeconds() * (1 - MaxClockDrift);
}

} // namespace lagoonpoint
