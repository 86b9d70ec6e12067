#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"
#include "lagoonpoint/src/Steering/StatedLimit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonpoint {

/// \class SharedUpstream
/// \ingroup Steering
/// \brief State of an upstream that is shared by all entry VMs, as known to
/// this VM.
struct SharedUpstream {
  UpstreamId Id_;
  std::uint64_t IdHash_ = 0;      ///< rendezvousHash() of Id_
  std::uint64_t StartedAtMs_ = 0; ///< Unix milliseconds; distinguishes restarts
  Address Address_;
  ZoneId Zone_;
  RegionId Region_;
  unsigned Slots_ = 1;
  bool Available_ = true; ///< serving, and its zone is not drained
  bool Silent_ = false;   ///< its announcements have stopped
  Time WarmupEndsAt_;
  bool IsWarmedHere_ = false; ///< only this VM sends to it while it is cold

  double ServiceSeconds_ = 0; ///< smoothed service time; 0 if unknown
  unsigned InFlight_ = 0;     ///< calls of this VM in progress
  double OthersInFlight_ = 0; ///< calls of other VMs, as last reported
  Time OthersReportedAt_;     ///< when OthersInFlight_ was reported
  double Pace_ = 1; ///< stated with it: 2 means that work takes twice as long
  Time UnansweredSince_; ///< last response, or first call sent after it
  Time BackOffUntil_;    ///< not used until then, after failures
  unsigned ConsecutiveFailures_ = 0; ///< reset by any response
  Time LastColdSendAt_;              ///< last call sent while it was cold
  std::optional<StatedLimit> Limit_; ///< on the rate of calls, if it states one
  Time PausedUntil_;                 ///< it wants no call of this VM until then
};

/// Parameters of the choice among shared upstreams.
struct KeyedChoiceOptions {
  /// Requests that may queue at an object's first choice beyond its slots
  /// before a call goes to the next one. A warm run there is shorter than a
  /// cold run elsewhere.
  double FirstChoiceQueue_ = 5;
  /// The same while VMs share the loads that they find. What a VM knows of a
  /// load is then fresh, and a shorter queue does not keep calls away from free
  /// slots.
  double FirstChoiceQueueWithNotices_ = 3;
  bool LoadsAreShared_ = false;
  /// Fraction of the time left that the expected queueing and service time may
  /// take.
  double MaxTimeFraction_ = 0.9;
  double ServiceTimeGain_ = 0.2; ///< weight of the newest sample
  /// As FirstChoiceQueue_, for upstreams that are not the object's first
  /// choice.
  double OtherChoiceQueue_ = 0;
  /// Number of available upstreams to which an object may be sent. Each further
  /// one costs another cold run, which would aggravate an overload.
  unsigned MaxChoices_ = 2;
  /// Half-life of the reported number of other VMs' calls.
  Duration ReportHalfLife_ = Duration::millis(400);
  Duration MinBackOff_ = Duration::millis(500); ///< doubles with each failure
  Duration MaxBackOff_ = Duration::seconds(8);
  unsigned FailuresToBackOff_ = 2; ///< if a connection was made, else 1
  /// A timeout counts as a failure only if no call was answered for this long.
  /// An overloaded upstream still answers some calls, and backing off from it
  /// would overload the next one.
  Duration UnansweredToBackOff_ = Duration::seconds(2);
};

/// \class SharedGroup
/// \ingroup Steering
/// \brief The upstreams of one service.
struct SharedGroup {
  std::vector<SharedUpstream> Upstreams_;
  double WarmupRate_ = 0; ///< calls per second that a cold upstream can take
};

/// Requirements of one call.
struct KeyedRequest {
  std::string Object_;            ///< empty if the call has no affinity
  std::vector<RegionId> Regions_; ///< in order of preference
  std::set<UpstreamId> Tried_;
  Duration TimeLeft_ = Duration::seconds(60); ///< until the call's deadline
  std::set<UpstreamId> Only_ = {}; ///< that may serve the call; empty: all
};

/// \returns the hash of an object or of an upstream's id for rendezvous
/// hashing.
/// \ingroup Steering
std::uint64_t rendezvousHash(const std::string &Name);

/// \returns the weight of an upstream for an object, by weighted rendezvous
/// hashing. The upstream with the highest weight is the first choice.
/// \ingroup Steering
/// \param Object rendezvousHash() of the object
/// \param IdHash rendezvousHash() of the upstream's id
double rendezvousWeight(std::uint64_t Object, std::uint64_t IdHash,
                        unsigned Slots);

/// \returns the estimated number of calls at an upstream, of this VM and
/// others.
/// \ingroup Steering
double estimatedInFlight(const SharedUpstream &U,
                         const KeyedChoiceOptions &Options, Time Now);

/// Chooses an upstream, region by region in order of preference. Within a
/// region, the upstreams are ranked for the object by weighted rendezvous
/// hashing, and the first one with room is used. All VMs that know the same
/// upstreams rank them alike.
/// \ingroup Steering
/// \returns null if all are full, backed off or already tried
SharedUpstream *chooseShared(SharedGroup &G, const KeyedRequest &Request,
                             const KeyedChoiceOptions &Options, Time Now);

/// \returns whether an upstream could take the call once it has room.
/// \ingroup Steering
bool anyAvailable(const SharedGroup &G, const KeyedRequest &Request, Time Now);

/// \returns when an upstream that could take the call is neither paused nor
/// backed off; \p Now if there is none.
/// \ingroup Steering
Time usableFrom(const SharedGroup &G, const KeyedRequest &Request, Time Now);

/// Result of a call to a shared upstream.
struct SharedOutcome {
  bool Answered_ = false;
  bool NotConnected_ = false;
  bool Failed_ = false; ///< connection broken, response truncated or malformed
  bool TimedOut_ = false;
  std::optional<double> ReportedInFlight_; ///< all calls there, by its response
  double Pace_ = 1;           ///< stated with it; 1 if it doesn't say
  double InFlightAtSend_ = 0; ///< estimatedInFlight() before it was sent
  double Seconds_ = 0; ///< from sending to end of the response; 0 if unknown
};

/// \returns whether a load that an upstream stated is worth telling others: by
/// what was known of it, calls would be sent that have to wait, or kept away
/// from free slots.
/// \ingroup Steering
/// \param Stated running and waiting calls
bool changesChoice(const SharedUpstream &U, double Stated,
                   const KeyedChoiceOptions &Options, Time Now);

/// Records a load that an upstream stated, to this VM or to another one.
/// \ingroup Steering
void recordLoad(SharedUpstream &U, double Calls, double Pace, Time Now);

/// Counts a call as in flight. To be called when it is sent.
/// \ingroup Steering
void reserve(SharedUpstream &U, Time Now);

/// Counts a call as finished and updates the upstream's state by its result.
/// \ingroup Steering
void release(SharedUpstream &U, const SharedOutcome &Outcome,
             const KeyedChoiceOptions &Options, Time Now);

} // namespace lagoonpoint
