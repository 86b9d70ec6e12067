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
/// \brief Shares of the regions to which a VM sends each flow.
///
/// The origin of a call is the region of its caller's block, whichever VM the
/// call enters by. Each VM moves at most the profile's cap of each flow per
/// interval. The fleet then moves at most the cap of each service's traffic,
/// because that is the traffic-weighted mean of what the VMs move. The VMs need
/// no coordination for it.
///
/// A flow that this VM does not carry, that is, does not receive from callers,
/// follows the VMs that do, see applyPeerUpdate(). It is left unchanged while
/// such VMs may be out of contact, so that callers who fail over to this VM are
/// served as before.
struct RegionPlan {
  struct Row {
    RegionShares Shares_;
    ShiftHistory History_;
    std::optional<Time> FollowedAt_; ///< when it was last taken from another VM
  };
  std::map<Flow, Row> Rows_;
};

/// Moves every flow towards its target as far as the cap allows, draining first
/// the regions that cannot serve. A new flow starts at its declared target.
/// Call it at least once per second.
/// \ingroup Steering
void advance(RegionPlan &Plan, const Declarations &D, const SteeringView &View,
             Time Now);

/// A plan as sent to the other VMs every PlanInterval, and on request to a VM
/// that has just started.
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
    double Rate_ = 0; ///< requests per second that the sender carries
    MSGPACK_DEFINE(Service_, Origin_, Entries_, History_, Rate_)
  };
  std::vector<Row> Rows_;
  MSGPACK_DEFINE(Rows_)
};

/// Interval at which VMs exchange their plans.
inline constexpr Duration PlanInterval = Duration::seconds(5);

RegionPlanSnapshot snapshotOf(const RegionPlan &Plan, const SteeringView &View,
                              Time Now);

/// Restores a plan from another VM, to be done before the first advance().
/// Calls that return to a restarted VM are then sent as the other VMs sent
/// them.
/// \ingroup Steering
/// \throws Error if the shares of a row are negative or do not sum to 1
RegionPlan restorePlan(const RegionPlanSnapshot &Snapshot, Time Now);

/// Adopts the rows of flows that the sender carries and this VM does not.
/// \ingroup Steering
/// \throws Error as restorePlan(); nothing is changed then
void applyPeerUpdate(RegionPlan &Plan, const RegionPlanSnapshot &Snapshot,
                     const SteeringView &View, Time Now);

} // namespace lagoonpoint
