#include "lagoonpoint/src/Config/util/KeySpec.h"

namespace lagoonpoint::internal {

std::vector<std::string> splitName(const std::string &Name) {
  std::vector<std::string> Parts;
  std::size_t Start = 0;
  while (Start <= Name.size()) {
    std::size_t Dot = std::min(Name.find('.', Start), Name.size());
    Parts.push_back(Name.substr(Start, Dot - Start));
    Start = Dot + 1;
  }
  return Parts;
}

std::optional<std::vector<std::string>> sectionIds(const IniSection &Section,
                                                   std::size_t Count,
                                                   DiagnosticReporter &Report) {
  std::vector<std::string> Parts = splitName(Section.Name_);
  std::string Kind = Parts.front();
  Parts.erase(Parts.begin());
  if (Parts.size() != Count) {
    Report.add(Section.Name_, "",
               "section [" + Kind + "] needs " + std::to_string(Count) +
                   " ids after it, separated by dots");
    return {};
  }
  for (const std::string &Part : Parts)
    if (!isId(Part)) {
      Report.add(Section.Name_, "", malformed(Part, "id"));
      return {};
    }
  return Parts;
}

} // namespace lagoonpoint::internal
