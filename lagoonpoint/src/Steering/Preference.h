#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Steering/Shares.h"

#include <optional>
#include <vector>

namespace lagoonpoint {

/// \returns whether a profile's services may run in a region as declared: it
/// is allowed, not avoided and not drained.
/// \ingroup Steering
bool mayServe(const Declarations &D, const ProfileDecl &P, const RegionId &R);

/// \returns the one-way latency from a region to another; nothing without
/// links in both directions.
/// \ingroup Steering
std::optional<Duration>
latencyBetween(const Declarations &D, const RegionId &From, const RegionId &To);

/// Orders the regions that may serve callers of \p Origin, best first: the
/// objective's first choice, then the profile's fallbacks, then the others by
/// the objective. Regions that no link reaches are left out.
/// \ingroup Steering
std::vector<RegionId> regionPreference(const Declarations &D,
                                       const ProfileDecl &P,
                                       const RegionId &Origin);

} // namespace lagoonpoint
