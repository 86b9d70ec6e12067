#pragma once

#include "lagoonpoint/src/Steering/Upstream.h"

#include <set>
#include <vector>

namespace lagoonpoint {

/// Parameters of the choice among the upstreams of one service.
struct ChoiceOptions {
  Duration SlowStart_ = Duration::seconds(30);
  /// A load report is fully trusted up to this age ...
  Duration ReportFreshFor_ = Duration::seconds(2);
  /// ... and not trusted at all from this age on.
  Duration ReportStaleAfter_ = Duration::seconds(10);
  /// Load assumed without a trusted report.
  double DefaultLoad_ = 0.7;
  /// Half-life of observed latency and failures, so that an upstream that
  /// performed badly is tried again.
  Duration HalfLife_ = Duration::seconds(5);
  /// Fraction of the upstreams that may be ejected or probing at the same time,
  /// so that bad measurements cannot leave a service without upstreams.
  double MaxEjectedFraction_ = 0.5;
  /// Consecutive failures after which an upstream is ejected.
  unsigned FailuresToEject_ = 3;
  Duration MinEjection_ = Duration::seconds(2);
  Duration MaxEjection_ = Duration::seconds(30);
};

/// \class UpstreamGroup
/// \ingroup Steering
/// \brief The upstreams of one service that this VM may use.
struct UpstreamGroup {
  ChoiceOptions Options_;
  std::vector<Upstream> Upstreams_;
};

/// An announcement of an upstream.
struct UpstreamAnnouncement {
  UpstreamId Id_;
  ZoneId Zone_;
  Address Address_;
  unsigned Slots_ = 0;
  unsigned Connections_ = 0;
  std::optional<double> Load_;
  Duration LoadAge_; ///< time since the upstream reported Load_
  bool Leaving_ = false;
  Duration Lease_;
};

/// Applies an announcement. An upstream that is new, or that returns after its
/// lease has ended, begins its slow start. A leaving upstream gets no new calls
/// from now on, even if an older announcement arrives late.
/// \ingroup Steering
/// \param AssignedSlots this VM's share of the slots, see divideSlots()
void applyAnnouncement(UpstreamGroup &G, const UpstreamAnnouncement &Announced,
                       unsigned AssignedSlots, Time Now);

/// Removes upstreams whose lease has ended and that run no call of this VM.
/// \ingroup Steering
void forgetExpired(UpstreamGroup &G, Time Now);

/// Divides an upstream's slots evenly over the entry VMs of its zone. The
/// remainder goes to VMs selected by a hash with the upstream's id. All VMs
/// that pass the same \p Vms compute the same division, which sums to \p Slots.
/// \returns the number of slots of \p Self
/// \ingroup Steering
unsigned divideSlots(const UpstreamId &Id, unsigned Slots,
                     const std::set<VmId> &Vms, const VmId &Self);

/// Requirements of a call that is to be placed.
struct Placement {
  ZoneId Zone_;                   ///< preferred; others are used if it is full
  std::set<UpstreamId> Excluded_; ///< already tried
  bool MayProbe_ = true;          ///< false for calls that must not run twice
};

/// Picks an upstream with a free slot by the power of two choices and counts
/// the call as in flight there. Of the two, the one with the lower expected
/// wait is used, which depends on the observed latency and failures, the calls
/// in flight, the reported load weighted by its age, and the slow start.
/// \ingroup Steering
/// \returns null if every upstream is full, ejected, leaving or excluded
Upstream *place(UpstreamGroup &G, const Placement &P, Time Now, Random &Source);

/// Counts a call as finished and updates the upstream's health by its outcome.
/// \ingroup Steering
/// \param Spent time from dispatch to the end of the call
void finish(UpstreamGroup &G, const UpstreamId &Id, UpstreamOutcome Outcome,
            Duration Spent, Time Now);

/// \returns whether a call could be placed now.
/// \ingroup Steering
bool hasFreeSlot(const UpstreamGroup &G, Time Now);

/// \returns the slots assigned to this VM at upstreams that accept calls, free
/// or in use.
/// \ingroup Steering
double assignedSlots(const UpstreamGroup &G, Time Now);

/// \returns the estimated load, 0 to 1: the reported load, which moves up
/// towards DefaultLoad_ as the report ages, but at least the load caused by
/// this VM.
/// \ingroup Steering
double estimatedLoad(const Upstream &U, const ChoiceOptions &Options, Time Now);

/// \returns the fraction of its slots that an upstream in slow start may use; 1
/// after it.
/// \ingroup Steering
double slowStartFactor(const Upstream &U, const ChoiceOptions &Options,
                       Time Now);

} // namespace lagoonpoint
