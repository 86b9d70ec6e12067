#pragma once

#include <string>

namespace lagoonpoint {

/// Compares two texts line by line.
/// \returns the lines that are only in \p Old, prefixed with "-", and those
/// that are only in \p New, prefixed with "+", in order; empty if the texts are
/// equal
std::string diffLines(const std::string &Old, const std::string &New);

} // namespace lagoonpoint
