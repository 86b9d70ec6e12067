#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Steering/BlockTable.h"
#include "lagoonpoint/src/Steering/RegionTargets.h"

#include <limits>
#include <map>
#include <optional>

namespace lagoonpoint {

/// \returns the zone whose callers a client counts among: that of its block,
/// else one that its address picks. It does not depend on the VM that the
/// client talks to, so that a client which changes its VM moves no traffic.
/// \ingroup Steering
ZoneId homeZoneOf(const BlockTable &Table, const Declarations &D,
                  const std::string &ClientAddress);

/// What this VM has at hand for calls to one region. Parts that nothing limits
/// are infinite.
struct RegionCredit {
  static constexpr double Unlimited = std::numeric_limits<double>::infinity();
  double Requests_ = Unlimited;  ///< granted by the region
  double BytesTo_ = Unlimited;   ///< over the link to it
  double BytesFrom_ = Unlimited; ///< over the link from it
};

/// Bytes that a call is expected to carry.
struct CallBytes {
  double Request_ = 0;
  double Response_ = 0;
};

/// The region a call is sent to, or why it is refused as not run.
struct RegionDecision {
  RegionId Region_;
  std::optional<RefusalReason> Refused_;
};

/// Draws a call's region by its flow's shares. A call that falls to a region
/// which can't take it is refused: sending it elsewhere would move traffic
/// past the cap of the shift.
/// \ingroup Steering
/// \param Self region of this VM; no link is needed to it
RegionDecision chooseRegion(const Flow &F, const RegionShares &Row,
                            const SteeringView &View,
                            const std::map<RegionId, RegionCredit> &Credits,
                            const CallBytes &Bytes, const RegionId &Self,
                            Random &Source);

} // namespace lagoonpoint
