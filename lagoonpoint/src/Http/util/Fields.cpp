#include "lagoonpoint/src/Http/util/Fields.h"

#include "lagoonpoint/Core"
#include "lagoonpoint/src/Core/util/Text.h"

#include <algorithm>

namespace lagoonpoint::internal {

namespace {

bool isTokenByte(char C) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  if (C >= '0' && C <= '9')
    return true;
  if ((C | 0x20) >= 'a' && (C | 0x20) <= 'z')
    return true;
  return C != 0 && Others.find(C) != std::string_view::npos;
}

} // namespace

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value) {
  LAGOONPOINT_ASSERT(isToken(Name) && !hasControlCharacters(Value),
                     "http.field");
  Text.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace lagoonpoint::internal
