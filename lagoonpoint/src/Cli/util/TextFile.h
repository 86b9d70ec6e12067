#pragma once

#include <string>

namespace lagoonpoint {

/// \returns the content of a file.
/// \throws Error if it can't be read
std::string readTextFile(const std::string &Name);

} // namespace lagoonpoint
