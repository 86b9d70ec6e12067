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

/// Checks a patch on its own and by the items that it leaves: the services of
/// all routes that it sets must exist, no route may name a service that it
/// removes, and no two teams may share a key. Routes that \p Current already
/// holds in a newer version need only name services that once existed. Other
/// routes of \p Current are not checked, so that a fleet which holds a route
/// without its service, as earlier versions accepted, still takes changes.
/// \ingroup Items
/// \param Current the items that the patch will be merged into
/// \returns an error message that names the item, empty if the patch is valid
std::string validatePatch(const ItemSet &Current, const ItemSet &Patch);

/// Checks a patch of the log when it is applied. All versions must decide alike
/// here, as replicas of several versions apply the same log. What this check
/// misses is refused by validatePatch() before a patch is proposed.
/// \ingroup Items
/// \returns as validatePatch()
std::string validateLoggedPatch(const ItemSet &Current, const ItemSet &Patch);

} // namespace lagoonpoint
