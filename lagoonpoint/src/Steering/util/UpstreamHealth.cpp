#include "lagoonpoint/src/Steering/util/UpstreamHealth.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lagoonpoint::internal {

namespace {

/// Weight of the newest observation in smoothed values.
constexpr double Newest = 0.2;
/// A slower answer counts sooner than a faster one.
constexpr double NewestIfSlower = 0.4;
/// A try that had less time than this multiple of the usual latency says
/// nothing when it times out.
constexpr double FairTime = 3;
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
           Millis > U.LatencyMillis_ ? NewestIfSlower : Newest);
}

/// \returns how many upstreams may be ejected, of those that are announced.
std::size_t mostEjected(const UpstreamGroup &G, Time Now) {
  auto Announced = std::count_if(
      G.Upstreams_.begin(), G.Upstreams_.end(),
      [&](const Upstream &U) { return !U.Leaving_ && Now < U.LeaseUntil_; });
  return static_cast<std::size_t>(static_cast<double>(Announced) *
                                  G.Rules_.MaxEjected_);
}

std::size_t ejected(const UpstreamGroup &G) {
  return static_cast<std::size_t>(std::count_if(
      G.Upstreams_.begin(), G.Upstreams_.end(),
      [](const Upstream &U) { return U.Phase_ != UpstreamPhase::Serving; }));
}

Duration ejectionTime(const ChoiceRules &Rules, unsigned Ejections) {
  Duration Span = Rules.FirstEjection_;
  for (unsigned I = 1; I < Ejections && Span < Rules.LongestEjection_; ++I)
    Span = Span * 2;
  return std::min(Span, Rules.LongestEjection_);
}

void eject(UpstreamGroup &G, Upstream &U, Time Now) {
  bool IsServing = U.Phase_ == UpstreamPhase::Serving;
  if (IsServing && ejected(G) + 1 > mostEjected(G, Now))
    return;
  ++U.Ejections_;
  U.Phase_ = UpstreamPhase::Ejected;
  U.RetryAt_ = Now + ejectionTime(G.Rules_, U.Ejections_);
}

void succeed(Upstream &U, Duration Spent, Time Now) {
  observeLatency(U, Spent);
  smooth(U.Failures_, 0, Newest);
  U.FailuresInRow_ = 0;
  if (U.Phase_ == UpstreamPhase::Serving)
    U.Ejections_ = 0;
  if (U.Phase_ != UpstreamPhase::Probing)
    return;
  U.Phase_ = UpstreamPhase::Serving;
  U.WarmSince_ = Now;
}

void fail(UpstreamGroup &G, Upstream &U, Time Now) {
  smooth(U.Failures_, 1, Newest);
  ++U.FailuresInRow_;
  bool WasProbe = U.Phase_ == UpstreamPhase::Probing;
  if (WasProbe || U.FailuresInRow_ >= G.Rules_.FailuresToEject_)
    eject(G, U, Now);
}

/// Stores what is left of the observations before a new one is added.
void fadeUntil(const UpstreamGroup &G, Upstream &U, Time Now) {
  Observed Left = faded(U, G.Rules_, typicalLatency(G), Now);
  if (U.LatencyMillis_ > 0)
    U.LatencyMillis_ = Left.LatencyMillis_;
  U.Failures_ = Left.Failures_;
  U.ObservedAt_ = Now;
}

bool hadFairTime(const Upstream &U, Duration Spent) {
  return static_cast<double>(Spent.count()) >= FairTime * U.LatencyMillis_;
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

Observed faded(const Upstream &U, const ChoiceRules &Rules, double Typical,
               Time Now) {
  double HalfLives =
      (Now - U.ObservedAt_).inSeconds() / Rules.HalfLife_.inSeconds();
  double Left = std::exp2(-HalfLives);
  double Slower = U.LatencyMillis_ > 0 ? U.LatencyMillis_ / Typical : 1.0;
  return {Typical * std::pow(Slower, Left), Left * U.Failures_};
}

void judge(UpstreamGroup &G, Upstream &U, UpstreamOutcome Outcome,
           Duration Spent, Time Now) {
  if (Outcome != UpstreamOutcome::Inconclusive &&
      Outcome != UpstreamOutcome::Shed)
    fadeUntil(G, U, Now);
  switch (Outcome) {
  case UpstreamOutcome::Answered:
    return succeed(U, Spent, Now);
  case UpstreamOutcome::Shed:
    U.BackOffUntil_ = Now + ShedBackOff;
    return;
  case UpstreamOutcome::TimedOut:
    if (hadFairTime(U, Spent)) {
      observeLatency(U, Spent);
      fail(G, U, Now);
    }
    return;
  case UpstreamOutcome::Refused:
  case UpstreamOutcome::Broken:
    return fail(G, U, Now);
  case UpstreamOutcome::Inconclusive:
    return;
  }
}

void reviveDue(UpstreamGroup &G, Time Now) {
  for (Upstream &U : G.Upstreams_)
    if (U.Phase_ == UpstreamPhase::Ejected && U.RetryAt_ <= Now)
      U.Phase_ = UpstreamPhase::Probing;
}

} // namespace lagoonpoint::internal
