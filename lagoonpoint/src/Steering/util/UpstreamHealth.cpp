#include "lagoonpoint/src/Steering/util/UpstreamHealth.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonpoint::internal {

namespace {

/// Weight of a new observation in smoothed values.
constexpr double Gain = 0.2;
/// Weight of a latency above the smoothed one, so that a slowdown shows faster
/// than a recovery.
constexpr double GainIfSlower = 0.4;
/// A timeout after less than this multiple of the usual latency does not count
/// as a failure, since the caller's deadline was too short.
constexpr double MinTimeoutLatencies = 3;
constexpr double DefaultLatencyMillis = 10;
constexpr Duration ShedBackOff = Duration::millis(50);

void smooth(double &Value, double Observed, double Weight) {
  Value += Weight * (Observed - Value);
}

void observeLatency(Upstream &U, Duration Spent) {
  double Millis = std::max(0.5, static_cast<double>(Spent.count()));
  if (U.LatencyMillis_ <= 0)
    U.LatencyMillis_ = Millis;
  else
    smooth(U.LatencyMillis_, Millis,
           Millis > U.LatencyMillis_ ? GainIfSlower : Gain);
}

/// \returns the number of announced upstreams that may be ejected.
std::size_t maxEjected(const UpstreamGroup &G, Time Now) {
  auto Announced = std::count_if(
      G.Upstreams_.begin(), G.Upstreams_.end(),
      [&](const Upstream &U) { return !U.Leaving_ && Now < U.LeaseUntil_; });
  return static_cast<std::size_t>(static_cast<double>(Announced) *
                                  G.Options_.MaxEjectedFraction_);
}

std::size_t countEjected(const UpstreamGroup &G) {
  return static_cast<std::size_t>(std::count_if(
      G.Upstreams_.begin(), G.Upstreams_.end(),
      [](const Upstream &U) { return U.Phase_ != UpstreamPhase::Serving; }));
}

Duration ejectionTime(const ChoiceOptions &Options, unsigned Ejections) {
  Duration Span = Options.MinEjection_;
  for (unsigned I = 1; I < Ejections && Span < Options.MaxEjection_; ++I)
    Span = Span * 2;
  return std::min(Span, Options.MaxEjection_);
}

void eject(UpstreamGroup &G, Upstream &U, Time Now) {
  bool IsServing = U.Phase_ == UpstreamPhase::Serving;
  if (IsServing && countEjected(G) + 1 > maxEjected(G, Now))
    return;
  ++U.ConsecutiveEjections_;
  U.Phase_ = UpstreamPhase::Ejected;
  U.ProbeAt_ = Now + ejectionTime(G.Options_, U.ConsecutiveEjections_);
}

void recordSuccess(Upstream &U, Duration Spent, Time Now) {
  observeLatency(U, Spent);
  smooth(U.FailureRate_, 0, Gain);
  U.ConsecutiveFailures_ = 0;
  if (U.Phase_ == UpstreamPhase::Serving)
    U.ConsecutiveEjections_ = 0;
  if (U.Phase_ != UpstreamPhase::Probing)
    return;
  U.Phase_ = UpstreamPhase::Serving;
  U.SlowStartAt_ = Now;
}

void recordFailure(UpstreamGroup &G, Upstream &U, Time Now) {
  smooth(U.FailureRate_, 1, Gain);
  ++U.ConsecutiveFailures_;
  bool WasProbe = U.Phase_ == UpstreamPhase::Probing;
  if (WasProbe || U.ConsecutiveFailures_ >= G.Options_.FailuresToEject_)
    eject(G, U, Now);
}

/// Decays the stored observations to \p Now before a new one is added.
void decayUntil(const UpstreamGroup &G, Upstream &U, Time Now) {
  Observations Decayed = decayed(U, G.Options_, typicalLatency(G), Now);
  if (U.LatencyMillis_ > 0)
    U.LatencyMillis_ = Decayed.LatencyMillis_;
  U.FailureRate_ = Decayed.FailureRate_;
  U.ObservedAt_ = Now;
}

bool isConclusiveTimeout(const Upstream &U, Duration Spent) {
  return static_cast<double>(Spent.count()) >=
         MinTimeoutLatencies * U.LatencyMillis_;
}

} // namespace

double typicalLatency(const UpstreamGroup &G) {
  std::vector<double> Known;
  for (const Upstream &U : G.Upstreams_)
    if (U.LatencyMillis_ > 0)
      Known.push_back(U.LatencyMillis_);
  if (Known.empty())
    return DefaultLatencyMillis;
  auto Middle = Known.begin() + static_cast<std::ptrdiff_t>(Known.size() / 2);
  std::nth_element(Known.begin(), Middle, Known.end());
  return *Middle;
}

Observations decayed(const Upstream &U, const ChoiceOptions &Options,
                     double Typical, Time Now) {
  double HalfLives =
      (Now - U.ObservedAt_).inSeconds() / Options.HalfLife_.inSeconds();
  double Decay = std::exp2(-HalfLives);
  double Ratio = U.LatencyMillis_ > 0 ? U.LatencyMillis_ / Typical : 1.0;
  return {Typical * std::pow(Ratio, Decay), Decay * U.FailureRate_};
}

void recordOutcome(UpstreamGroup &G, Upstream &U, UpstreamOutcome Outcome,
                   Duration Spent, Time Now) {
  if (Outcome != UpstreamOutcome::Inconclusive &&
      Outcome != UpstreamOutcome::Shed)
    decayUntil(G, U, Now);
  switch (Outcome) {
  case UpstreamOutcome::Answered:
    return recordSuccess(U, Spent, Now);
  case UpstreamOutcome::Shed:
    U.BackOffUntil_ = Now + ShedBackOff;
    return;
  case UpstreamOutcome::TimedOut:
    if (isConclusiveTimeout(U, Spent)) {
      observeLatency(U, Spent);
      recordFailure(G, U, Now);
    }
    return;
  case UpstreamOutcome::Refused:
  case UpstreamOutcome::Broken:
    return recordFailure(G, U, Now);
  case UpstreamOutcome::Inconclusive:
    return;
  }
}

void startDueProbes(UpstreamGroup &G, Time Now) {
  for (Upstream &U : G.Upstreams_)
    if (U.Phase_ == UpstreamPhase::Ejected && U.ProbeAt_ <= Now)
      U.Phase_ = UpstreamPhase::Probing;
}

} // namespace lagoonpoint::internal
