#pragma once

#include "lagoonpoint/Core"

#include <cstdint>
#include <deque>

namespace lagoonpoint {

/// Bounds on the capacity that a pool reserves for retries.
struct RetryReservationOptions {
  Duration MinRetryAfter_ = Duration::millis(100);
  /// Fraction of the pool's throughput that may be reserved in any second, so
  /// that first requests are still served.
  double ThroughputFraction_ = 0.25;
  /// Fraction of all slots that may be held back at a time.
  double ReservedFraction_ = 0.5;
  /// A reservation lapses this long after its time if it was not used.
  Duration Grace_ = Duration::millis(400);
  /// Times without a reservation are spread over this span.
  Duration UnreservedSpan_ = Duration::seconds(1);
  /// Callers obey Retry-After up to this fraction of the time they have left.
  double ObeyedFraction_ = 1.0 / 3;
};

/// \class RetryReservations
/// \ingroup Admission
/// \brief Times at which refused callers were told to retry, and for which a
/// slot is held back.
///
/// Callers that are refused together would retry together, and most of them
/// would be refused again. Each therefore gets a time of its own.
struct RetryReservations {
  struct Entry {
    Time Due_;
    Time Deadline_; ///< of the call; it identifies the retry
    std::uint64_t Object_ = 0;
  };
  std::deque<Entry> Entries_; ///< by ascending Due_
  Time LastUnreserved_;       ///< last time named without a reservation
  double ReturnRate_ = 1;     ///< fraction of callers that returned, smoothed
};

/// A refused call and the state of the pool that refused it.
struct RetryRequest {
  Duration Backlog_;      ///< time until the pool has worked off its queue
  double Throughput_ = 0; ///< calls per second that the pool completes
  Time Deadline_;
  std::uint64_t Object_ = 0;
  bool IsRetry_ = false; ///< callers retry only once
};

/// Reserves capacity for the retry of a refused call. Nothing is reserved if
/// the caller would not obey the Retry-After, or would not return.
/// \ingroup Admission
/// \returns the Retry-After
Duration reserveRetry(RetryReservations &R,
                      const RetryReservationOptions &Options,
                      const RetryRequest &Request, Time Now);

/// \returns the slots to hold back from calls without a reservation. If
/// callers don't return, fewer are held back, as they would stay idle.
/// \ingroup Admission
double reservedSlots(const RetryReservations &R,
                     const RetryReservationOptions &Options, double Slots,
                     Time Now);

/// \returns whether a reservation was made for a call. Callers that retry
/// earlier or later than they were told must not use those of others.
/// \ingroup Admission
bool hasReservation(const RetryReservations &R, Time Deadline,
                    std::uint64_t Object);

/// Uses up the reservation of a call, when its retry is granted a slot or
/// refused. While the retry waits, the slot remains reserved.
/// \ingroup Admission
void redeem(RetryReservations &R, Time Deadline, std::uint64_t Object);

/// Removes reservations that have lapsed.
/// \ingroup Admission
/// \returns how many lapsed
std::size_t removeLapsed(RetryReservations &R,
                         const RetryReservationOptions &Options, Time Now);

} // namespace lagoonpoint
