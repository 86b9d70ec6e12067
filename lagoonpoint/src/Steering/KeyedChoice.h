#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonpoint {

/// \class SharedUpstream
/// \ingroup Steering
/// \brief One upstream that many entry VMs send to, as this VM sees it.
struct SharedUpstream {
  UpstreamId Id_;
  std::uint64_t IdHash_ = 0; ///< of Id_ among hashed objects: rendezvousHash()
  std::uint64_t BornAt_ = 0; ///< Unix milliseconds; tells restarts apart
  Address Address_;
  ZoneId Zone_;
  RegionId Region_;
  unsigned Slots_ = 1;
  bool Available_ = true; ///< serves, and its zone isn't drained
  bool Silent_ = false;   ///< announces no more
  Time ColdUntil_;
  bool IsWarmedHere_ = false; ///< only this VM sends to it while it is cold

  double ServiceSeconds_ = 0; ///< smoothed time of one run; 0: not known yet
  unsigned InFlight_ = 0;     ///< sent by this VM and not ended
  double OthersInFlight_ = 0; ///< requests of other VMs there, when last told
  Time OthersReportedAt_;     ///< when OthersInFlight_ was told
  Time UnansweredSince_;      ///< first request sent since the last answer
  Time BackOffUntil_;         ///< not tried before, after failures
  unsigned ConsecutiveFailures_ = 0; ///< in a row
  Time LastColdSendAt_;              ///< last request sent while it was cold
};

/// Tunes the choice among shared upstreams.
struct KeyedChoiceOptions {
  /// Requests beyond its slots that an upstream may hold before a call goes to
  /// the next one; a warm run is shorter than a cold one elsewhere.
  double FirstChoiceQueue_ = 5;
  /// Part of the time left that a wait and a run may be expected to take.
  double MaxTimeFraction_ = 0.9;
  double ServiceTimeGain_ =
      0.2; ///< weight of the newest run in the smoothed time
  /// The same for upstreams that are not the object's first choice.
  double OtherChoiceQueue_ = 0;
  /// Upstreams that an object may be sent to while they are open: each one
  /// more is one more cold run, which overload can't afford.
  unsigned MaxChoices_ = 2;
  /// What other VMs were told to have there halves in this time.
  Duration ReportHalfLife_ = Duration::millis(400);
  Duration MinBackOff_ = Duration::millis(500); ///< after a failure; doubles
  Duration MaxBackOff_ = Duration::seconds(8);
  unsigned FailuresToBackOff_ = 2; ///< after a connection was made
  /// A timeout is no failure while other requests are answered: an upstream
  /// that is overloaded is not gone, and pausing it overloads the next one.
  Duration UnansweredToBackOff_ = Duration::seconds(2);
};

/// \class SharedGroup
/// \ingroup Steering
/// \brief The upstreams of one service.
struct SharedGroup {
  std::vector<SharedUpstream> Upstreams_;
  double ColdRate_ = 0; ///< requests a second that a cold upstream bears
};

/// What one call asks of the choice.
struct KeyedRequest {
  std::string Object_;            ///< empty: any upstream is as good
  std::vector<RegionId> Regions_; ///< in order of preference
  std::set<UpstreamId> Tried_;
  Duration TimeLeft_ = Duration::seconds(60); ///< until the call's deadline
};

/// \returns where rendezvous hashing puts an object or an upstream's id.
/// \ingroup Steering
std::uint64_t rendezvousHash(const std::string &Name);

/// \returns requests that an upstream is thought to hold now.
/// \ingroup Steering
double estimatedInFlight(const SharedUpstream &U,
                         const KeyedChoiceOptions &Options, Time Now);

/// Chooses an upstream: the object's first one by weighted rendezvous hashing
/// in the first region while it has room, then its next one. All VMs that know
/// the same upstreams choose alike.
/// \ingroup Steering
/// \returns null if all are full, down or tried
SharedUpstream *chooseShared(SharedGroup &G, const KeyedRequest &Request,
                             const KeyedChoiceOptions &Options, Time Now);

/// \returns true if some upstream could take the call once it has room.
/// \ingroup Steering
bool anyAvailable(const SharedGroup &G, const KeyedRequest &Request, Time Now);

/// How a request to a shared upstream ended.
struct SharedOutcome {
  bool Answered_ = false;
  bool NotConnected_ = false;
  bool Failed_ = false; ///< connection broken, or answer cut or malformed
  bool TimedOut_ = false;
  std::optional<double>
      ReportedInFlight_;      ///< requests there, as its answer told
  double InFlightAtSend_ = 0; ///< load that it was sent behind
  double Seconds_ = 0;        ///< from sending to the end of the answer
};

/// Notes that a request is being sent.
/// \ingroup Steering
void reserve(SharedUpstream &U, Time Now);

/// Takes in how a request ended.
/// \ingroup Steering
void release(SharedUpstream &U, const SharedOutcome &Outcome,
             const KeyedChoiceOptions &Options, Time Now);

} // namespace lagoonpoint
