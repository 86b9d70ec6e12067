#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Steering/BlockTable.h"
#include "lagoonpoint/src/Steering/RegionTargets.h"

#include <limits>
#include <map>
#include <optional>

namespace lagoonpoint {

/// \returns the home zone of a client: the zone of its block, or else one
/// chosen by a hash of its address. It does not depend on the entry VM, so a
/// client that changes its entry VM does not move its traffic.
/// \ingroup Steering
ZoneId homeZoneOf(const BlockTable &Table, const Declarations &D,
                  const std::string &ClientAddress);

/// What this VM may currently send to a region. Fields without a limit are
/// infinite.
struct RegionCredit {
  static constexpr double Unlimited = std::numeric_limits<double>::infinity();
  double Requests_ = Unlimited;  ///< requests granted by the region
  double BytesTo_ = Unlimited;   ///< on the link to the region
  double BytesFrom_ = Unlimited; ///< on the link from the region
};

/// Expected size of a call, in bytes.
struct CallBytes {
  double Request_ = 0;
  double Response_ = 0;
};

/// The region of a call, and the reason if the call is refused without being
/// run.
struct RegionDecision {
  RegionId Region_;
  std::optional<RefusalReason> Refused_;
};

/// Draws the region of a call at random by the shares of its flow. A call is
/// refused if its region cannot take it: sending it elsewhere would exceed the
/// cap on traffic shifts.
/// \ingroup Steering
/// \param Self region of this VM, which is reached without a link
RegionDecision chooseRegion(const Flow &F, const RegionShares &Row,
                            const SteeringView &View,
                            const std::map<RegionId, RegionCredit> &Credits,
                            const CallBytes &Bytes, const RegionId &Self,
                            Random &Source);

} // namespace lagoonpoint
