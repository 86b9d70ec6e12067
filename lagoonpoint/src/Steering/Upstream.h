#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"

#include <optional>

namespace lagoonpoint {

/// Load reported by an upstream.
struct LoadReport {
  double Load_ = 0; ///< fraction of its slots in use, 0 to 1
  Time At_;         ///< when the load was measured
};

/// State of an upstream in this VM's outlier detection.
enum class UpstreamPhase {
  Serving, ///< receives calls
  Ejected, ///< failed repeatedly; receives no calls until ProbeAt_
  Probing, ///< receives one call at a time, as a probe
};

/// \class Upstream
/// \ingroup Steering
/// \brief State of an upstream as known to one VM.
struct Upstream {
  UpstreamId Id_;
  ZoneId Zone_;
  Address Address_;

  // From its announcements.
  unsigned Slots_ = 0;
  unsigned Connections_ = 0;
  bool Leaving_ = false;
  Time LeaseUntil_;
  std::optional<LoadReport> Report_;

  // Calls from this VM.
  unsigned AssignedSlots_ = 0; ///< limit on concurrent calls from this VM
  unsigned InFlight_ = 0;

  // Observed by this VM.
  Time SlowStartAt_;         ///< when the slow start began
  double LatencyMillis_ = 0; ///< smoothed; 0 if unknown
  double FailureRate_ = 0;   ///< fraction of tries that failed, smoothed
  unsigned ConsecutiveFailures_ = 0; ///< reset by any response
  Time ObservedAt_;   ///< last update of latency and failure rate
  Time BackOffUntil_; ///< set when it sheds a call
  UpstreamPhase Phase_ = UpstreamPhase::Serving;
  unsigned ConsecutiveEjections_ = 0; ///< reset by a response while serving
  Time ProbeAt_; ///< when an ejected upstream may be probed
};

/// Result of one try at an upstream, as used for its health.
enum class UpstreamOutcome {
  Answered,     ///< complete response received
  Refused,      ///< connection refused or not established in time
  Shed,         ///< the upstream reported that it did not run the request
  TimedOut,     ///< no response by the deadline
  Broken,       ///< connection failed or response truncated
  Inconclusive, ///< no evidence about the upstream: the caller left
};

} // namespace lagoonpoint
