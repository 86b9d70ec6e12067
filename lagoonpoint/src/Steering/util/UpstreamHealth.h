#pragma once

#include "lagoonpoint/src/Steering/UpstreamChoice.h"

namespace lagoonpoint::internal {

/// Observations of an upstream, decayed to the present.
struct Observations {
  double LatencyMillis_ = 0;
  double FailureRate_ = 0;
};

/// \returns the median latency of the upstreams whose latency is known. A
/// median is used so that a slow upstream does not make the others look good.
double typicalLatency(const UpstreamGroup &G);

/// \returns an upstream's observations at \p Now: the latency decays towards
/// \p Typical and the failure rate towards 0.
Observations decayed(const Upstream &U, const ChoiceOptions &Options,
                     double Typical, Time Now);

/// Updates an upstream's health by the outcome of a try. Ejects it after
/// repeated failures and readmits it once a probe is answered.
void recordOutcome(UpstreamGroup &G, Upstream &U, UpstreamOutcome Outcome,
                   Duration Spent, Time Now);

/// Starts probing ejected upstreams whose ejection time has passed.
void startDueProbes(UpstreamGroup &G, Time Now);

} // namespace lagoonpoint::internal
