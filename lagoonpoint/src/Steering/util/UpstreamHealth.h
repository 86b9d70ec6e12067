#pragma once

#include "lagoonpoint/src/Steering/UpstreamChoice.h"

namespace lagoonpoint::internal {

/// What is left of the observations of an upstream.
struct Observations {
  double LatencyMillis_ = 0;
  double FailureRate_ = 0;
};

/// \returns median latency of the upstreams that have one, so that a bad one
/// doesn't make the others look good.
double typicalLatency(const UpstreamGroup &G);

/// \returns an upstream's latency, drawn towards the typical one as time goes
/// by, and its failures, drawn towards none.
Observations decayed(const Upstream &U, const ChoiceOptions &Options,
                     double Typical, Time Now);

/// Learns from how a try ended, ejects an upstream that fails again and again
/// and takes one back whose probe was answered.
void recordOutcome(UpstreamGroup &G, Upstream &U, UpstreamOutcome Outcome,
                   Duration Spent, Time Now);

/// Lets ejected upstreams be probed once their time is over.
void startDueProbes(UpstreamGroup &G, Time Now);

} // namespace lagoonpoint::internal
