#include "lagoonpoint/src/Config/Declarations.h"

#include "lagoonpoint/src/Config/util/DeclarationChecks.h"
#include "lagoonpoint/src/Config/util/DeclarationSections.h"

#include <algorithm>
#include <functional>

namespace lagoonpoint {

namespace {

using namespace internal;

using Ids = std::vector<std::string>;

/// Parses one kind of section into the declarations.
struct SectionParser {
  std::string Kind_;
  std::size_t IdCount_;
  std::function<void(const IniSection &, const Ids &, Declarations &,
                     DiagnosticReporter &)>
      Parse_;
};

template <class T, class I>
SectionParser mapSectionParser(const char *Kind, const SectionSpec<T> &Spec,
                               std::map<I, T> Declarations::*Member) {
  return {Kind, 1,
          [&Spec, Member](const IniSection &Section, const Ids &Names,
                          Declarations &Out, DiagnosticReporter &Report) {
            T Value;
            Value.Id_ = I(Names.front());
            parseSection(Spec, Section, Value, Report);
            (Out.*Member).emplace(Value.Id_, Value);
          }};
}

template <class T>
SectionParser listSectionParser(const char *Kind, const SectionSpec<T> &Spec,
                                std::vector<T> Declarations::*Member) {
  return {Kind, 1,
          [&Spec, Member](const IniSection &Section, const Ids &Names,
                          Declarations &Out, DiagnosticReporter &Report) {
            T Value;
            Value.Name_ = Names.front();
            parseSection(Spec, Section, Value, Report);
            (Out.*Member).push_back(Value);
          }};
}

void parseLink(const IniSection &Section, const Ids &Names, Declarations &Out,
               DiagnosticReporter &Report) {
  LinkDecl Link;
  Link.From_ = RegionId(Names[0]);
  Link.To_ = RegionId(Names[1]);
  parseSection(linkSection(), Section, Link, Report);
  Out.Links_.push_back(Link);
}

void parseFleet(const IniSection &Section, const Ids &, Declarations &Out,
                DiagnosticReporter &Report) {
  parseSection(fleetSection(), Section, Out.Fleet_, Report);
}

const std::vector<SectionParser> &sectionParsers() {
  using D = Declarations;
  static const std::vector<SectionParser> All{
      {"fleet", 0, parseFleet},
      mapSectionParser("region", regionSection(), &D::Regions_),
      mapSectionParser("zone", zoneSection(), &D::Zones_),
      mapSectionParser("vm", vmSection(), &D::Vms_),
      {"link", 2, parseLink},
      mapSectionParser("service", serviceSection(), &D::Services_),
      listSectionParser("route", routeSection(), &D::Routes_),
      mapSectionParser("team", teamSection(), &D::Teams_),
      mapSectionParser("key", keySection(), &D::Keys_),
      mapSectionParser("profile", profileSection(), &D::Profiles_),
      listSectionParser("block", blockSection(), &D::Blocks_)};
  return All;
}

void parseByKind(const IniSection &Section, Declarations &Out,
                 DiagnosticReporter &Report) {
  std::string Kind = splitName(Section.Name_).front();
  auto Parser =
      std::find_if(sectionParsers().begin(), sectionParsers().end(),
                   [&](const SectionParser &P) { return P.Kind_ == Kind; });
  if (Parser == sectionParsers().end())
    return Report.add(Section.Name_, "", "unknown section");
  if (auto Names = sectionIds(Section, Parser->IdCount_, Report))
    Parser->Parse_(Section, *Names, Out, Report);
}

/// Brings all blocks into canonical form, so that equal blocks compare equal.
void normalizeBlocks(Declarations &D) {
  for (BlockDecl &Block : D.Blocks_)
    if (auto Cidr = normalizedCidr(Block.Cidr_))
      Block.Cidr_ = *Cidr;
}

} // namespace

Declarations parseDeclarations(const std::string &Text, const std::string &File,
                               Diagnostics &Errors) {
  std::vector<IniSection> Sections = parseIni(Text, File, Errors);
  DiagnosticReporter Report(File, Sections, Errors);
  Declarations Out;
  for (const IniSection &Section : Sections)
    parseByKind(Section, Out, Report);
  normalizeBlocks(Out);
  checkReferences(Out, Report);
  checkConsistency(Out, Report);
  Report.sort();
  return Out;
}

std::vector<ConfigKeyInfo> declarationsKeys() {
  std::vector<ConfigKeyInfo> Out;
  appendKeys(fleetSection(), Out);
  appendKeys(regionSection(), Out);
  appendKeys(zoneSection(), Out);
  appendKeys(vmSection(), Out);
  appendKeys(linkSection(), Out);
  appendKeys(serviceSection(), Out);
  appendKeys(routeSection(), Out);
  appendKeys(teamSection(), Out);
  appendKeys(keySection(), Out);
  appendKeys(profileSection(), Out);
  appendKeys(blockSection(), Out);
  return Out;
}

} // namespace lagoonpoint
