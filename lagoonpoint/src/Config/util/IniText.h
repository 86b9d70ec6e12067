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

/// Reads an INI text. The values are those of Poco's IniFileConfiguration; a
/// scan of the lines before it finds what Poco takes silently: repeated keys
/// and sections, lines without a meaning, comments behind a value.
///
/// A comment starts with `#` or `;` at the start of a line or after a blank.
/// \param[out] Errors findings of the scan are added
std::vector<IniSection> parseIni(const std::string &Text,
                                 const std::string &File, Diagnostics &Errors);

/// \class DiagnosticReporter
/// \ingroup Config
/// \brief Adds findings of one file, with the lines of its sections and keys.
class DiagnosticReporter {
public:
  DiagnosticReporter(std::string File, const std::vector<IniSection> &Sections,
                     Diagnostics &Errors);

  /// Adds a finding at a key's line, else at its section's, else at line 0.
  void add(const std::string &Section, const std::string &Key,
           const std::string &Message);

  /// Brings all findings into the order of their lines.
  void sort();

private:
  std::string File_;
  std::map<std::string, const IniSection *> Sections_;
  Diagnostics &Errors_;
};

} // namespace lagoonpoint::internal
