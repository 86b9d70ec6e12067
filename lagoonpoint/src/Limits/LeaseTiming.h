#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// \class LeaseTiming
/// \ingroup Limits
/// \brief Spans that holders and authorities of leases share.
struct LeaseTiming {
  Duration Length_ = Duration::seconds(3); ///< of a lease

  /// \returns how long before its end a lease is renewed at the latest.
  Duration renewalInterval() const { return Length_ / 3; }
  /// \returns how long a holder sets part of its floor aside for others. A
  /// promise counts from the answer to the ask before it and is renewed an ask
  /// later: at any time the rest has to cover a whole lease.
  Duration cedeDuration() const { return Length_ + renewalInterval() * 5 / 2; }
};

/// A holder gives up an unanswered ask after this.
inline constexpr Duration LeaseRequestTimeout = Duration::millis(250);
/// Length of a lease that only serves calls that wait already.
inline constexpr Duration ShortLeaseLength = Duration::millis(300);
/// A call waits for a lease no longer than this, whatever its deadline.
inline constexpr Duration MaxLeaseWait = Duration::millis(500);

/// Clocks run at most this much fast or slow; 500 ppm is the most that a
/// disciplined clock is slewed.
inline constexpr double MaxClockDrift = 0.0005;

/// \returns what two clocks may differ over a span, plus rounding.
constexpr Duration clockMargin(Duration Span) {
  return Span / 500 + Duration::millis(2);
}

/// \returns the seconds of a span that have passed on every clock.
constexpr double minElapsedSeconds(Duration Span) {
  return Span.inSeconds() * (1 - MaxClockDrift);
}

} // namespace lagoonpoint
