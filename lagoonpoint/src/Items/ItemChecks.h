#pragma once

#include "lagoonpoint/src/Items/ItemSet.h"

namespace lagoonpoint {

/// An objective this far above its route's timeout is taken for a mistake.
inline constexpr Duration MaxObjectiveOverTimeout = Duration::seconds(60);

/// Checks what a patch says by itself: weights, timeouts, keys.
/// \ingroup Items
/// \returns what is wrong with it, naming the item; empty if nothing
std::string validateItems(const ItemSet &Patch);

/// Checks a patch against the items held: services that its routes name, keys
/// that two teams would share, another content under the version held.
/// \ingroup Items
/// \returns what is wrong with it, naming the item; empty if nothing
std::string validatePatch(const ItemSet &Current, const ItemSet &Patch);

} // namespace lagoonpoint
