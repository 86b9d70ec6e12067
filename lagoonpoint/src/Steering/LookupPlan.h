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

/// The callers of one zone that look up one service.
struct CallerGroup {
  ServiceId Service_;
  ZoneId Zone_;

  friend auto operator<=>(const CallerGroup &, const CallerGroup &) = default;
};

/// \class LookupPlan
/// \ingroup Steering
/// \brief Weights of the entry VMs in look-up responses, by service and zone.
///
/// Callers cache a response for its TTL, so a step counts against the cap for
/// the shift interval plus the TTL. Failed VMs are left out at once, as their
/// callers fail over to the next VM by themselves.
struct LookupPlan {
  struct Row {
    VmShares Shares_;
    ShiftHistory History_;
  };
  std::map<CallerGroup, Row> Rows_;
};

/// Moves the weights towards the closest VMs that serve callers: those of the
/// zone, or else of the region, or else of the closest region. A new row starts
/// at its target. Call it at least once per second.
/// \ingroup Steering
/// \param Ready VMs known to be alive and ready to serve
void advance(LookupPlan &Plan, const Declarations &D,
             const std::set<VmId> &Ready, Time Now);

/// An entry VM in a look-up response.
struct EntryTarget {
  VmId Vm_;
  double Weight_ = 0;
};

/// Answers a look-up. VMs with a weight come first, in random order by weight,
/// so that callers which use only the first entry are balanced too. The other
/// ready VMs follow as fallbacks, closest first.
/// \ingroup Steering
std::vector<EntryTarget> answer(const LookupPlan &Plan, const Declarations &D,
                                const std::set<VmId> &Ready,
                                const CallerGroup &A, Random &Source);

/// A plan as sent to a VM that has just started.
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

/// \throws Error if the shares of a row are negative or do not sum to 1
LookupPlan restorePlan(const LookupPlanSnapshot &Snapshot, Time Now);

} // namespace lagoonpoint
