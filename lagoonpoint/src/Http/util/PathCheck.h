#pragma once

#include <string_view>

namespace lagoonpoint::internal {

/// Finds anything that could make an upstream read a different path than the
/// route table: dot segments, empty segments, and escapes of characters that
/// need none.
/// \ingroup Http
/// \param Target request target with query
/// \returns a description of the fault, or null if there is none
const char *findTargetFault(std::string_view Target);

/// \returns true if the query has a parameter with a name that is common for
/// keys.
bool queryHoldsKey(std::string_view Target);

} // namespace lagoonpoint::internal
