#include "lagoonpoint/src/Config/util/DeclarationChecks.h"

#include <algorithm>
#include <map>
#include <string>

namespace lagoonpoint::internal {

namespace {

template <class I> std::string sectionOf(const char *Kind, const I &Id) {
  return std::string(Kind) + "." + Id.str();
}

std::string sectionOf(const LinkDecl &L) {
  return "link." + L.From_.str() + "." + L.To_.str();
}

/// Reports an id that is not declared. An empty id has been reported already.
template <class I, class D>
void checkDeclared(const std::map<I, D> &Declared, const I &Id,
                   const char *Kind, const std::string &Section,
                   const char *Key, DiagnosticReporter &Report) {
  if (Id.empty() || Declared.count(Id))
    return;
  Report.add(Section, Key,
             std::string(Kind) + " '" + Id.str() + "' is not declared");
}

void checkProfileReferences(const Declarations &D, DiagnosticReporter &Report) {
  for (const auto &[Id, Profile] : D.Profiles_) {
    std::string Section = sectionOf("profile", Id);
    for (const RegionId &R : Profile.Allowed_)
      checkDeclared(D.Regions_, R, "region", Section, "allowed", Report);
    for (const RegionId &R : Profile.Fallback_)
      checkDeclared(D.Regions_, R, "region", Section, "fallback", Report);
    for (const RegionId &R : Profile.Avoid_)
      checkDeclared(D.Regions_, R, "region", Section, "avoid", Report);
  }
}

bool contains(const std::vector<RegionId> &List, const RegionId &R) {
  return std::find(List.begin(), List.end(), R) != List.end();
}

void checkFleet(const Declarations &D, DiagnosticReporter &Report) {
  const FleetDecl &F = D.Fleet_;
  if (F.LookupTtl_ < F.LeaseLength_)
    Report.add("fleet", "lookup_ttl",
               "shorter than lease_length: callers would move to other VMs "
               "faster than leases do");
  bool AnyOnce =
      std::any_of(D.Routes_.begin(), D.Routes_.end(), [](const RouteDecl &R) {
        return R.Kind_ == RouteKind::Once;
      });
  if (AnyOnce && F.ResultsKept_ <= F.LookupTtl_)
    Report.add("fleet", "results_kept",
               "must be longer than lookup_ttl while a route is of kind once");
}

bool hasZone(const Declarations &D, const RegionId &Id) {
  return std::any_of(D.Zones_.begin(), D.Zones_.end(),
                     [&](const auto &Z) { return Z.second.Region_ == Id; });
}

bool hasEntryVm(const Declarations &D, const ZoneId &Id) {
  return std::any_of(D.Vms_.begin(), D.Vms_.end(), [&](const auto &V) {
    return V.second.Zone_ == Id && V.second.Entry_;
  });
}

void checkTopology(const Declarations &D, DiagnosticReporter &Report) {
  if (D.Regions_.empty())
    Report.add("", "", "no region is declared");
  for (const auto &[Id, Region] : D.Regions_)
    if (!hasZone(D, Id))
      Report.add(sectionOf("region", Id), "", "region has no zone");
  for (const auto &[Id, Zone] : D.Zones_)
    if (!hasEntryVm(D, Id))
      Report.add(sectionOf("zone", Id), "", "zone has no entry VM");
}

bool servesCallers(const Declarations &D, const VmDecl &Vm) {
  if (!Vm.Entry_ || Vm.Drained_)
    return false;
  auto Zone = D.Zones_.find(Vm.Zone_);
  if (Zone == D.Zones_.end() || Zone->second.Drained_)
    return false;
  auto Region = D.Regions_.find(Zone->second.Region_);
  return Region != D.Regions_.end() && !Region->second.Drained_;
}

void checkDrains(const Declarations &D, DiagnosticReporter &Report) {
  if (D.Vms_.empty())
    return;
  bool Any = std::any_of(D.Vms_.begin(), D.Vms_.end(), [&](const auto &V) {
    return servesCallers(D, V.second);
  });
  if (Any)
    return;
  auto Region = std::find_if(D.Regions_.begin(), D.Regions_.end(),
                             [](const auto &R) { return R.second.Drained_; });
  std::string Section = Region == D.Regions_.end()
                            ? sectionOf("vm", D.Vms_.begin()->first)
                            : sectionOf("region", Region->first);
  Report.add(Section, "drained",
             "no VM serves callers: every entry VM, its zone or its region is "
             "drained");
}

void checkAddresses(const Declarations &D, DiagnosticReporter &Report) {
  std::map<std::string, VmId> Users;
  for (const auto &[Id, Vm] : D.Vms_) {
    const std::pair<const char *, const Address *> Listeners[] = {
        {"callers", &Vm.Callers_},
        {"upstreams", &Vm.Upstreams_},
        {"operators", &Vm.Operators_},
        {"peers", &Vm.Peers_}};
    for (const auto &[Key, ListenAddress] : Listeners) {
      if (ListenAddress->Port_ == 0)
        continue;
      auto [User, New] = Users.emplace(toString(*ListenAddress), Id);
      if (!New)
        Report.add(sectionOf("vm", Id), Key,
                   "address " + toString(*ListenAddress) +
                       " is already used by VM '" + User->second.str() + "'");
    }
  }
}

void checkLinks(const Declarations &D, DiagnosticReporter &Report) {
  for (const LinkDecl &L : D.Links_)
    if (L.From_ == L.To_)
      Report.add(sectionOf(L), "", "link connects a region to itself");
}

void checkRoutes(const Declarations &D, DiagnosticReporter &Report) {
  std::map<std::string, std::string> Owners;
  for (const RouteDecl &R : D.Routes_) {
    std::string Section = "route." + R.Name_;
    if (R.MaxDeadline_ < R.Deadline_)
      Report.add(Section, "max_deadline", "shorter than deadline");
    if (R.Prefix_.empty())
      continue;
    auto [Owner, New] = Owners.emplace(R.Prefix_, R.Name_);
    if (!New)
      Report.add(Section, "prefix",
                 "prefix '" + R.Prefix_ + "' is already used by route '" +
                     Owner->second + "'");
  }
}

/// \returns whether a profile allows any region that isn't drained.
bool allowsAnyRegion(const Declarations &D, const ProfileDecl &P) {
  return std::any_of(D.Regions_.begin(), D.Regions_.end(), [&](const auto &R) {
    bool IsAllowed = P.Allowed_.empty() || contains(P.Allowed_, R.first);
    return IsAllowed && !contains(P.Avoid_, R.first) && !R.second.Drained_;
  });
}

void checkProfiles(const Declarations &D, DiagnosticReporter &Report) {
  for (const auto &[Id, P] : D.Profiles_) {
    std::string Section = sectionOf("profile", Id);
    if (!D.Regions_.empty() && !allowsAnyRegion(D, P))
      Report.add(Section, P.Allowed_.empty() ? "avoid" : "allowed",
                 "every allowed region is avoided or drained");
    for (const RegionId &R : P.Fallback_)
      if (contains(P.Avoid_, R) ||
          (!P.Allowed_.empty() && !contains(P.Allowed_, R)))
        Report.add(Section, "fallback",
                   "region '" + R.str() + "' is avoided or not allowed");
    if (P.ShiftEvery_ < D.Fleet_.LookupTtl_)
      Report.add(Section, "shift_every",
                 "shorter than lookup_ttl: the next step would begin before "
                 "callers have followed the last one");
  }
}

void checkBlocks(const Declarations &D, DiagnosticReporter &Report) {
  std::map<std::string, std::string> Owners;
  for (const BlockDecl &B : D.Blocks_) {
    if (B.Cidr_.empty())
      continue;
    auto [Owner, New] = Owners.emplace(B.Cidr_, B.Name_);
    if (!New)
      Report.add("block." + B.Name_, "cidr",
                 "address block " + B.Cidr_ + " is already declared as '" +
                     Owner->second + "'");
  }
}

} // namespace

void checkReferences(const Declarations &D, DiagnosticReporter &Report) {
  for (const auto &[Id, Zone] : D.Zones_)
    checkDeclared(D.Regions_, Zone.Region_, "region", sectionOf("zone", Id),
                  "region", Report);
  for (const auto &[Id, Vm] : D.Vms_)
    checkDeclared(D.Zones_, Vm.Zone_, "zone", sectionOf("vm", Id), "zone",
                  Report);
  for (const LinkDecl &L : D.Links_) {
    checkDeclared(D.Regions_, L.From_, "region", sectionOf(L), "", Report);
    checkDeclared(D.Regions_, L.To_, "region", sectionOf(L), "", Report);
  }
  for (const auto &[Id, Service] : D.Services_)
    checkDeclared(D.Profiles_, Service.Profile_, "profile",
                  sectionOf("service", Id), "profile", Report);
  for (const RouteDecl &R : D.Routes_)
    checkDeclared(D.Services_, R.Service_, "service", "route." + R.Name_,
                  "service", Report);
  for (const auto &[Id, Key] : D.Keys_)
    checkDeclared(D.Teams_, Key.Team_, "team", sectionOf("key", Id), "team",
                  Report);
  for (const BlockDecl &B : D.Blocks_)
    checkDeclared(D.Zones_, B.Zone_, "zone", "block." + B.Name_, "zone",
                  Report);
  checkProfileReferences(D, Report);
}

void checkConsistency(const Declarations &D, DiagnosticReporter &Report) {
  checkFleet(D, Report);
  checkTopology(D, Report);
  checkDrains(D, Report);
  checkAddresses(D, Report);
  checkLinks(D, Report);
  checkRoutes(D, Report);
  checkProfiles(D, Report);
  checkBlocks(D, Report);
}

} // namespace lagoonpoint::internal
