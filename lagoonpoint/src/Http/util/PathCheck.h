#pragma once

#include <string_view>

namespace lagoonpoint::internal {

/// Finds what would let an upstream read another path than the route table
/// did: dot segments, empty segments, escapes of characters that need none.
/// \ingroup Http
/// \param Target request target with query
/// \returns the fault, or null if there is none
const char *findTargetFault(std::string_view Target);

/// \returns true if the query names a parameter that usually carries a key.
bool queryHoldsKey(std::string_view Target);

} // namespace lagoonpoint::internal
