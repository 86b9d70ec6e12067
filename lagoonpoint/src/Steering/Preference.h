#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Steering/Shares.h"

#include <optional>
#include <vector>

namespace lagoonpoint {

/// \returns whether the declarations permit a profile's services to run in a
/// region: it is allowed, not avoided and not drained.
/// \ingroup Steering
bool mayServe(const Declarations &D, const ProfileDecl &P, const RegionId &R);

/// \returns the mean one-way latency between two regions, or nothing if a link
/// is missing in either direction.
/// \ingroup Steering
std::optional<Duration>
latencyBetween(const Declarations &D, const RegionId &From, const RegionId &To);

/// Orders the regions that may serve callers of \p Origin, best first: the best
/// region by the objective, then the profile's fallbacks, then the others by
/// the objective. Regions without links in both directions are left out.
/// \ingroup Steering
std::vector<RegionId> regionPreference(const Declarations &D,
                                       const ProfileDecl &P,
                                       const RegionId &Origin);

} // namespace lagoonpoint
