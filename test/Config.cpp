#include "lagoonpoint/Config"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace lagoonpoint;

namespace {

std::string fileText(const std::filesystem::path &Path) {
  std::ifstream In(Path);
  REQUIRE(In);
  return {std::istreambuf_iterator<char>(In), {}};
}

std::string joinMessages(const Diagnostics &Errors) {
  std::string Out;
  for (const Diagnostic &D : Errors)
    Out += toString(D) + "\n";
  return Out;
}

Diagnostics check(const std::string &Text, bool IsSettings) {
  Diagnostics Errors;
  if (IsSettings)
    parseSettings(Text, "f", Errors);
  else
    parseDeclarations(Text, "f", Errors);
  return Errors;
}

/// An edit of a valid file that makes it invalid, and where the error must be.
struct InvalidEdit {
  const char *From_; ///< replaced at its first occurrence; empty: append To_
  const char *To_;
  const char *Section_;
  const char *Key_;
};

std::string applyEdit(std::string Text, const InvalidEdit &Edit) {
  if (!*Edit.From_)
    return Text + Edit.To_;
  std::size_t At = Text.find(Edit.From_);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, std::string(Edit.From_).size(), Edit.To_);
}

bool hasErrorAt(const Diagnostics &Errors, const InvalidEdit &Edit) {
  return std::any_of(Errors.begin(), Errors.end(), [&](const Diagnostic &D) {
    return D.Section_ == Edit.Section_ && D.Key_ == Edit.Key_;
  });
}

const std::vector<InvalidEdit> InvalidSettingsEdits{
    {"[vm]", "[vn]", "vn", ""},
    {"id = e1", "id = e.1", "vm", "id"},
    {"id = e1", "", "vm", "id"},
    {"entry = true", "entry = yes", "vm", "entry"},
    {"entry = true", "entree = true", "vm", "entree"},
    {"entry = true", "ENTRY = true", "vm", "ENTRY"},
    {"voter = true", "voter = false", "vm", "voter"},
    {"voters = e1, e2, e3", "voters = e2", "vm", "voter"},
    {"voters = e1, e2, e3", "voters = e1, e2", "cluster", "voters"},
    {"voters = e1, e2, e3", "voters = e1, e2, e4", "cluster", "voters"},
    {"voters = e1, e2, e3", "voters = e1, e1, e2", "cluster", "voters"},
    {"voters = e1, e2, e3", "voters = e1,, e2", "cluster", "voters"},
    {"folder = run/e1", "", "data", "folder"},
    {":7111", ":7110", "listen", "upstreams"},
    {":7110", ":0", "listen", "callers"},
    {"127.0.0.1:7110", "localhost:7110", "listen", "callers"},
    {":7123", ":7113", "peer.e2", "peers"},
    {":7133", ":7123", "peer.e3", "peers"},
    {"[peer.e2]", "[peer]", "peer", ""},
    {"[peer.e2]", "[peer.e2.x]", "peer.e2.x", ""},
    {"[peer.e2]", "[peer.e1]", "peer.e1", ""},
    {"[peer.e3]", "[peer.e2]", "peer.e2", ""},
    {"secret = local-cluster-secret", "secret = short", "cluster", "secret"},
    {"level = info", "level = loud", "log", "level"},
    {"", "[limits]\ncaller_threads = 0", "limits", "caller_threads"},
    {"", "[limits]\nmax_body_bytes = 4MB", "limits", "max_body_bytes"},
    {"", "[limits]\nidle_timeout = 5", "limits", "idle_timeout"},
    {"", "[limits]\nidle_timeout = 1.0001s", "limits", "idle_timeout"},
    {"", "level = info", "log", "level"},
    {"", "LEVEL = info", "log", "LEVEL"},
    {"", "stray", "log", ""},
    {"", "[log", "", ""},
    {"[vm]", "x = 1\n[vm]", "", "x"},
};

const std::vector<InvalidEdit> InvalidDeclarationEdits{
    {"[fleet]", "[flet]", "flet", ""},
    {"lookup_ttl = 5s", "lookup_ttl = 2s", "fleet", "lookup_ttl"},
    {"results_kept = 10m", "results_kept = 0s", "fleet", "results_kept"},
    {"floor_share = 30%", "floor_share = 130%", "fleet", "floor_share"},
    {"floor_share = 30%", "floor_share = nan", "fleet", "floor_share"},
    {"floor_share = 30%", "floor_share = -1%", "fleet", "floor_share"},
    {"capacity = 600/s", "capacity = 600", "region.north", "capacity"},
    {"capacity = 600/s", "capacity = 0/s", "region.north", "capacity"},
    {"", "[region.west]\ncapacity = 1/s", "region.west", ""},
    {"", "[zone.south-b]\nregion = south", "zone.south-b", ""},
    {"region = north", "region = nord", "zone.north-a", "region"},
    {"zone = north-a", "zone = north-c", "vm.e1", "zone"},
    {"zone = north-a", "zone = north-b", "zone.north-a", ""},
    {":7121", ":7110", "vm.e2", "upstreams"},
    {"[link.north.south]", "[link.north]", "link.north", ""},
    {"[link.north.south]", "[link.south.south]", "link.south.south", ""},
    {"[link.north.south]", "[link.east.south]", "link.east.south", ""},
    {"cap = 100Mbit/s", "cap = 100MB/s", "link.north.south", "cap"},
    {"price = 3c/GB", "price = 3", "link.north.south", "price"},
    {"latency = 1ms", "", "link.north.south", "latency"},
    {"profile = nearest-first", "profile = farthest", "service.tag-register",
     "profile"},
    {"announce_hash = ", "announce_hash = 0", "service.tag-register",
     "announce_hash"},
    {"announce_salt = ", "announce_salt = $ ", "service.tag-register",
     "announce_salt"},
    {"prefix = /ledger", "prefix = /register", "route.ledger", "prefix"},
    {"prefix = /ledger", "prefix = /v1/x", "route.ledger", "prefix"},
    {"prefix = /ledger", "prefix = ledger", "route.ledger", "prefix"},
    {"service = grazing-ledger", "service = x", "route.ledger", "service"},
    {"kind = plain", "kind = twice", "route.ledger", "kind"},
    {"kind = plain", "deadline = 10s\nmax_deadline = 5s", "route.ledger",
     "max_deadline"},
    {"rate = 200/s", "rate = 200/h", "team.rangers", "rate"},
    {"burst = 100", "burst = 0", "team.rangers", "burst"},
    {"burst = 100", "burst = 1.5", "team.rangers", "burst"},
    {"weight = 2", "weight = -2", "team.rangers", "weight"},
    {"team = agents", "team = agent", "key.agents-1", "team"},
    {"[key.agents-1]", "[key.rangers-1]", "key.rangers-1", ""},
    {"[key.agents-1]", "[key.RANGERS-1]", "key.RANGERS-1", ""},
    {"shift_cap = 10%", "shift_cap = 0", "profile.nearest-first", "shift_cap"},
    {"shift_cap = 10%", "shift_cap = 1.1", "profile.nearest-first",
     "shift_cap"},
    {"shift_every = 10s", "shift_every = 4s", "profile.nearest-first",
     "shift_every"},
    {"objective = nearest", "allowed = south\navoid = south",
     "profile.nearest-first", "allowed"},
    {"objective = nearest", "avoid = south, north", "profile.nearest-first",
     "avoid"},
    {"objective = nearest", "allowed = south\nfallback = north",
     "profile.nearest-first", "fallback"},
    {"objective = nearest", "allowed = east", "profile.nearest-first",
     "allowed"},
    {"cidr = 127.0.2.0/24", "cidr = 127.0.3.0/24", "block.loopback-south-a",
     "cidr"},
    {"cidr = 127.0.2.0/24", "cidr = 127.0.2.1/24", "block.loopback-north-b",
     "cidr"},
    {"cidr = 127.0.2.0/24", "cidr = 127.0.2.0/33", "block.loopback-north-b",
     "cidr"},
    {"zone = north-b\n\n[block", "zone = x\n\n[block", "block.loopback-north-b",
     "zone"},
};

void checkEditsAreReported(const std::string &ValidText, bool IsSettings,
                           const std::vector<InvalidEdit> &Edits) {
  CHECK(joinMessages(check(ValidText, IsSettings)) == "");
  for (const InvalidEdit &Edit : Edits) {
    Diagnostics Errors = check(applyEdit(ValidText, Edit), IsSettings);
    INFO("'" << Edit.From_ << "' -> '" << Edit.To_ << "'\n"
             << joinMessages(Errors));
    CHECK(hasErrorAt(Errors, Edit));
    for (const Diagnostic &D : Errors)
      CHECK(!D.Message_.empty());
  }
}

/// Deletes, copies, overwrites or inserts characters at random.
std::string mutateText(std::string Text, std::mt19937_64 &Random) {
  for (int Round = 0; Round < 4; ++Round) {
    std::size_t At = Random() % Text.size();
    std::size_t Length = Random() % std::min<std::size_t>(40, Text.size() - At);
    switch (Random() % 4) {
    case 0:
      Text.erase(At, Length);
      break;
    case 1:
      Text.insert(Random() % Text.size(), Text.substr(At, Length));
      break;
    case 2:
      Text[At] = static_cast<char>(Random());
      break;
    default:
      Text.insert(At, 1, "[]=;#\n\r.%/"[Random() % 10]);
    }
    if (Text.empty())
      Text = "\n";
  }
  return Text;
}

/// \returns the text with one of its `key = value` lines repeated.
std::string withRepeatedKey(const std::string &Text, std::size_t EntryIndex) {
  std::istringstream In(Text);
  std::vector<std::string> Lines;
  std::vector<std::size_t> Entries;
  for (std::string Line; std::getline(In, Line);) {
    if (Line.find('=') != std::string::npos && Line[0] != '#')
      Entries.push_back(Lines.size());
    Lines.push_back(Line);
  }
  std::size_t At = Entries[EntryIndex % Entries.size()];
  Lines.insert(Lines.begin() + static_cast<long>(At) + 1, Lines[At]);
  std::string Out;
  for (const std::string &Line : Lines)
    Out += Line + "\n";
  return Out;
}

/// \returns the rows "`key` | unit | range | default" below the "`[section]`"
/// headings of a page.
std::set<std::string> documentedKeys(const std::string &Page) {
  std::set<std::string> Out;
  std::istringstream In(Page);
  std::string Section;
  std::smatch Found;
  static const std::regex Heading("### `\\[(.+)\\]`.*");
  static const std::regex Row(
      "\\| `(\\w+)` \\| ([^|]*) \\| ([^|]*) \\| ([^|]*) \\|.*");
  for (std::string Line; std::getline(In, Line);) {
    if (std::regex_match(Line, Found, Heading))
      Section = Found[1];
    else if (std::regex_match(Line, Found, Row))
      Out.insert(Section + "|" + Found[1].str() + "|" + Found[2].str() + "|" +
                 Found[3].str() + "|" + Found[4].str());
  }
  return Out;
}

std::set<std::string> knownKeys() {
  std::set<std::string> Out;
  std::vector<ConfigKeyInfo> All = settingsKeys();
  for (const ConfigKeyInfo &K : declarationsKeys())
    All.push_back(K);
  for (const ConfigKeyInfo &K : All)
    Out.insert(K.Section_ + "|" + K.Key_ + "|" + K.Unit_ + "|" +
               (K.Range_.empty() ? "any" : K.Range_) + "|" + K.Default_);
  return Out;
}

} // namespace

TEST_CASE("Every example file is accepted") {
  std::size_t Files = 0;
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator("deploy")) {
    if (Entry.path().extension() != ".ini")
      continue;
    ++Files;
    bool IsSettings = Entry.path().filename() != "declarations.ini";
    INFO(Entry.path());
    CHECK(joinMessages(check(fileText(Entry.path()), IsSettings)) == "");
  }
  CHECK(Files == 10);
}

TEST_CASE("Values are parsed into their types") {
  Diagnostics Errors;
  Declarations D =
      parseDeclarations(fileText("deploy/local/declarations.ini"), "d", Errors);
  Settings S = parseSettings(fileText("deploy/local/e1.ini"), "s", Errors);
  REQUIRE(joinMessages(Errors) == "");
  CHECK(D.Fleet_.LookupTtl_ == Duration::seconds(5));
  CHECK(D.Fleet_.FloorShare_ == Approx(0.3));
  CHECK(D.Regions_.at(RegionId("north")).Capacity_ == Rate(600));
  CHECK(D.Links_.at(0).Cap_ == Bandwidth(12.5e6));
  CHECK(D.Links_.at(0).Price_ == Price(3));
  CHECK(D.Vms_.at(VmId("e2")).Peers_ == Address{"127.0.0.1", 7123});
  CHECK(D.Routes_.at(1).Kind_ == RouteKind::Once);
  CHECK(D.Teams_.at(TeamId("rangers")).Burst_ == 100);
  CHECK(D.Profiles_.at(ProfileId("drain-the-south")).Avoid_ ==
        std::vector{RegionId("south")});
  CHECK(S.InitialVoters_.size() == 3);
  CHECK(S.Voter_);
  CHECK(toString(S.Callers_) == "127.0.0.1:7110");
  CHECK(toString(Address{"::1", 80}) == "[::1]:80");
}

TEST_CASE("A missing section or key gives the default of the struct's member") {
  Diagnostics Errors;
  Declarations D = parseDeclarations("[fleet]\n", "d", Errors);
  CHECK(D.Fleet_.LookupTtl_ == FleetDecl().LookupTtl_);
  CHECK(D.Fleet_.ResultsKept_ == FleetDecl().ResultsKept_);
  CHECK(D.Fleet_.LeaseLength_ == FleetDecl().LeaseLength_);
  CHECK(D.Fleet_.FloorShare_ == Approx(FleetDecl().FloorShare_));
  CHECK(D.Fleet_.RetryBudget_ == Approx(FleetDecl().RetryBudget_));
  Settings S = parseSettings("", "s", Errors);
  CHECK(S.MaxBodyBytes_ == Settings().MaxBodyBytes_);
  CHECK(S.MaxHeaderBytes_ == Settings().MaxHeaderBytes_);
  CHECK(S.CallerThreads_ == Settings().CallerThreads_);
  CHECK(S.DrainLimit_ == Settings().DrainLimit_);
}

TEST_CASE("An invalid file is reported with section and key") {
  SECTION("settings") {
    checkEditsAreReported(fileText("deploy/local/e1.ini"), true,
                          InvalidSettingsEdits);
  }
  SECTION("declarations") {
    checkEditsAreReported(fileText("deploy/local/declarations.ini"), false,
                          InvalidDeclarationEdits);
  }
  SECTION("declarations with every region drained") {
    std::string Text =
        std::regex_replace(fileText("deploy/local/declarations.ini"),
                           std::regex("drained = false"), "drained = true");
    CHECK(hasErrorAt(check(Text, false), {"", "", "region.north", "drained"}));
  }
  SECTION("the line is reported, and comments are not part of values") {
    Diagnostics Errors = check("# c\n[team.t]\nrate = 5/s # five\nburst = x;y\n"
                               "weight = 1 ; one\n",
                               false);
    CHECK(hasErrorAt(Errors, {"", "", "team.t", "burst"}));
    CHECK(!hasErrorAt(Errors, {"", "", "team.t", "rate"}));
    CHECK(!hasErrorAt(Errors, {"", "", "team.t", "weight"}));
    for (const Diagnostic &D : Errors)
      if (D.Section_ == "team.t")
        CHECK(toString(D) == "f:4: [team.t] burst: 'x;y' is not a valid count");
  }
}

TEST_CASE("Mutated text does not crash and a repeated key is reported") {
  std::mt19937_64 Random(20261204);
  for (bool IsSettings : {true, false}) {
    std::string ValidText = fileText(
        IsSettings ? "deploy/local/e1.ini" : "deploy/local/declarations.ini");
    for (int Run = 0; Run < 1000; ++Run)
      check(mutateText(ValidText, Random), IsSettings);
    for (int Run = 0; Run < 100; ++Run) {
      std::string WithRepeat = withRepeatedKey(ValidText, Random());
      CHECK(!check(WithRepeat, IsSettings).empty());
    }
  }
}

TEST_CASE("The reference page lists exactly the keys that are parsed") {
  CHECK(documentedKeys(fileText("docs/CONFIGURATION.md")) == knownKeys());
}

TEST_CASE("Fleet settings are parsed and checked") {
  const std::string Entry =
      "[vm]\nname = e1\nhost = 10.0.0.1\nregion = north\n"
      "zone = north-a\ncore = false\nfolder =\n[listen]\n"
      "callers = 10.0.0.1:80\nreadiness = 10.0.0.1:81\n"
      "peer_port = 7560\n[fleet]\n"
      "seeds = 10.0.0.2:90,10.0.0.3:90\n"
      "zones = north-a:north,south-a:south\n"
      "secret = sixteen-characters\n[bounds]\n"
      "revoke = 5000ms\nretry_slack = 62\nquota_slack =\n";
  auto Read = [](const std::string &Text, Diagnostics &Errors) {
    return parseFleetSettings(Text, "boot.ini", Errors);
  };
  auto Replaced = [&](const std::string &Old, const std::string &New) {
    std::string Text = Entry;
    return Text.replace(Text.find(Old), Old.size(), New);
  };
  Diagnostics Errors;
  FleetSettings S = Read(Entry, Errors);
  REQUIRE(Errors.empty());
  CHECK(S.Seeds_.size() == 2);
  CHECK(S.Zones_.at(ZoneId("south-a")) == RegionId("south"));
  CHECK(S.Revoke_ == Duration::seconds(5));
  CHECK(S.RetrySlack_ == 62);

  SECTION("a missing or empty value has its default") {
    CHECK(S.QuotaSlack_ == 0);
    CHECK(S.StrictRevocation_);
    CHECK(S.Placement_ == PlacementMode::Off);
    CHECK(S.LoadSharing_ == PlacementMode::Off);
    CHECK(S.ReturnTimes_ == PlacementMode::Off);
    CHECK(S.ConcurrencyLimits_ == PlacementMode::Off);
    CHECK(S.PoolSlots_ == 48);
    CHECK(S.Terms_.empty());
  }
  SECTION("terms are any words") {
    Diagnostics Found;
    FleetSettings T = Read(
        Replaced("[bounds]\n",
                 "terms = pressure, [x y]\n[placement]\n"
                 "mode = auto\nload_sharing = auto\n"
                 "pool_slots = 4096\n[refusals]\n"
                 "return_times = on\nconcurrency_limits = auto\n[bounds]\n"),
        Found);
    CHECK(Found.empty());
    CHECK(T.Terms_ == std::vector<std::string>{"pressure", "[x", "y]"});
    CHECK(T.Placement_ == PlacementMode::Auto);
    CHECK(T.LoadSharing_ == PlacementMode::Auto);
    CHECK(T.ReturnTimes_ == PlacementMode::On);
    CHECK(T.ConcurrencyLimits_ == PlacementMode::Auto);
    CHECK(T.PoolSlots_ == 4096);
  }
  SECTION("a missing, unknown or malformed key is named") {
    for (auto [Old, New, Key] :
         {std::tuple("host = 10.0.0.1\n", "", "host"),
          std::tuple("callers = 10.0.0.1:80\n", "", "callers"),
          std::tuple("peer_port = 7560", "peer_port = many", "peer_port"),
          std::tuple("north-a:north", "north-a", "zones"),
          std::tuple("10.0.0.2:90", "10.0.0.2", "seeds"),
          std::tuple("revoke = 5000ms", "revoke = 5", "revoke"),
          std::tuple("retry_slack = 62", "retry_slack = -1", "retry_slack"),
          std::tuple("[bounds]\n", "[bounds]\nspeed = 3\n", "speed"),
          std::tuple("[bounds]\n", "[placement]\nmode = both\n[bounds]\n",
                     "mode"),
          std::tuple("[bounds]\n", "[placement]\nload_sharing = 1\n[bounds]\n",
                     "load_sharing"),
          std::tuple("[bounds]\n",
                     "[refusals]\nreturn_times = 300ms\n[bounds]\n",
                     "return_times"),
          std::tuple("[bounds]\n", "[placement]\npool_slots = 0\n[bounds]\n",
                     "pool_slots")}) {
      Diagnostics Found;
      Read(Replaced(Old, New), Found);
      REQUIRE_FALSE(Found.empty());
      CHECK_THAT(toString(Found.front()), Catch::Contains(Key));
    }
  }
  SECTION("a core VM needs a folder and its listeners") {
    Diagnostics Found;
    Read(Replaced("core = false", "core = true"), Found);
    CHECK(Found.size() == 3);
  }
}
