#include "lagoonpoint/src/Config/util/DeclarationSections.h"

#include <algorithm>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t HashDigits = 64;

bool isHexDigit(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
}

std::string checkHash(const std::string &Text) {
  bool Good = Text.size() == HashDigits &&
              std::all_of(Text.begin(), Text.end(), isHexDigit);
  return Good ? "" : "hash is not 64 lower-case hex digits";
}

std::string checkSalt(const std::string &Text) {
  return isId(Text) ? "" : "salt is not 1 to 63 letters, digits, '-' or '_'";
}

std::string checkPrefix(const std::string &Text) {
  if (Text.empty() || Text.front() != '/')
    return "prefix does not start with '/'";
  if (Text.find_first_of(" \t?#%") != std::string::npos)
    return "prefix contains a blank, '?', '#' or '%'";
  if (Text == "/v1" || Text.starts_with("/v1/"))
    return "prefixes under /v1 are reserved for look-ups";
  return "";
}

std::string checkCidr(const std::string &Text) {
  return normalizedCidr(Text) ? ""
                              : "'" + Text +
                                    "' is not an address block with zero host "
                                    "bits, such as 10.1.0.0/16";
}

} // namespace

const SectionSpec<FleetDecl> &fleetSection() {
  using D = FleetDecl;
  static const SectionSpec<D> Spec{
      "fleet",
      {rangedKey("lookup_ttl", "5s", DurationUnit, &D::LookupTtl_, "500ms",
                 "1m"),
       rangedKey("results_kept", "10m", DurationUnit, &D::ResultsKept_, "0s",
                 "24h"),
       rangedKey("lease_length", "3s", DurationUnit, &D::LeaseLength_, "500ms",
                 "30s"),
       rangedKey("floor_share", "30%", ShareUnit, &D::FloorShare_, "0", "1"),
       rangedKey("retry_budget", "10%", ShareUnit, &D::RetryBudget_, "0",
                 "1")}};
  return Spec;
}

const SectionSpec<RegionDecl> &regionSection() {
  using D = RegionDecl;
  static const SectionSpec<D> Spec{
      "region.ID",
      {rangedKey("capacity", Required, RateUnit, &D::Capacity_, "0.01/s",
                 "10000000/s"),
       plainKey("drained", "false", BoolUnit, &D::Drained_)}};
  return Spec;
}

const SectionSpec<ZoneDecl> &zoneSection() {
  using D = ZoneDecl;
  static const SectionSpec<D> Spec{
      "zone.ID",
      {idKey("region", Required, &D::Region_),
       plainKey("drained", "false", BoolUnit, &D::Drained_)}};
  return Spec;
}

const SectionSpec<VmDecl> &vmSection() {
  using D = VmDecl;
  static const SectionSpec<D> Spec{
      "vm.ID",
      {idKey("zone", Required, &D::Zone_),
       plainKey("callers", Required, AddressUnit, &D::Callers_),
       plainKey("upstreams", Required, AddressUnit, &D::Upstreams_),
       plainKey("operators", Required, AddressUnit, &D::Operators_),
       plainKey("peers", Required, AddressUnit, &D::Peers_),
       plainKey("entry", "true", BoolUnit, &D::Entry_),
       plainKey("disk", "false", BoolUnit, &D::Disk_),
       plainKey("drained", "false", BoolUnit, &D::Drained_)}};
  return Spec;
}

const SectionSpec<LinkDecl> &linkSection() {
  using D = LinkDecl;
  static const SectionSpec<D> Spec{
      "link.FROM.TO",
      {rangedKey("cap", Required, BandwidthUnit, &D::Cap_, "1kbit/s",
                 "10000Gbit/s"),
       rangedKey("price", "0c/GB", PriceUnit, &D::Price_, "0c/GB",
                 "100000c/GB"),
       rangedKey("latency", Required, DurationUnit, &D::Latency_, "0ms",
                 "10s")}};
  return Spec;
}

const SectionSpec<ServiceDecl> &serviceSection() {
  using D = ServiceDecl;
  static const SectionSpec<D> Spec{
      "service.ID",
      {idKey("profile", Required, &D::Profile_),
       textKey("announce_salt", Required, &D::AnnounceSalt_,
               "letters, digits, - and _", checkSalt),
       textKey("announce_hash", Required, &D::AnnounceHash_, "64 hex digits",
               checkHash),
       rangedKey("slow_start", "30s", DurationUnit, &D::SlowStart_, "0s",
                 "1h")}};
  return Spec;
}

const SectionSpec<RouteDecl> &routeSection() {
  using D = RouteDecl;
  static const SectionSpec<D> Spec{
      "route.NAME",
      {textKey("prefix", Required, &D::Prefix_, "starts with /, not /v1",
               checkPrefix),
       idKey("service", Required, &D::Service_),
       plainKey("open", "false", BoolUnit, &D::Open_),
       choiceKey<D, RouteKind>("kind", "plain", &D::Kind_,
                               {{"plain", RouteKind::Plain},
                                {"repeatable", RouteKind::Repeatable},
                                {"once", RouteKind::Once}}),
       rangedKey("deadline", "5s", DurationUnit, &D::Deadline_, "1ms", "10m"),
       rangedKey("max_deadline", "30s", DurationUnit, &D::MaxDeadline_, "1ms",
                 "10m")}};
  return Spec;
}

const SectionSpec<TeamDecl> &teamSection() {
  using D = TeamDecl;
  static const SectionSpec<D> Spec{
      "team.ID",
      {rangedKey("rate", Required, RateUnit, &D::Rate_, "0.01/s", "1000000/s"),
       rangedKey("burst", Required, CountUnit, &D::Burst_, "1", "10000000"),
       rangedKey("weight", "1", CountUnit, &D::Weight_, "1", "1000"),
       rangedKey("cut_off_keys_for", "1h", DurationUnit, &D::CutOffKeysFor_,
                 "0s", "168h")}};
  return Spec;
}

const SectionSpec<KeyDecl> &keySection() {
  using D = KeyDecl;
  static const SectionSpec<D> Spec{
      "key.ID",
      {idKey("team", Required, &D::Team_),
       textKey("salt", Required, &D::Salt_, "letters, digits, - and _",
               checkSalt),
       textKey("hash", Required, &D::Hash_, "64 hex digits", checkHash)}};
  return Spec;
}

const SectionSpec<ProfileDecl> &profileSection() {
  using D = ProfileDecl;
  static const SectionSpec<D> Spec{
      "profile.ID",
      {choiceKey<D, Objective>("objective", "nearest", &D::Objective_,
                               {{"nearest", Objective::Nearest},
                                {"cheapest", Objective::Cheapest},
                                {"spread", Objective::Spread}}),
       idListKey("allowed", "none", &D::Allowed_),
       idListKey("fallback", "none", &D::Fallback_),
       idListKey("avoid", "none", &D::Avoid_),
       rangedKey("shift_cap", "10%", ShareUnit, &D::ShiftCap_, "0.1%", "100%"),
       rangedKey("shift_every", "10s", DurationUnit, &D::ShiftEvery_, "500ms",
                 "1h")}};
  return Spec;
}

const SectionSpec<BlockDecl> &blockSection() {
  using D = BlockDecl;
  static const SectionSpec<D> Spec{
      "block.NAME",
      {textKey("cidr", Required, &D::Cidr_, "such as 10.1.0.0/16", checkCidr),
       idKey("zone", Required, &D::Zone_)}};
  return Spec;
}

} // namespace lagoonpoint::internal
