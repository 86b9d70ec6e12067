#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lagoonpoint {

/// One error in a settings or declarations file.
struct Diagnostic {
  std::string File_;
  std::size_t Line_ = 0; ///< 1-based; 0 if the error has no single line
  std::string Section_;
  std::string Key_;
  std::string Message_;
};

/// All errors of a file, ordered by line.
using Diagnostics = std::vector<Diagnostic>;

/// \returns "file:line: [section] key: message".
std::string toString(const Diagnostic &D);

} // namespace lagoonpoint
