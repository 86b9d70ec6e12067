#pragma once

#include <string>
#include <vector>

namespace lagoonpoint {

/// A key of a configuration file, as listed in docs/CONFIGURATION.md.
struct ConfigKeyInfo {
  std::string Section_; ///< such as "vm" or "region.ID"
  std::string Key_;
  std::string Unit_;    ///< kind of value, such as "duration"
  std::string Range_;   ///< empty if any well-formed value is allowed
  std::string Default_; ///< "required" if there is none
};

/// \returns all keys of a settings file.
/// \ingroup Config
std::vector<ConfigKeyInfo> settingsKeys();

/// \returns all keys of a declarations file.
/// \ingroup Config
std::vector<ConfigKeyInfo> declarationsKeys();

} // namespace lagoonpoint
