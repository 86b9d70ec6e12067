#pragma once

#include "lagoonpoint/Admission"
#include "lagoonpoint/Core"
#include "lagoonpoint/src/Placement/RunTime.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoonpoint {

/// An upstream of a pool, as announced.
struct PoolUpstream {
  UpstreamId Id_;
  std::uint64_t IdHash_ = 0;      ///< rendezvousHash() of Id_
  std::uint64_t StartedAtMs_ = 0; ///< Unix milliseconds; distinguishes restarts
  unsigned Slots_ = 1;
  bool Usable_ = true; ///< serving, its zone not drained, announcements heard
  Time WarmupEndsAt_;
};

/// Parameters of a pool.
struct SlotPoolOptions {
  RetryReservationOptions Reservations_;
  /// Half-life of the calls of others that an upstream stated.
  Duration StatedLoadHalfLife_ = Duration::millis(400);
  /// Fraction of the slots in use above which cold runs are avoided: they take
  /// capacity from the calls that wait.
  double BusyFraction_ = 0.7;
  /// Fraction of the slots in use below which an object may be run at a second
  /// upstream to warm it.
  double SpareFraction_ = 0.6;
  /// An upstream that was granted nothing for this long gets a call.
  Duration MaxIdle_ = Duration::seconds(2);
  /// An upstream that states a limit, a pause or that it leaves is left out for
  /// this long.
  Duration HeldPeriod_ = Duration::seconds(2);
  Duration MinBackOff_ = Duration::millis(500); ///< doubles with each failure
  Duration MaxBackOff_ = Duration::seconds(8);
  /// A grant that is not released ends this long after the call's deadline.
  Duration GrantGrace_ = Duration::seconds(1);
};

/// How a granted run ended.
enum class RunResult {
  Answered,
  Failed,       ///< answered with a server error
  Shed,         ///< the upstream did not run it
  NotConnected, ///< no connection could be established
  Broken,       ///< connection broken, response truncated or malformed
  TimedOut,
  Unused, ///< the slot was not used: the caller left, or the VM's own state
          ///< forbids the upstream
};

/// An entry VM's report on a granted run.
struct RunReport {
  RunResult Result_ = RunResult::Answered;
  Duration Run_; ///< from sending the request to the end of the response
  std::optional<double> Load_; ///< running and waiting calls that it stated
  double Pace_ = 0;            ///< stated pace, 1 as usual; 0 if absent
  bool Held_ = false; ///< it stated a limit or a pause, or that it leaves
};

/// Answer to a request for a slot.
enum class SlotResult {
  Granted,
  Queued,    ///< a further answer follows
  Refused,   ///< no slot will be free in time
  NotHolder, ///< the VM does not hold the pool
};

struct SlotAnswer {
  VmId To_;
  std::uint64_t Number_ = 0; ///< of the request
  SlotResult Result_ = SlotResult::Granted;
  UpstreamId Upstream_;           ///< if granted
  std::uint64_t StartedAtMs_ = 0; ///< of the granted upstream
  Duration ExpectedRun_;          ///< if granted: at usual pace
  Duration RunLimit_;   ///< if granted: longer runs are unusual; 0 if unknown
  Duration RetryAfter_; ///< if refused
  Duration Wait_;       ///< spent in the queue, or expected
  bool Overdue_ = false;
};

/// State of one upstream in its pool.
struct PoolMember {
  PoolUpstream Upstream_;
  UpstreamSpeed Speed_;
  RecentObjects Recent_;
  std::vector<Time> ExpectedEnds_; ///< of the grants in flight
  double Others_ = 0;              ///< calls of others, as last stated
  Time OthersStatedAt_;
  Time HeldUntil_;
  Time BackOffUntil_;
  unsigned ConsecutiveFailures_ = 0;
  unsigned ConsecutiveTimeouts_ = 0; ///< without an answer in between
  Time LastGrantAt_;
};

/// A slot in use.
struct SlotGrant {
  UpstreamId Upstream_;
  std::uint64_t StartedAtMs_ = 0; ///< of the upstream
  std::string Route_;
  std::uint64_t Object_ = 0; ///< its hash
  ReuseDistance Distance_ = ReuseDistance::Never;
  double PaceAtStart_ = 1;
  Time GrantedAt_;
  Time ExpectedEnd_;
  Duration ExpectedRun_;         ///< at usual pace
  Time EndsAt_;                  ///< it is given up then
  ServiceClass Class_{false, 0}; ///< of the call when it was granted
};

/// \class SlotPool
/// \ingroup Placement
/// \brief Grants the slots of some upstreams of one service to the entry VMs of
/// a region.
///
/// Since all calls at these upstreams go through the pool, it knows which
/// slots are free and which objects are warm where. Calls that others place
/// there show in the load that upstreams state.
struct SlotPool {
  SlotPoolOptions Options_;
  std::vector<PoolMember> Members_; ///< sorted by id
  std::map<std::pair<VmId, std::uint64_t>, SlotGrant> Grants_;
  RunTimeModel Runs_;
  SlotQueue Queue_;
  RetryReservations Reservations_;
  double WarmupRate_ = 0; ///< calls per second that a cold upstream can take
  /// Fraction of the slots that calls of each class used lately.
  std::map<ServiceClass, double> Use_;
  Time UseUpdatedAt_;
  /// Time that a run takes up a slot, relative to a usual warm run. Cold, slow
  /// and long runs and messages add to it. Smoothed.
  double SlotTimeFactor_ = 1;
};

/// Replaces the upstreams. State of those that stay is kept, unless they were
/// restarted.
/// \ingroup Placement
/// \returns answers to waiting calls that can now be served
std::vector<SlotAnswer> setMembers(SlotPool &P,
                                   const std::vector<PoolUpstream> &Upstreams,
                                   double WarmupRate, Time Now);

/// Grants a slot, queues the call, or refuses it if it can't be served before
/// its deadline. A repeated request is answered as the first one.
/// \ingroup Placement
/// \returns answers to this and other calls; none is sent twice
std::vector<SlotAnswer> requestSlot(SlotPool &P, SlotDemand D, Time Now);

/// Ends a grant or a wait, and serves waiting calls.
/// \ingroup Placement
std::vector<SlotAnswer> releaseSlot(SlotPool &P, const VmId &From,
                                    std::uint64_t Number, const RunReport &R,
                                    Time Now);

/// Ends the grants and waits of VMs that are not live and grants that were not
/// released, and serves waiting calls. Called regularly.
/// \ingroup Placement
std::vector<SlotAnswer> expireSlots(SlotPool &P, const std::set<VmId> &LiveVms,
                                    Time Now);

/// Slots of a pool for logs and metrics.
struct SlotPoolUse {
  double Slots_ = 0;
  double InUse_ = 0;
  std::size_t Waiting_ = 0;
  std::size_t Reserved_ = 0;
};

/// \ingroup Placement
SlotPoolUse useOf(const SlotPool &P, Time Now);

} // namespace lagoonpoint
