#pragma once

#include <string>

namespace lagoonpoint {

/// Compares two texts by lines.
/// \returns the lines only in \p Old with "-" and those only in \p New with
/// "+" before them, in order; empty if the texts are equal
std::string diffLines(const std::string &Old, const std::string &New);

} // namespace lagoonpoint
