#pragma once

#include "lagoonpoint/src/Steering/Upstream.h"

#include <set>
#include <vector>

namespace lagoonpoint {

/// What governs the choice among the upstreams of one service.
struct ChoiceOptions {
  Duration SlowStart_ = Duration::seconds(30);
  /// A report counts in full up to this age ...
  Duration ReportFreshFor_ = Duration::seconds(2);
  /// ... and not at all from this age on.
  Duration ReportStaleAfter_ = Duration::seconds(10);
  /// Load assumed where no report says better.
  double DefaultLoad_ = 0.7;
  /// Half of what was observed of latency and failures fades in this time, so
  /// that one which did badly is tried again.
  Duration HalfLife_ = Duration::seconds(5);
  /// Part of the upstreams that may be ejected at a time.
  double MaxEjectedFraction_ = 0.5;
  /// Failures in a row that eject.
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

/// What an upstream says of itself.
struct UpstreamAnnouncement {
  UpstreamId Id_;
  ZoneId Zone_;
  Address Address_;
  unsigned Slots_ = 0;
  unsigned Connections_ = 0;
  std::optional<double> Load_;
  Duration LoadAge_; ///< since the upstream reported it
  bool Leaving_ = false;
  Duration Lease_;
};

/// Takes in an announcement. A new upstream, or one that comes back after its
/// lease ended, begins its slow start. A leaving one gets no new work from now
/// on, also if an announcement that is older arrives late.
/// \ingroup Steering
/// \param AssignedSlots this VM's part of its slots, see divideSlots()
void applyAnnouncement(UpstreamGroup &G, const UpstreamAnnouncement &News,
                       unsigned AssignedSlots, Time Now);

/// Forgets upstreams whose lease has ended and that run nothing for this VM.
/// \ingroup Steering
void forgetExpired(UpstreamGroup &G, Time Now);

/// Divides an upstream's slots over the entry VMs of its zone: evenly, and the
/// rest to VMs that the upstream's id picks. Equal on every VM that is given
/// the same VMs; the parts sum to \p Slots.
/// \ingroup Steering
unsigned divideSlots(const UpstreamId &Id, unsigned Slots,
                     const std::set<VmId> &Vms, const VmId &Self);

/// What is known of the call that is to be placed.
struct Placement {
  ZoneId Zone_;                   ///< preferred; others are used if it is full
  std::set<UpstreamId> Excluded_; ///< tried before
  bool MayProbe_ = true;          ///< false for calls that must not run twice
};

/// Picks an upstream with a free slot by the power of two choices and counts
/// the call as in flight there. The smaller expected wait wins: own latency
/// and calls in flight, the report as far as it can be trusted, slow start
/// and own failures.
/// \ingroup Steering
/// \returns null if every upstream is full, failing, leaving or excluded
Upstream *place(UpstreamGroup &G, const Placement &P, Time Now, Random &Source);

/// Takes a call out of flight and learns from how it ended.
/// \ingroup Steering
/// \param Spent from dispatch to the end
void finish(UpstreamGroup &G, const UpstreamId &Id, UpstreamOutcome Outcome,
            Duration Spent, Time Now);

/// \returns whether some call could be placed now.
/// \ingroup Steering
bool hasFreeSlot(const UpstreamGroup &G, Time Now);

/// \returns the slots this VM holds at upstreams that take work, free or not.
/// \ingroup Steering
double assignedSlots(const UpstreamGroup &G, Time Now);

/// \returns the load to reckon with: the report, drawn towards DefaultLoad_ as
/// it grows old, and never below what this VM itself has there.
/// \ingroup Steering
double estimatedLoad(const Upstream &U, const ChoiceOptions &Options, Time Now);

/// \returns the part of its slots that a warming upstream is given, 0 to 1.
/// \ingroup Steering
double slowStartFactor(const Upstream &U, const ChoiceOptions &Options,
                       Time Now);

} // namespace lagoonpoint
