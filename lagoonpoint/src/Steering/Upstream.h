#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"

#include <optional>

namespace lagoonpoint {

/// What an upstream says of its load.
struct LoadReport {
  double Load_ = 0; ///< share of its slots in use, 0 to 1
  Time At_;         ///< when this VM learned of it
};

/// Where an upstream stands with this VM.
enum class UpstreamPhase {
  Serving, ///< takes work
  Ejected, ///< failed too often and takes none until Retry_
  Probing, ///< may prove itself with one request at a time
};

/// \class Upstream
/// \ingroup Steering
/// \brief An upstream as one VM knows it.
struct Upstream {
  UpstreamId Id_;
  ZoneId Zone_;
  Address Address_;

  // As announced.
  unsigned Slots_ = 0;
  unsigned Connections_ = 0;
  bool Leaving_ = false;
  Time LeaseUntil_;
  std::optional<LoadReport> Report_;

  // This VM's part.
  unsigned AssignedSlots_ = 0; ///< requests that this VM may have there at once
  unsigned InFlight_ = 0;

  // As observed by this VM.
  Time SlowStartAt_;         ///< start of the slow start
  double LatencyMillis_ = 0; ///< smoothed; 0 while unknown
  double FailureRate_ = 0;   ///< share of the last tries that failed, smoothed
  unsigned ConsecutiveFailures_ = 0; ///< 0 after any answer
  Time ObservedAt_;   ///< of latency and failures; they fade after it
  Time BackOffUntil_; ///< it shed a request
  UpstreamPhase Phase_ = UpstreamPhase::Serving;
  unsigned ConsecutiveEjections_ = 0; ///< in a row
  Time ProbeAt_;                      ///< of an ejected one
};

/// How one try at an upstream ended, as its health is judged by it.
enum class UpstreamOutcome {
  Answered,     ///< whole answer received
  Refused,      ///< connection refused or not made in time
  Shed,         ///< it said that it didn't run the request
  TimedOut,     ///< no answer by the deadline
  Broken,       ///< connection failed or answer cut
  Inconclusive, ///< says nothing of the upstream: the caller left
};

} // namespace lagoonpoint
