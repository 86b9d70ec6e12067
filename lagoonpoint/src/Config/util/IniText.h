#pragma once

#include "lagoonpoint/src/Config/Diagnostics.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lagoonpoint::internal {

/// One `key = value` line.
struct IniEntry {
  std::string Key_;
  std::string Value_;
  std::size_t Line_ = 0;
};

/// One section of an INI text.
struct IniSection {
  std::string Name_;
  std::size_t Line_ = 0;
  std::vector<IniEntry> Entries_;

  /// \returns the entry of a key, or null.
  const IniEntry *find(const std::string &Key) const;
};

/// Parses an INI text. A scan of the lines removes comments, also those after a
/// value, and reports what Poco would accept silently: repeated keys and
/// sections, and malformed lines. Poco's IniFileConfiguration then supplies the
/// values.
///
/// A comment starts with `#` or `;` at the start of a line or after a blank.
/// \param[in,out] Errors the diagnostics of the scan are appended
std::vector<IniSection> parseIni(const std::string &Text,
                                 const std::string &File, Diagnostics &Errors);

/// \class DiagnosticReporter
/// \ingroup Config
/// \brief Collects the diagnostics of one file and adds their line numbers.
class DiagnosticReporter {
public:
  DiagnosticReporter(std::string File, const std::vector<IniSection> &Sections,
                     Diagnostics &Errors);

  /// Adds a diagnostic at the line of the key. If the file lacks the key, the
  /// line is that of the section; if it lacks both, the line is 0.
  void add(const std::string &Section, const std::string &Key,
           const std::string &Message);

  /// Sorts all diagnostics by line.
  void sort();

private:
  std::string File_;
  std::map<std::string, const IniSection *> Sections_;
  Diagnostics &Errors_;
};

} // namespace lagoonpoint::internal
