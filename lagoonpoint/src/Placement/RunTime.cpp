#include "lagoonpoint/src/Placement/RunTime.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

constexpr double SampleGain = 0.1;   ///< weight of the newest run time
constexpr double SpeedGain = 0.05;   ///< weight of the newest speed sample
constexpr double FailureGain = 0.15; ///< weight of the newest result
/// A sample counts as at most this multiple of the estimate.
constexpr double MaxSampleFactor = 3;
/// Samples of an estimate before it is used to measure speeds.
constexpr unsigned MinSpeedSamples = 5;
constexpr double MinSpeed = 0.25;
constexpr double MaxSpeed = 4;
constexpr Duration PaceHalfLife = Duration::millis(300);
constexpr Duration FailureHalfLife = Duration::seconds(2);
/// A run is assumed to be this much shorter where the upstream may hold the
/// object's state, until it was measured.
constexpr double UnmeasuredWarmFactor = 0.5;
/// Mean absolute deviations below the mean that about one run in ten undercuts.
constexpr double ShortestRunDeviations = 1.6;

/// A run that takes longer than this many warm runs, and longer than nearly all
/// cold runs, is unusually long. An upstream may have forgotten an object that
/// it was expected to hold.
constexpr double LongWarmFactor = 3;
constexpr double LongColdDeviations = 2;

double halfLifeFactor(Duration Age, Duration HalfLife) {
  return std::exp2(-Age.inSeconds() / HalfLife.inSeconds());
}

const RouteRunTimes::Estimate *find(const RunTimeModel &M,
                                    const std::string &Route, ReuseDistance D) {
  auto Found = M.Routes_.find(Route);
  if (Found == M.Routes_.end())
    return nullptr;
  const auto &E = Found->second.ByDistance_[static_cast<std::size_t>(D)];
  return E.Seconds_ > 0 ? &E : nullptr;
}

} // namespace

void recordObject(RecentObjects &R, std::uint64_t Object) {
  std::erase(R.Hashes_, Object);
  R.Hashes_.insert(R.Hashes_.begin(), Object);
  if (R.Hashes_.size() > RecentObjects::Capacity)
    R.Hashes_.pop_back();
}

ReuseDistance reuseDistance(const RecentObjects &R, std::uint64_t Object) {
  auto At = std::find(R.Hashes_.begin(), R.Hashes_.end(), Object);
  if (At == R.Hashes_.end())
    return ReuseDistance::Never;
  auto Distance = At - R.Hashes_.begin();
  if (Distance < 5)
    return ReuseDistance::Below5;
  if (Distance < 10)
    return ReuseDistance::Below10;
  return Distance < 20 ? ReuseDistance::Below20 : ReuseDistance::Farther;
}

double paceAt(const UpstreamSpeed &U, Time Now) {
  return 1 +
         (U.Pace_ - 1) * halfLifeFactor(Now - U.PaceStatedAt_, PaceHalfLife);
}

double failureRateAt(const UpstreamSpeed &U, Time Now) {
  return U.FailureRate_ *
         halfLifeFactor(Now - U.FailureUpdatedAt_, FailureHalfLife);
}

void recordResult(UpstreamSpeed &U, bool Failed, Time Now) {
  double Rate = failureRateAt(U, Now);
  U.FailureRate_ = Rate + FailureGain * ((Failed ? 1 : 0) - Rate);
  U.FailureUpdatedAt_ = Now;
}

double usualRunSeconds(const RunTimeModel &M, const std::string &Route,
                       ReuseDistance D, double StandIn) {
  // A run at a larger distance is not shorter, so that the nearest measured
  // distance stands in for one without samples.
  for (auto I = static_cast<std::size_t>(D); I > 0; --I)
    if (const auto *E = find(M, Route, static_cast<ReuseDistance>(I))) {
      bool IsUnmeasuredCold =
          D == ReuseDistance::Never && I != static_cast<std::size_t>(D);
      return IsUnmeasuredCold ? std::max(StandIn, E->Seconds_) : E->Seconds_;
    }
  const auto *Warm = find(M, Route, ReuseDistance::Below5);
  const auto *Cold = find(M, Route, ReuseDistance::Never);
  if (D == ReuseDistance::Never)
    return Cold ? Cold->Seconds_
                : std::max(StandIn, Warm ? Warm->Seconds_ : 0.0);
  if (Warm)
    return Warm->Seconds_;
  return UnmeasuredWarmFactor * (Cold ? Cold->Seconds_ : StandIn);
}

double shortestRunSeconds(const RunTimeModel &M, const std::string &Route,
                          double StandIn) {
  const auto *Warm = find(M, Route, ReuseDistance::Below5);
  if (!Warm)
    return UnmeasuredWarmFactor *
           usualRunSeconds(M, Route, ReuseDistance::Never, StandIn);
  return std::max(Warm->Seconds_ - ShortestRunDeviations * Warm->Deviation_,
                  Warm->Seconds_ / 2);
}

double longRunSeconds(const RunTimeModel &M, const std::string &Route) {
  const auto *Warm = find(M, Route, ReuseDistance::Below5);
  const auto *Cold = find(M, Route, ReuseDistance::Never);
  if (!Warm || !Cold)
    return 0;
  return std::max(LongWarmFactor * Warm->Seconds_,
                  Cold->Seconds_ + LongColdDeviations * Cold->Deviation_);
}

bool isWarm(const RunTimeModel &M, const std::string &Route, ReuseDistance D) {
  if (D == ReuseDistance::Never)
    return false;
  const auto *Cold = find(M, Route, ReuseDistance::Never);
  const auto *Warm = find(M, Route, ReuseDistance::Below5);
  if (!Cold || !Warm)
    return D != ReuseDistance::Farther;
  double Run = usualRunSeconds(M, Route, D, Cold->Seconds_);
  return Run <= (Warm->Seconds_ + Cold->Seconds_) / 2;
}

void recordRun(RunTimeModel &M, UpstreamSpeed &U, const std::string &Route,
               ReuseDistance D, double Seconds, double PaceAtStart,
               double StatedPace, Time Now) {
  double Pace = StatedPace > 0 ? (PaceAtStart + StatedPace) / 2 : PaceAtStart;
  if (StatedPace > 0) {
    U.Pace_ = StatedPace;
    U.PaceStatedAt_ = Now;
  }
  if (Seconds <= 0 || Pace <= 0)
    return;
  double Sample = Seconds / Pace;
  auto &E = M.Routes_[Route].ByDistance_[static_cast<std::size_t>(D)];
  if (E.Seconds_ <= 0) {
    E.Seconds_ = Sample / U.Factor_;
    E.Deviation_ = E.Seconds_ / 4;
    E.Samples_ = 1;
    return;
  }
  Sample = std::min(Sample, MaxSampleFactor * E.Seconds_ * U.Factor_);
  double Ratio = Sample / E.Seconds_;
  // A first estimate says little about the speed of an upstream.
  if (E.Samples_ >= MinSpeedSamples)
    U.Factor_ = std::clamp(U.Factor_ + SpeedGain * (Ratio - U.Factor_),
                           MinSpeed, MaxSpeed);
  double Usual = Sample / U.Factor_;
  // The first samples are averaged, as one of them may be a long run.
  double Gain = std::max(SampleGain, 1.0 / (E.Samples_ + 1));
  E.Samples_ += Gain > SampleGain ? 1 : 0;
  E.Deviation_ += Gain * (std::abs(Usual - E.Seconds_) - E.Deviation_);
  E.Seconds_ += Gain * (Usual - E.Seconds_);
}

} // namespace lagoonpoint
