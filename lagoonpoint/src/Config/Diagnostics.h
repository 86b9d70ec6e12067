#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lagoonpoint {

/// One error in a settings or declarations file.
struct Diagnostic {
  std::string File_;
  std::size_t Line_ = 0; ///< 1-based; 0 where no single line is at fault
  std::string Section_;
  std::string Key_;
  std::string Message_;
};

/// All errors of a file, in the order of their lines.
using Diagnostics = std::vector<Diagnostic>;

/// \returns "file:line: [section] key: message".
std::string toString(const Diagnostic &D);

} // namespace lagoonpoint
