#include "lagoonpoint/src/Config/Settings.h"

#include "lagoonpoint/src/Config/util/KeySpec.h"

#include <algorithm>
#include <set>

namespace lagoonpoint {

namespace {

using namespace internal;

constexpr std::size_t MinSecretLength = 16;

std::string checkSecret(const std::string &Text) {
  return Text.size() < MinSecretLength ? "secret is shorter than 16 characters"
                                       : "";
}

std::string acceptAnyText(const std::string &) { return ""; }

const SectionSpec<Settings> &vmSection() {
  static const SectionSpec<Settings> Spec{
      "vm",
      {idKey("id", Required, &Settings::Vm_),
       idKey("region", Required, &Settings::Region_),
       idKey("zone", Required, &Settings::Zone_),
       plainKey("entry", "true", BoolUnit, &Settings::Entry_),
       plainKey("voter", "false", BoolUnit, &Settings::Voter_)}};
  return Spec;
}

const SectionSpec<Settings> &listenSection() {
  static const SectionSpec<Settings> Spec{
      "listen",
      {plainKey("callers", Required, AddressUnit, &Settings::Callers_),
       plainKey("upstreams", Required, AddressUnit, &Settings::Upstreams_),
       plainKey("operators", Required, AddressUnit, &Settings::Operators_),
       plainKey("peers", Required, AddressUnit, &Settings::Peers_)}};
  return Spec;
}

const SectionSpec<SeedPeer> &peerSection() {
  static const SectionSpec<SeedPeer> Spec{
      "peer.ID",
      {idKey("zone", Required, &SeedPeer::Zone_),
       plainKey("peers", Required, AddressUnit, &SeedPeer::Peers_)}};
  return Spec;
}

const SectionSpec<Settings> &clusterSection() {
  static const SectionSpec<Settings> Spec{
      "cluster",
      {idListKey("voters", Required, &Settings::InitialVoters_),
       textKey("secret", Required, &Settings::ClusterSecret_,
               "16 characters or more", checkSecret),
       textKey("operator_key", Required, &Settings::OperatorKey_,
               "16 characters or more", checkSecret)}};
  return Spec;
}

const SectionSpec<Settings> &dataSection() {
  static const SectionSpec<Settings> Spec{
      "data",
      {textKey("folder", "none", &Settings::DataFolder_, "", acceptAnyText)}};
  return Spec;
}

const SectionSpec<Settings> &limitsSection() {
  using S = Settings;
  static const SectionSpec<Settings> Spec{
      "limits",
      {rangedKey("caller_threads", "64", CountUnit, &S::CallerThreads_, "1",
                 "4096"),
       rangedKey("max_caller_connections", "1000", CountUnit,
                 &S::MaxCallerConnections_, "1", "100000"),
       rangedKey("max_header_bytes", "8KiB", BytesUnit, &S::MaxHeaderBytes_,
                 "1KiB", "1MiB"),
       rangedKey("max_body_bytes", "16MiB", BytesUnit, &S::MaxBodyBytes_, "0B",
                 "1GiB"),
       rangedKey("header_timeout", "5s", DurationUnit, &S::HeaderTimeout_,
                 "100ms", "5m"),
       rangedKey("body_timeout", "30s", DurationUnit, &S::BodyTimeout_, "100ms",
                 "1h"),
       rangedKey("idle_timeout", "15s", DurationUnit, &S::IdleTimeout_, "100ms",
                 "1h"),
       rangedKey("drain_limit", "30s", DurationUnit, &S::DrainLimit_, "0s",
                 "1h")}};
  return Spec;
}

const SectionSpec<Settings> &logSection() {
  static const SectionSpec<Settings> Spec{
      "log",
      {choiceKey<Settings, std::string>("level", "info", &Settings::LogLevel_,
                                        {{"trace", "trace"},
                                         {"debug", "debug"},
                                         {"info", "info"},
                                         {"warn", "warn"},
                                         {"error", "error"}})}};
  return Spec;
}

std::vector<const SectionSpec<Settings> *> uniqueSections() {
  return {&vmSection(),   &listenSection(), &clusterSection(),
          &dataSection(), &limitsSection(), &logSection()};
}

void parseUniqueSection(const SectionSpec<Settings> &Spec,
                        const std::vector<IniSection> &Sections, Settings &Out,
                        DiagnosticReporter &Report) {
  IniSection Missing{Spec.Pattern_, 0, {}};
  auto Found =
      std::find_if(Sections.begin(), Sections.end(), [&](const IniSection &S) {
        return S.Name_ == Spec.Pattern_;
      });
  parseSection(Spec, Found == Sections.end() ? Missing : *Found, Out, Report);
}

void parseSeedPeer(const IniSection &Section, Settings &Out,
                   DiagnosticReporter &Report) {
  auto Ids = sectionIds(Section, 1, Report);
  if (!Ids)
    return;
  SeedPeer Peer;
  Peer.Vm_ = VmId(Ids->front());
  parseSection(peerSection(), Section, Peer, Report);
  Out.Seeds_.push_back(Peer);
}

bool isUniqueSection(const std::string &Name) {
  std::vector<const SectionSpec<Settings> *> All = uniqueSections();
  return std::any_of(All.begin(), All.end(),
                     [&](auto *Spec) { return Spec->Pattern_ == Name; });
}

void checkVoters(const Settings &S, DiagnosticReporter &Report) {
  const std::vector<VmId> &Voters = S.InitialVoters_;
  if (Voters.size() != 1 && Voters.size() != 3 && Voters.size() != 5)
    Report.add("cluster", "voters",
               "there must be 1, 3 or 5 voters, not " +
                   std::to_string(Voters.size()));
  for (const VmId &Voter : Voters) {
    bool IsSeed =
        std::any_of(S.Seeds_.begin(), S.Seeds_.end(),
                    [&](const SeedPeer &P) { return P.Vm_ == Voter; });
    if (Voter != S.Vm_ && !IsSeed)
      Report.add("cluster", "voters",
                 "voter '" + Voter.str() + "' has no [peer." + Voter.str() +
                     "] section");
  }
  bool Listed = std::find(Voters.begin(), Voters.end(), S.Vm_) != Voters.end();
  if (S.Voter_ && !Listed)
    Report.add("vm", "voter", "VM '" + S.Vm_.str() + "' is not in voters");
  if (!S.Voter_ && Listed)
    Report.add("vm", "voter",
               "VM '" + S.Vm_.str() + "' is in voters, but voter is false");
  if (S.Voter_ && S.DataFolder_.empty())
    Report.add("data", "folder", "a voter needs a data folder on a disk");
}

/// \returns the addresses on which the process listens, with their keys.
std::vector<std::pair<std::string, Address>> listeners(const Settings &S) {
  return {{"callers", S.Callers_},
          {"upstreams", S.Upstreams_},
          {"operators", S.Operators_},
          {"peers", S.Peers_}};
}

void checkAddresses(const Settings &S, DiagnosticReporter &Report) {
  std::set<std::string> Seen;
  for (const auto &[Key, ListenAddress] : listeners(S))
    if (ListenAddress.Port_ != 0 &&
        !Seen.insert(toString(ListenAddress)).second)
      Report.add("listen", Key,
                 "address " + toString(ListenAddress) + " is used twice");
  std::set<std::string> Peers;
  for (const SeedPeer &P : S.Seeds_) {
    std::string Section = "peer." + P.Vm_.str();
    if (P.Peers_.Port_ == 0)
      continue;
    if (!Peers.insert(toString(P.Peers_)).second)
      Report.add(Section, "peers",
                 "address " + toString(P.Peers_) + " is used twice");
    if (P.Vm_ == S.Vm_ && (P.Peers_ != S.Peers_ || P.Zone_ != S.Zone_))
      Report.add(Section, "",
                 "differs from this VM's [vm] and [listen] sections");
    if (P.Vm_ != S.Vm_ && P.Peers_ == S.Peers_)
      Report.add(Section, "peers", "address is that of this VM");
  }
}

} // namespace

std::string toString(const Address &A) {
  bool IsV6 = A.Host_.find(':') != std::string::npos;
  std::string Host = IsV6 ? "[" + A.Host_ + "]" : A.Host_;
  return Host + ":" + std::to_string(A.Port_);
}

Settings parseSettings(const std::string &Text, const std::string &File,
                       Diagnostics &Errors) {
  std::vector<IniSection> Sections = parseIni(Text, File, Errors);
  DiagnosticReporter Report(File, Sections, Errors);
  Settings Out;
  for (const SectionSpec<Settings> *Spec : uniqueSections())
    parseUniqueSection(*Spec, Sections, Out, Report);
  for (const IniSection &Section : Sections) {
    if (splitName(Section.Name_).front() == "peer")
      parseSeedPeer(Section, Out, Report);
    else if (!isUniqueSection(Section.Name_))
      Report.add(Section.Name_, "", "unknown section");
  }
  checkVoters(Out, Report);
  checkAddresses(Out, Report);
  Report.sort();
  return Out;
}

std::vector<ConfigKeyInfo> settingsKeys() {
  std::vector<ConfigKeyInfo> Out;
  for (const SectionSpec<Settings> *Spec : uniqueSections())
    appendKeys(*Spec, Out);
  appendKeys(peerSection(), Out);
  return Out;
}

} // namespace lagoonpoint
