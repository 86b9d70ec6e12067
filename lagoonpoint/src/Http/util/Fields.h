#pragma once

#include <string>
#include <string_view>

namespace lagoonpoint::internal {

/// \returns whether a text is a token as of RFC 9110: no separators, no spaces.
bool isToken(std::string_view Text);

/// Appends one header field with its line break.
/// \ingroup Http
/// \throws InvariantViolation if the field would change the framing of the
/// message, whatever name and value were derived from
void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value);

} // namespace lagoonpoint::internal
