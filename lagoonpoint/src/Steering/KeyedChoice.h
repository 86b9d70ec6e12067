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
  std::uint64_t Place_ = 0;  ///< of Id_ among hashed objects: placeOf()
  std::uint64_t BornAt_ = 0; ///< Unix milliseconds; tells restarts apart
  Address Address_;
  ZoneId Zone_;
  RegionId Region_;
  unsigned Slots_ = 1;
  bool Open_ = true;    ///< serves, and its zone isn't drained
  bool Silent_ = false; ///< announces no more
  Time ColdUntil_;
  bool Warmer_ = false; ///< only this VM sends to it while it is cold

  double RunSeconds_ = 0; ///< smoothed time of one run; 0: not known yet
  unsigned InFlight_ = 0; ///< sent by this VM and not ended
  double Others_ = 0;     ///< requests of other VMs there, when last told
  Time ToldAt_;           ///< when Others_ was told
  Time UnansweredSince_;  ///< first request sent since the last answer
  Time DownUntil_;        ///< not tried before, after failures
  unsigned Failures_ = 0; ///< in a row
  Time ColdSentAt_;       ///< last request sent while it was cold
};

/// Tunes the choice among shared upstreams.
struct KeyedRules {
  /// Requests beyond its slots that an upstream may hold before a call goes to
  /// the next one; a warm run is shorter than a cold one elsewhere.
  double QueuedAtFirst_ = 5;
  /// Part of the time left that a wait and a run may be expected to take.
  double TimeUsed_ = 0.9;
  double RunGain_ = 0.2; ///< weight of the newest run in the smoothed time
  /// The same for upstreams that are not the object's first choice.
  double QueuedElsewhere_ = 0;
  /// Upstreams that an object may be sent to while they are open: each one
  /// more is one more cold run, which overload can't afford.
  unsigned Choices_ = 2;
  /// What other VMs were told to have there halves in this time.
  Duration ToldHalfLife_ = Duration::millis(400);
  Duration FirstPause_ = Duration::millis(500); ///< after a failure; doubles
  Duration LongestPause_ = Duration::seconds(8);
  unsigned FailuresToPause_ = 2; ///< after a connection was made
  /// A timeout is no failure while other requests are answered: an upstream
  /// that is overloaded is not gone, and pausing it overloads the next one.
  Duration UnansweredToPause_ = Duration::seconds(2);
};

/// \class SharedGroup
/// \ingroup Steering
/// \brief The upstreams of one service.
struct SharedGroup {
  std::vector<SharedUpstream> Upstreams_;
  double ColdRate_ = 0; ///< requests a second that a cold upstream bears
};

/// What one call asks of the choice.
struct KeyedWish {
  std::string Object_;            ///< empty: any upstream is as good
  std::vector<RegionId> Regions_; ///< in order of preference
  std::set<UpstreamId> Tried_;
  Duration Left_ = Duration::seconds(60); ///< until the call's deadline
};

/// \returns where rendezvous hashing puts an object or an upstream's id.
/// \ingroup Steering
std::uint64_t placeOf(const std::string &Name);

/// \returns requests that an upstream is thought to hold now.
/// \ingroup Steering
double expectedLoad(const SharedUpstream &U, const KeyedRules &Rules, Time Now);

/// Chooses an upstream: the object's first one by weighted rendezvous hashing
/// in the first region while it has room, then its next one. All VMs that know
/// the same upstreams choose alike.
/// \ingroup Steering
/// \returns null if all are full, down or tried
SharedUpstream *chooseShared(SharedGroup &G, const KeyedWish &Wish,
                             const KeyedRules &Rules, Time Now);

/// \returns true if some upstream could take the call once it has room.
/// \ingroup Steering
bool anyOpen(const SharedGroup &G, const KeyedWish &Wish, Time Now);

/// How a request to a shared upstream ended.
struct SharedEnd {
  bool Answered_ = false;
  bool NotConnected_ = false;
  bool Failed_ = false; ///< connection broken, or answer cut or malformed
  bool TimedOut_ = false;
  std::optional<double> Held_; ///< requests there, as its answer told
  double Behind_ = 0;          ///< load that it was sent behind
  double Seconds_ = 0;         ///< from sending to the end of the answer
};

/// Notes that a request is being sent.
/// \ingroup Steering
void reserve(SharedUpstream &U, Time Now);

/// Takes in how a request ended.
/// \ingroup Steering
void release(SharedUpstream &U, const SharedEnd &End, const KeyedRules &Rules,
             Time Now);

} // namespace lagoonpoint
