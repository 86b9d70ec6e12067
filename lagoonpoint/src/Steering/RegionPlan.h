#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Config"
#include "lagoonpoint/src/Steering/RegionTargets.h"
#include "lagoonpoint/src/Steering/ShiftHistory.h"

#include <map>
#include <optional>
#include <vector>

namespace lagoonpoint {

/// \class RegionPlan
/// \ingroup Steering
/// \brief Where a VM sends each flow, in shares by region.
///
/// The origin of a call is the region of its caller's block, whichever VM the
/// call enters by. Each VM moves at most the profile's cap of each flow per
/// interval. The fleet then moves at most the cap of each service's traffic,
/// since that is a mean of such parts, weighted by traffic; no VM needs to
/// know of the others for it.
///
/// A flow that this VM doesn't carry follows the VMs that do, see hear(), and
/// stays as it is while they may be out of contact: callers who then come over
/// find it where they left.
struct RegionPlan {
  struct Row {
    RegionShares Shares_;
    ShiftHistory History_;
    std::optional<Time> FollowedAt_; ///< when it last followed another VM
  };
  std::map<Flow, Row> Rows_;
};

/// Moves every flow towards its target by what the cap allows, emptying first
/// the regions that can't serve. A flow that is new starts at its declared
/// target. Call it at least once a second.
/// \ingroup Steering
void advance(RegionPlan &Plan, const Declarations &D, const SteeringView &View,
             Time Now);

/// A plan as a VM sends it to the others every PlanInterval, and on request to
/// one that has just started.
struct RegionPlanSnapshot {
  struct Entry {
    RegionId Region_;
    double Share_ = 0;
    MSGPACK_DEFINE(Region_, Share_)
  };
  struct Row {
    ServiceId Service_;
    RegionId Origin_;
    std::vector<Entry> Entries_;
    ShiftHistorySnapshot History_;
    double Rate_ = 0; ///< requests a second that the sender carries
    MSGPACK_DEFINE(Service_, Origin_, Entries_, History_, Rate_)
  };
  std::vector<Row> Rows_;
  MSGPACK_DEFINE(Rows_)
};

/// How often VMs tell each other their plans.
inline constexpr Duration PlanInterval = Duration::seconds(5);

RegionPlanSnapshot snapshotOf(const RegionPlan &Plan, const SteeringView &View,
                              Time Now);

/// Takes over another VM's plan before the first advance(), so that the calls
/// which return to a restarted VM go where they went by the others.
/// \ingroup Steering
/// \throws Error if the shares of a row don't sum to 1 or are negative
RegionPlan restorePlan(const RegionPlanSnapshot &Copy, Time Now);

/// Takes over the rows that the sender carries and this VM does not.
/// \ingroup Steering
/// \throws Error as restorePlan(); nothing is changed then
void applyPeerUpdate(RegionPlan &Plan, const RegionPlanSnapshot &Copy,
                     const SteeringView &View, Time Now);

} // namespace lagoonpoint
