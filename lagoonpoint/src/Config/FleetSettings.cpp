#include "lagoonpoint/src/Config/FleetSettings.h"

#include "lagoonpoint/src/Config/util/KeySpec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <sstream>

namespace lagoonpoint {

namespace {

using namespace internal;
using S = FleetSettings;

std::optional<double> parseNumber(const std::string &Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Last != End || !std::isfinite(Value) || Value < 0)
    return {};
  return Value;
}

const UnitSpec<double> NumberUnit{"number", parseNumber};

std::string acceptAnyText(const std::string &) { return ""; }

std::string checkAddress(const std::string &Text) {
  return Text.empty() || parseSocketAddress(Text) ? ""
                                                  : malformed(Text, "address");
}

KeySpec<S> addressKey(const char *Key, std::string S::*Member) {
  return textKey(Key, "none", Member, "address", checkAddress);
}

KeySpec<S> seedsKey() {
  return {{"", "seeds", "list of addresses", "", Required},
          [](S &Target, const std::string &Text) -> std::string {
            auto Words = parseList(Text);
            if (!Words)
              return malformed(Text, "list of addresses");
            for (const std::string &Word : *Words)
              if (!parseSocketAddress(Word))
                return malformed(Word, "address");
            Target.Seeds_ = *Words;
            return "";
          }};
}

KeySpec<S> zonesKey() {
  return {{"", "zones", "list of ZONE:REGION", "", Required},
          [](S &Target, const std::string &Text) -> std::string {
            auto Words = parseList(Text);
            if (!Words)
              return malformed(Text, "list of ZONE:REGION");
            for (const std::string &Word : *Words) {
              std::size_t Colon = Word.find(':');
              if (Colon == std::string::npos || Colon == 0 ||
                  Colon + 1 == Word.size())
                return malformed(Word, "ZONE:REGION");
              Target.Zones_[ZoneId(Word.substr(0, Colon))] =
                  RegionId(Word.substr(Colon + 1));
            }
            return "";
          }};
}

/// Accepts any text: the platform chooses it, and a term that is not
/// understood must not keep a VM from starting.
KeySpec<S> termsKey() {
  return {{"", "terms", "list of words", "", "none"},
          [](S &Target, const std::string &Text) -> std::string {
            std::string Spaced = Text;
            std::replace(Spaced.begin(), Spaced.end(), ',', ' ');
            std::istringstream Words(Spaced);
            Target.Terms_.assign(std::istream_iterator<std::string>(Words), {});
            return "";
          }};
}

const SectionSpec<S> &vmSection() {
  static const SectionSpec<S> Spec{
      "vm",
      {textKey("name", Required, &S::Name_, "", acceptAnyText),
       textKey("host", Required, &S::Host_, "IP number", acceptAnyText),
       idKey("region", Required, &S::Region_),
       idKey("zone", Required, &S::Zone_),
       plainKey("core", Required, BoolUnit, &S::Core_),
       plainKey("bootstrap", "false", BoolUnit, &S::Bootstrap_),
       textKey("folder", "none", &S::DataFolder_, "", acceptAnyText)}};
  return Spec;
}

const SectionSpec<S> &listenSection() {
  static const SectionSpec<S> Spec{
      "listen",
      {addressKey("callers", &S::Callers_),
       addressKey("readiness", &S::Readiness_),
       addressKey("control", &S::Control_),
       addressKey("directory", &S::Directory_),
       rangedKey("peer_port", Required, CountUnit, &S::PeerPort_, "1", "65535"),
       rangedKey("metrics_port", "0", CountUnit, &S::MetricsPort_, "0",
                 "65535")}};
  return Spec;
}

const SectionSpec<S> &fleetSection() {
  static const SectionSpec<S> Spec{
      "fleet",
      {seedsKey(), zonesKey(), termsKey(),
       textKey("secret", Required, &S::Secret_, "16 characters or more",
               [](const std::string &Text) -> std::string {
                 return Text.size() < 16
                            ? "secret is shorter than 16 characters"
                            : "";
               })}};
  return Spec;
}

const SectionSpec<S> &boundsSection() {
  static const SectionSpec<S> Spec{
      "bounds",
      {plainKey("announce_every", "1500ms", DurationUnit, &S::AnnounceEvery_),
       plainKey("grace", "6s", DurationUnit, &S::Grace_),
       plainKey("revoke", "5s", DurationUnit, &S::Revoke_),
       plainKey("strict_revocation", "true", BoolUnit, &S::StrictRevocation_),
       plainKey("lookup_ttl", "2s", DurationUnit, &S::LookupTtl_),
       plainKey("retry_ratio", "0.2", NumberUnit, &S::RetryRatio_),
       plainKey("retry_window", "10s", DurationUnit, &S::RetryWindow_),
       plainKey("retry_slack", "0", NumberUnit, &S::RetrySlack_),
       plainKey("quota_window", "5s", DurationUnit, &S::QuotaWindow_),
       plainKey("quota_overage", "0", NumberUnit, &S::QuotaOverage_),
       plainKey("quota_slack", "0", NumberUnit, &S::QuotaSlack_),
       plainKey("max_region_shift", "0.15", NumberUnit, &S::MaxRegionShift_)}};
  return Spec;
}

const SectionSpec<S> &fleetLogSection() {
  static const SectionSpec<S> Spec{
      "log",
      {choiceKey<S, std::string>("level", "info", &S::LogLevel_,
                                 {{"debug", "debug"},
                                  {"info", "info"},
                                  {"warning", "warning"},
                                  {"error", "error"}})}};
  return Spec;
}

const SectionSpec<S> &placementSection() {
  static const SectionSpec<S> Spec{
      "placement",
      {choiceKey<S, PlacementMode>("mode", "off", &S::Placement_,
                                   {{"off", PlacementMode::Off},
                                    {"auto", PlacementMode::Auto},
                                    {"on", PlacementMode::On}}),
       choiceKey<S, PlacementMode>("load_sharing", "off", &S::LoadSharing_,
                                   {{"off", PlacementMode::Off},
                                    {"auto", PlacementMode::Auto},
                                    {"on", PlacementMode::On}}),
       rangedKey("pool_slots", "48", CountUnit, &S::PoolSlots_, "1", "4096")}};
  return Spec;
}

const SectionSpec<S> &refusalsSection() {
  static const SectionSpec<S> Spec{
      "refusals",
      {choiceKey<S, PlacementMode>("return_times", "off", &S::ReturnTimes_,
                                   {{"off", PlacementMode::Off},
                                    {"auto", PlacementMode::Auto},
                                    {"on", PlacementMode::On}}),
       choiceKey<S, PlacementMode>("concurrency_limits", "off",
                                   &S::ConcurrencyLimits_,
                                   {{"off", PlacementMode::Off},
                                    {"auto", PlacementMode::Auto},
                                    {"on", PlacementMode::On}})}};
  return Spec;
}

std::vector<const SectionSpec<S> *> fleetSections() {
  return {&vmSection(),      &listenSection(),   &fleetSection(),
          &boundsSection(),  &fleetLogSection(), &placementSection(),
          &refusalsSection()};
}

/// Removes keys without a value: templates render absent values as empty.
void removeEmptyEntries(std::vector<IniSection> &Sections) {
  for (IniSection &Section : Sections)
    std::erase_if(Section.Entries_,
                  [](const IniEntry &E) { return E.Value_.empty(); });
}

void requireAddress(const std::string &Value, const char *Key,
                    DiagnosticReporter &Report) {
  if (Value.empty())
    Report.add("listen", Key, "required key is missing");
}

void checkRole(const S &Out, DiagnosticReporter &Report) {
  if (!Out.Core_) {
    requireAddress(Out.Callers_, "callers", Report);
    requireAddress(Out.Readiness_, "readiness", Report);
    return;
  }
  requireAddress(Out.Control_, "control", Report);
  requireAddress(Out.Directory_, "directory", Report);
  if (Out.DataFolder_.empty())
    Report.add("vm", "folder", "a core VM needs a data folder on a disk");
}

} // namespace

FleetSettings parseFleetSettings(const std::string &Text,
                                 const std::string &File, Diagnostics &Errors) {
  std::vector<IniSection> Sections = parseIni(Text, File, Errors);
  DiagnosticReporter Report(File, Sections, Errors);
  removeEmptyEntries(Sections);
  FleetSettings Out;
  std::vector<const SectionSpec<S> *> Specs = fleetSections();
  for (const SectionSpec<S> *Spec : Specs) {
    IniSection Missing{Spec->Pattern_, 0, {}};
    const IniSection *Found = &Missing;
    for (const IniSection &Section : Sections)
      if (Section.Name_ == Spec->Pattern_)
        Found = &Section;
    parseSection(*Spec, *Found, Out, Report);
  }
  checkRole(Out, Report);
  Report.sort();
  return Out;
}

} // namespace lagoonpoint
