#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Config"
#include "lagoonpoint/src/Steering/Shares.h"
#include "lagoonpoint/src/Steering/ShiftHistory.h"

#include <compare>
#include <map>
#include <set>
#include <vector>

namespace lagoonpoint {

/// Callers of one zone that look up one service.
struct CallerGroup {
  ServiceId Service_;
  ZoneId Zone_;

  friend auto operator<=>(const CallerGroup &, const CallerGroup &) = default;
};

/// \class LookupPlan
/// \ingroup Steering
/// \brief Which entry VMs the callers of each zone are told to use.
///
/// Callers keep an answer for its TTL, so a step counts against the cap for
/// the interval and the TTL together. VMs that died are left out at once:
/// their callers go to the next VM by themselves.
struct LookupPlan {
  struct Row {
    VmShares Shares_;
    ShiftHistory History_;
  };
  std::map<CallerGroup, Row> Rows_;
};

/// Moves the weights towards the closest VMs that serve callers: those of the
/// zone, else of the region, else of the closest region. A new row starts at
/// its target. Call it at least once a second.
/// \ingroup Steering
/// \param Ready VMs known to be alive and ready to serve
void advance(LookupPlan &Plan, const Declarations &D,
             const std::set<VmId> &Ready, Time Now);

/// An entry VM in a look-up's answer.
struct EntryTarget {
  VmId Vm_;
  double Weight_ = 0;
};

/// Answers a look-up. VMs with a weight come first, in an order drawn by
/// weight so that callers who use only the first are spread too; then the
/// other ready VMs, closest first, to try when the former fail.
/// \ingroup Steering
std::vector<EntryTarget> answer(const LookupPlan &Plan, const Declarations &D,
                                const std::set<VmId> &Ready,
                                const CallerGroup &A, Random &Source);

/// A plan as one VM hands it to another that has just started.
struct LookupPlanSnapshot {
  struct Entry {
    VmId Vm_;
    double Share_ = 0;
    MSGPACK_DEFINE(Vm_, Share_)
  };
  struct Row {
    ServiceId Service_;
    ZoneId Zone_;
    std::vector<Entry> Entries_;
    ShiftHistorySnapshot History_;
    MSGPACK_DEFINE(Service_, Zone_, Entries_, History_)
  };
  std::vector<Row> Rows_;
  MSGPACK_DEFINE(Rows_)
};

LookupPlanSnapshot snapshotOf(const LookupPlan &Plan, Time Now);

/// \throws Error if the shares of a row don't sum to 1 or are negative
LookupPlan restorePlan(const LookupPlanSnapshot &Copy, Time Now);

} // namespace lagoonpoint
