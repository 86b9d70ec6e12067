#pragma once

#include "lagoonpoint/Core"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lagoonpoint {

/// One attempt of a call that needs a slot at an upstream.
struct SlotDemand {
  VmId From_;                ///< entry VM that handles the call
  std::uint64_t Number_ = 0; ///< of its request
  std::string Route_;
  std::string Object_; ///< empty if the call has no affinity
  TeamId Team_;
  unsigned Priority_ = 0; ///< 0 is the highest
  Time ObjectiveAt_;      ///< end of the latency objective
  Time Deadline_;
  /// Until then the caller waits for an answer to this or a further request; if
  /// unset, until Deadline_. It is the same for a request and its retry.
  Time CallerDeadline_;
  bool IsRetry_ = false;    ///< the caller was refused before
  bool IsReserved_ = false; ///< a retry for which a slot is held back
  std::set<UpstreamId> Excluded_;
  Time QueuedAt_;        ///< set by enqueue()
  Duration Run_;         ///< expected run time
  Duration ShortestRun_; ///< run time that few runs undercut
};

/// Class in the order of service: whether the call is overdue, and its
/// priority.
using ServiceClass = std::pair<bool, unsigned>;

/// Slots of the pool that a queue belongs to.
struct SlotSupply {
  double Slots_ = 0; ///< all usable slots
  double Free_ = 0;  ///< not in use
  /// Fraction of the slots that calls of each class used lately.
  std::map<ServiceClass, double> Use_;
  /// Fraction of the slots' time that may be reserved for retries.
  double ReservedShare_ = 0;
};

/// \class SlotQueue
/// \ingroup Admission
/// \brief Calls that wait for a slot of one pool.
///
/// Calls that can still meet their objective come first, then overdue ones.
/// Within each of the two, the order is by priority, then retries before first
/// requests, then by deadline. While calls of a priority wait, it gets at least
/// one grant in LowestShare, so that a lasting surplus of more urgent calls
/// does not starve it.
struct SlotQueue {
  static constexpr unsigned LowestShare = 8;

  std::vector<SlotDemand> Waiting_;
  /// Grants to other priorities since the last one to this priority, for
  /// priorities with waiting calls.
  std::map<unsigned, unsigned> Passed_;
};

/// \returns SlotDemand::CallerDeadline_, or Deadline_ if it is unset.
/// \ingroup Admission
Time callerDeadline(const SlotDemand &D);

/// \returns whether a call that starts now is unlikely to meet its objective.
/// \ingroup Admission
bool isOverdue(const SlotDemand &D, Time Now);

/// \ingroup Admission
void enqueue(SlotQueue &Q, SlotDemand D, Time Now);

/// Removes a waiting call.
/// \ingroup Admission
/// \returns whether it was waiting
bool cancel(SlotQueue &Q, const VmId &From, std::uint64_t Number);

/// \returns indices into SlotQueue::Waiting_, in the order in which the calls
/// should get slots now.
/// \ingroup Admission
std::vector<std::size_t> serviceOrder(const SlotQueue &Q, Time Now);

/// Records a grant to a call that was waiting or has just asked.
/// \ingroup Admission
void recordGrant(SlotQueue &Q, unsigned Priority);

/// Estimates how long a call would wait. It waits behind the calls that
/// precede it, and also behind those of preceding classes that are still to
/// come: these are taken to use as many slots as lately. A call that would
/// become overdue meanwhile is estimated as an overdue one.
/// \ingroup Admission
Duration expectedWait(const SlotQueue &Q, const SlotDemand &D,
                      const SlotSupply &Supply, Time Now);

/// \returns whether a call that waits for \p Wait is expected to complete
/// before its deadline.
/// \ingroup Admission
bool hasChance(const SlotDemand &D, Duration Wait, Time Now);

/// \returns whether a call can no longer complete before its deadline.
/// \ingroup Admission
bool isHopeless(const SlotDemand &D, Time Now);

/// Removes and returns the calls that can no longer complete in time.
/// \ingroup Admission
std::vector<SlotDemand> takeHopeless(SlotQueue &Q, Time Now);

} // namespace lagoonpoint
