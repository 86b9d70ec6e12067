#include "lagoonpoint/src/Config/Declarations.h"

#include "lagoonpoint/src/Config/util/DeclarationChecks.h"
#include "lagoonpoint/src/Config/util/DeclarationSections.h"

#include <algorithm>
#include <functional>

namespace lagoonpoint {

namespace {

using namespace internal;

using Ids = std::vector<std::string>;

/// How one kind of section gets into the declarations.
struct SectionReader {
  std::string Kind_;
  std::size_t IdCount_;
  std::function<void(const IniSection &, const Ids &, Declarations &,
                     Reporter &)>
      Read_;
};

template <class T, class I>
SectionReader mapReader(const char *Kind, const SectionSpec<T> &Spec,
                        std::map<I, T> Declarations::*Member) {
  return {Kind, 1,
          [&Spec, Member](const IniSection &Section, const Ids &Names,
                          Declarations &Out, Reporter &Report) {
            T Value;
            Value.Id_ = I(Names.front());
            readSection(Spec, Section, Value, Report);
            (Out.*Member).emplace(Value.Id_, Value);
          }};
}

template <class T>
SectionReader namedReader(const char *Kind, const SectionSpec<T> &Spec,
                          std::vector<T> Declarations::*Member) {
  return {Kind, 1,
          [&Spec, Member](const IniSection &Section, const Ids &Names,
                          Declarations &Out, Reporter &Report) {
            T Value;
            Value.Name_ = Names.front();
            readSection(Spec, Section, Value, Report);
            (Out.*Member).push_back(Value);
          }};
}

void readLink(const IniSection &Section, const Ids &Names, Declarations &Out,
              Reporter &Report) {
  LinkDecl Link;
  Link.From_ = RegionId(Names[0]);
  Link.To_ = RegionId(Names[1]);
  readSection(linkSection(), Section, Link, Report);
  Out.Links_.push_back(Link);
}

void readFleet(const IniSection &Section, const Ids &, Declarations &Out,
               Reporter &Report) {
  readSection(fleetSection(), Section, Out.Fleet_, Report);
}

const std::vector<SectionReader> &readers() {
  using D = Declarations;
  static const std::vector<SectionReader> All{
      {"fleet", 0, readFleet},
      mapReader("region", regionSection(), &D::Regions_),
      mapReader("zone", zoneSection(), &D::Zones_),
      mapReader("vm", vmSection(), &D::Vms_),
      {"link", 2, readLink},
      mapReader("service", serviceSection(), &D::Services_),
      namedReader("route", routeSection(), &D::Routes_),
      mapReader("team", teamSection(), &D::Teams_),
      mapReader("key", keySection(), &D::Keys_),
      mapReader("profile", profileSection(), &D::Profiles_),
      namedReader("block", blockSection(), &D::Blocks_)};
  return All;
}

void readOne(const IniSection &Section, Declarations &Out, Reporter &Report) {
  std::string Kind = splitName(Section.Name_).front();
  auto Reader =
      std::find_if(readers().begin(), readers().end(),
                   [&](const SectionReader &R) { return R.Kind_ == Kind; });
  if (Reader == readers().end())
    return Report.add(Section.Name_, "", "unknown section");
  if (auto Names = sectionIds(Section, Reader->IdCount_, Report))
    Reader->Read_(Section, *Names, Out, Report);
}

/// Writes equal blocks equally, so that they can be compared.
void normalizeBlocks(Declarations &D) {
  for (BlockDecl &Block : D.Blocks_)
    if (auto Cidr = normalizedCidr(Block.Cidr_))
      Block.Cidr_ = *Cidr;
}

} // namespace

Declarations parseDeclarations(const std::string &Text, const std::string &File,
                               Findings &Errors) {
  std::vector<IniSection> Sections = readIni(Text, File, Errors);
  Reporter Report(File, Sections, Errors);
  Declarations Out;
  for (const IniSection &Section : Sections)
    readOne(Section, Out, Report);
  normalizeBlocks(Out);
  checkReferences(Out, Report);
  checkContradictions(Out, Report);
  Report.sort();
  return Out;
}

std::vector<KeyInfo> declarationsKeys() {
  std::vector<KeyInfo> Out;
  listKeys(fleetSection(), Out);
  listKeys(regionSection(), Out);
  listKeys(zoneSection(), Out);
  listKeys(vmSection(), Out);
  listKeys(linkSection(), Out);
  listKeys(serviceSection(), Out);
  listKeys(routeSection(), Out);
  listKeys(teamSection(), Out);
  listKeys(keySection(), Out);
  listKeys(profileSection(), Out);
  listKeys(blockSection(), Out);
  return Out;
}

} // namespace lagoonpoint
