#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// \class LeaseTiming
/// \ingroup Limits
/// \brief Spans that holders and authorities of leases share.
struct LeaseTiming {
  Duration Length_ = Duration::seconds(3); ///< of a lease

  /// \returns how long before its end a lease is renewed at the latest.
  Duration renewEvery() const { return Length_ / 3; }
  /// \returns how long a holder sets part of its floor aside for others.
  Duration asideFor() const { return Length_ * 2; }
};

/// A holder gives up an unanswered ask after this.
inline constexpr Duration AskTimeout = Duration::millis(250);
/// A call waits for a lease no longer than this, whatever its deadline.
inline constexpr Duration MaxWait = Duration::millis(500);

/// \returns what two clocks may differ over a span, plus rounding: each may
/// run up to 1 % fast or slow.
constexpr Duration clockMargin(Duration Span) {
  return Span / 50 + Duration::millis(2);
}

} // namespace lagoonpoint
