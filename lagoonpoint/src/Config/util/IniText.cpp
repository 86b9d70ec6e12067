#include "lagoonpoint/src/Config/util/IniText.h"

#include <Poco/AutoPtr.h>
#include <Poco/String.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace lagoonpoint::internal {

namespace {

bool isBlank(char C) { return C == ' ' || C == '\t'; }

bool startsComment(char C) { return C == '#' || C == ';'; }

std::string stripComment(const std::string &Line) {
  for (std::size_t I = 0; I < Line.size(); ++I)
    if (startsComment(Line[I]) && (I == 0 || isBlank(Line[I - 1])))
      return Line.substr(0, I);
  return Line;
}

bool hasControlCharacter(const std::string &Line) {
  return std::any_of(Line.begin(), Line.end(), [](unsigned char C) {
    return (C < 0x20 && C != '\t') || C == 0x7f;
  });
}

/// State of the line scan.
struct ScanState {
  const std::string &File_;
  Diagnostics &Errors_;
  std::vector<IniSection> Sections_;
  std::set<std::string> SectionNames_; ///< lower case, as Poco compares them
  std::set<std::string> Keys_;         ///< of the current section, lower case
  std::string NormalizedText_;         ///< input for Poco
  bool InMalformedSection_ = false;    ///< its entries are skipped
};

void report(ScanState &S, std::size_t Line, const std::string &Section,
            const std::string &Key, const std::string &Message) {
  S.Errors_.push_back({S.File_, Line, Section, Key, Message});
}

void scanSection(ScanState &S, std::size_t Line, const std::string &Text) {
  std::string Name = Poco::trim(Text.substr(1, Text.find(']') - 1));
  S.InMalformedSection_ = Text.back() != ']' ||
                          Text.find(']') != Text.size() - 1 || Name.empty() ||
                          Name.find('[') != std::string::npos;
  if (S.InMalformedSection_)
    return report(S, Line, "", "", "malformed section line '" + Text + "'");
  if (!S.SectionNames_.insert(Poco::toLower(Name)).second)
    report(S, Line, Name, "", "section is repeated");
  S.Keys_.clear();
  S.Sections_.push_back({Name, Line, {}});
  S.NormalizedText_ += "[" + Name + "]\n";
}

void scanEntry(ScanState &S, std::size_t Line, const std::string &Text) {
  std::size_t Equals = Text.find('=');
  std::string Section = S.Sections_.empty() ? "" : S.Sections_.back().Name_;
  std::string Key = Poco::trim(Text.substr(0, Equals));
  if (S.InMalformedSection_)
    return;
  if (Equals == std::string::npos || Key.empty())
    return report(S, Line, Section, "",
                  "expected 'key = value', found '" + Text + "'");
  if (S.Sections_.empty())
    return report(S, Line, "", Key, "key is before the first section");
  if (!S.Keys_.insert(Poco::toLower(Key)).second)
    return report(S, Line, Section, Key, "key is repeated");
  S.Sections_.back().Entries_.push_back({Key, "", Line});
  S.NormalizedText_ += Key + "=" + Poco::trim(Text.substr(Equals + 1)) + "\n";
}

void scanLine(ScanState &S, std::size_t Line, std::string Text) {
  if (!Text.empty() && Text.back() == '\r')
    Text.pop_back();
  if (hasControlCharacter(Text))
    return report(S, Line, "", "", "line contains a control character");
  Text = Poco::trim(stripComment(Text));
  if (Text.empty())
    return;
  if (Text.front() == '[')
    scanSection(S, Line, Text);
  else
    scanEntry(S, Line, Text);
}

void loadValues(ScanState &S) {
  std::istringstream In(S.NormalizedText_);
  Poco::AutoPtr<Poco::Util::IniFileConfiguration> Ini(
      new Poco::Util::IniFileConfiguration(In));
  for (IniSection &Section : S.Sections_)
    for (IniEntry &Entry : Section.Entries_)
      Entry.Value_ = Ini->getRawString(Section.Name_ + "." + Entry.Key_, "");
}

} // namespace

const IniEntry *IniSection::find(const std::string &Key) const {
  auto Found = std::find_if(Entries_.begin(), Entries_.end(),
                            [&](const IniEntry &E) { return E.Key_ == Key; });
  return Found == Entries_.end() ? nullptr : &*Found;
}

std::vector<IniSection> parseIni(const std::string &Text,
                                 const std::string &File, Diagnostics &Errors) {
  ScanState S{File, Errors, {}, {}, {}, {}, false};
  std::istringstream Lines(Text);
  std::string Line;
  for (std::size_t Number = 1; std::getline(Lines, Line); ++Number)
    scanLine(S, Number, Line);
  loadValues(S);
  return std::move(S.Sections_);
}

DiagnosticReporter::DiagnosticReporter(std::string File,
                                       const std::vector<IniSection> &Sections,
                                       Diagnostics &Errors)
    : File_(std::move(File)), Errors_(Errors) {
  for (const IniSection &Section : Sections)
    Sections_.emplace(Section.Name_, &Section);
}

void DiagnosticReporter::add(const std::string &Section, const std::string &Key,
                             const std::string &Message) {
  std::size_t Line = 0;
  auto Found = Sections_.find(Section);
  if (Found != Sections_.end()) {
    const IniEntry *Entry = Found->second->find(Key);
    Line = Entry ? Entry->Line_ : Found->second->Line_;
  }
  Errors_.push_back({File_, Line, Section, Key, Message});
}

void DiagnosticReporter::sort() {
  std::stable_sort(Errors_.begin(), Errors_.end(),
                   [](const Diagnostic &A, const Diagnostic &B) {
                     return A.Line_ < B.Line_;
                   });
}

} // namespace lagoonpoint::internal
