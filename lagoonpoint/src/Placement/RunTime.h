#pragma once

#include "lagoonpoint/Core"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Classes of the number of other objects that an upstream has run since it ran
/// an object last. The more there are, the less likely it still holds the
/// object's state.
enum class ReuseDistance { Below5, Below10, Below20, Farther, Never };
inline constexpr std::size_t ReuseDistanceCount = 5;

/// \class RecentObjects
/// \ingroup Placement
/// \brief The objects that an upstream has run lately, newest first.
struct RecentObjects {
  static constexpr std::size_t Capacity = 40;
  std::vector<std::uint64_t> Hashes_;
};

/// Moves an object to the front.
/// \ingroup Placement
void recordObject(RecentObjects &R, std::uint64_t Object);
/// \ingroup Placement
ReuseDistance reuseDistance(const RecentObjects &R, std::uint64_t Object);

/// \class RouteRunTimes
/// \ingroup Placement
/// \brief Smoothed run times of one route at a usual pace, by reuse distance.
struct RouteRunTimes {
  struct Estimate {
    double Seconds_ = 0;   ///< 0 if there is no sample
    double Deviation_ = 0; ///< mean absolute deviation, seconds
    unsigned Samples_ = 0; ///< counted up to where the gain is constant
  };
  std::array<Estimate, ReuseDistanceCount> ByDistance_;
};

/// \class RunTimeModel
/// \ingroup Placement
/// \brief Estimates how long a call would run at an upstream. One model serves
/// all upstreams of a pool; each upstream has a speed factor on top.
struct RunTimeModel {
  std::map<std::string, RouteRunTimes> Routes_;
};

/// How fast an upstream runs at present.
struct UpstreamSpeed {
  double Factor_ = 1; ///< of the pool's run times, smoothed
  double Pace_ = 1;   ///< as last stated: 2 means twice the usual time
  Time PaceStatedAt_;
  double FailureRate_ = 0; ///< smoothed; fades
  Time FailureUpdatedAt_;
};

/// \returns the stated pace, faded towards 1 with its age.
/// \ingroup Placement
double paceAt(const UpstreamSpeed &U, Time Now);

/// \returns the fraction of calls that failed lately.
/// \ingroup Placement
double failureRateAt(const UpstreamSpeed &U, Time Now);
/// \ingroup Placement
void recordResult(UpstreamSpeed &U, bool Failed, Time Now);

/// Estimates a run at usual pace and speed.
/// \ingroup Placement
/// \param StandIn used while the route has no sample, in seconds
double usualRunSeconds(const RunTimeModel &M, const std::string &Route,
                       ReuseDistance D, double StandIn);
/// \returns the run time that about one run in ten undercuts, in seconds.
/// \ingroup Placement
double shortestRunSeconds(const RunTimeModel &M, const std::string &Route,
                          double StandIn);
/// \returns the time after which a run is unusually long, wherever it is and
/// whether it is warm, in seconds; 0 if too little was measured.
/// \ingroup Placement
double longRunSeconds(const RunTimeModel &M, const std::string &Route);
/// \returns whether a run at this distance is nearer to a warm run than to a
/// cold one.
/// \ingroup Placement
bool isWarm(const RunTimeModel &M, const std::string &Route, ReuseDistance D);

/// Learns from a run that was answered. Long runs are clipped, because a few
/// runs take many times as long whatever upstream they are at.
/// \ingroup Placement
/// \param Seconds measured run time
/// \param PaceAtStart paceAt() when it was granted
/// \param StatedPace stated in the response, 0 if absent
void recordRun(RunTimeModel &M, UpstreamSpeed &U, const std::string &Route,
               ReuseDistance D, double Seconds, double PaceAtStart,
               double StatedPace, Time Now);

} // namespace lagoonpoint
