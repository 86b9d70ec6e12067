#pragma once

#include "lagoonpoint/src/Items/ItemSet.h"

namespace lagoonpoint {

/// A latency objective this far above its route's timeout is rejected as a
/// mistake.
inline constexpr Duration MaxObjectiveOverTimeout = Duration::seconds(60);

/// Checks a patch on its own: weights, timeouts, keys.
/// \ingroup Items
/// \returns an error message that names the item, empty if the patch is valid
std::string validateItems(const ItemSet &Patch);

/// Checks a patch on its own and against the current items: the services of its
/// routes must exist, and no two teams may share a key.
/// \ingroup Items
/// \returns an error message that names the item, empty if the patch is valid
std::string validatePatch(const ItemSet &Current, const ItemSet &Patch);

} // namespace lagoonpoint
