#include "lagoonpoint/src/Core/util/Text.h"

#include <algorithm>

namespace lagoonpoint::internal {

bool hasControlCharacters(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](char C) {
    unsigned char Byte = static_cast<unsigned char>(C);
    return (Byte < 0x20 && Byte != '\t') || Byte == 0x7f;
  });
}

} // namespace lagoonpoint::internal
