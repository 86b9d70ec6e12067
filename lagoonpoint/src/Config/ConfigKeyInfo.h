#pragma once

#include <string>
#include <vector>

namespace lagoonpoint {

/// A key that a file may hold, as the reference page lists it.
struct ConfigKeyInfo {
  std::string Section_; ///< such as "vm" or "region.ID"
  std::string Key_;
  std::string Unit_;    ///< how a value is written
  std::string Range_;   ///< empty where any value of the unit will do
  std::string Default_; ///< "required" where there is none
};

/// \returns all keys of a settings file.
/// \ingroup Config
std::vector<ConfigKeyInfo> settingsKeys();

/// \returns all keys of a declarations file.
/// \ingroup Config
std::vector<ConfigKeyInfo> declarationsKeys();

} // namespace lagoonpoint
