#include "lagoonpoint/src/Admission/RetryReservations.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

Duration fraction(Duration D, double Factor) {
  return Duration::millis(
      static_cast<std::int64_t>(static_cast<double>(D.count()) * Factor));
}

/// \returns the time between two reserved retries.
Duration spacing(const RetryReservationOptions &Options, double Throughput) {
  double PerSecond = std::max(Throughput * Options.ThroughputFraction_, 0.1);
  return Duration::millis(
      std::max<std::int64_t>(1, static_cast<std::int64_t>(1000 / PerSecond)));
}

/// Weight of the newest reservation in RetryReservations::ReturnRate_.
constexpr double ReturnGain = 0.1;
/// Retries state the time they have left, from which the deadline is computed.
/// The two deadlines differ by the variation of the messages' delays.
constexpr Duration DeadlineTolerance = Duration::millis(50);

auto findEntry(const RetryReservations &R, Time Deadline,
               std::uint64_t Object) {
  return std::find_if(R.Entries_.begin(), R.Entries_.end(),
                      [&](const RetryReservations::Entry &E) {
                        return E.Object_ == Object &&
                               E.Deadline_ <= Deadline + DeadlineTolerance &&
                               Deadline <= E.Deadline_ + DeadlineTolerance;
                      });
}

} // namespace

Duration reserveRetry(RetryReservations &R,
                      const RetryReservationOptions &Options,
                      const RetryRequest &Request, Time Now) {
  Duration Apart = spacing(Options, Request.Throughput_);
  Time At = Now + std::max(Options.MinRetryAfter_, Request.Backlog_);
  if (!R.Entries_.empty())
    At = std::max(At, R.Entries_.back().Due_ + Apart);
  bool WillReturn =
      !Request.IsRetry_ &&
      At - Now <= fraction(Request.Deadline_ - Now, Options.ObeyedFraction_);
  if (WillReturn) {
    R.Entries_.push_back({At, Request.Deadline_, Request.Object_});
    return At - Now;
  }
  bool Spread = R.LastUnreserved_ + Apart <= At + Options.UnreservedSpan_;
  R.LastUnreserved_ = Spread ? std::max(At, R.LastUnreserved_ + Apart) : At;
  return R.LastUnreserved_ - Now;
}

double reservedSlots(const RetryReservations &R,
                     const RetryReservationOptions &Options, double Slots,
                     Time Now) {
  auto Due = std::partition_point(
      R.Entries_.begin(), R.Entries_.end(),
      [&](const RetryReservations::Entry &E) { return E.Due_ <= Now; });
  return std::min(
      std::round(static_cast<double>(Due - R.Entries_.begin()) * R.ReturnRate_),
      Slots * Options.ReservedFraction_);
}

bool hasReservation(const RetryReservations &R, Time Deadline,
                    std::uint64_t Object) {
  return findEntry(R, Deadline, Object) != R.Entries_.end();
}

void redeem(RetryReservations &R, Time Deadline, std::uint64_t Object) {
  auto Found = findEntry(R, Deadline, Object);
  if (Found == R.Entries_.end())
    return;
  R.Entries_.erase(Found);
  R.ReturnRate_ += ReturnGain * (1 - R.ReturnRate_);
}

std::size_t removeLapsed(RetryReservations &R,
                         const RetryReservationOptions &Options, Time Now) {
  std::size_t Lapsed = 0;
  for (; !R.Entries_.empty() && R.Entries_.front().Due_ + Options.Grace_ < Now;
       ++Lapsed) {
    R.Entries_.pop_front();
    R.ReturnRate_ -= ReturnGain * R.ReturnRate_;
  }
  return Lapsed;
}

} // namespace lagoonpoint
