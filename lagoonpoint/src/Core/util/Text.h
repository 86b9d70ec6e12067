#pragma once

#include <string_view>

namespace lagoonpoint::internal {

/// \returns whether a text holds control characters other than tabs. Such a
/// text must not become part of a message's head.
bool hasControlCharacters(std::string_view Text);

} // namespace lagoonpoint::internal
