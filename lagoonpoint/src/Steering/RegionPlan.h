#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Config"
#include "lagoonpoint/src/Steering/RegionTargets.h"
#include "lagoonpoint/src/Steering/ShiftLedger.h"

#include <map>
#include <vector>

namespace lagoonpoint {

/// \class RegionPlan
/// \ingroup Steering
/// \brief Where a VM sends each flow, in shares by region.
///
/// The origin of a call is the region of its caller's block, whichever VM the
/// call enters by, so callers that change their VM move no traffic between
/// serving regions. Each VM moves at most the profile's cap of each flow per
/// interval. The fleet then moves at most the cap of each service's traffic,
/// since that is a mean of such parts, weighted by traffic; no VM needs to
/// know of the others for it.
struct RegionPlan {
  struct Row {
    RegionShares Shares_;
    ShiftLedger Ledger_;
  };
  std::map<Flow, Row> Rows_;
};

/// Moves every flow towards its target by what the cap allows, emptying first
/// the regions that can't serve. A flow that is new starts at its declared
/// target. Call it at least once a second.
/// \ingroup Steering
void advance(RegionPlan &Plan, const Declarations &D, const SteeringView &View,
             Time Now);

/// A plan as one VM hands it to another that has just started.
struct PlanCopy {
  struct Part {
    RegionId Region_;
    double Share_ = 0;
    MSGPACK_DEFINE(Region_, Share_)
  };
  struct Row {
    ServiceId Service_;
    RegionId Origin_;
    std::vector<Part> Parts_;
    LedgerCopy Ledger_;
    MSGPACK_DEFINE(Service_, Origin_, Parts_, Ledger_)
  };
  std::vector<Row> Rows_;
  MSGPACK_DEFINE(Rows_)
};

PlanCopy copyOf(const RegionPlan &Plan, Time Now);

/// Takes over another VM's plan before the first advance(), so that the calls
/// which return to a restarted VM go where they went by the others.
/// \ingroup Steering
/// \throws Error if the shares of a row don't sum to 1 or are negative
RegionPlan planOf(const PlanCopy &Copy, Time Now);

} // namespace lagoonpoint
