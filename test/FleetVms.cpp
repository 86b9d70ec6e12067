#include "fakes/ScriptedUpstream.h"
#include "lagoonpoint/Fleet"
#include "lagoonpoint/Gateway"
#include "lagoonpoint/Peer"
#include "lagoonpoint/src/Gateway/PeerRegistry.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <future>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace lagoonpoint;
using Catch::Contains;
using Catch::StartsWith;
using fakes::RawSocket;
using fakes::ScriptedUpstream;

namespace {

/// Fails a test that hangs.
constexpr Duration TestTimeout = Duration::seconds(20);
constexpr Duration SubmitTimeout = Duration::seconds(2);

/// \returns false if the condition does not hold within TestTimeout.
template <class Condition> bool eventually(const Condition &Holds) {
  SystemClock C;
  Time Limit = C.now() + TestTimeout;
  while (!Holds()) {
    if (C.now() > Limit)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

/// Settings of VM number \p N, which has its own loopback address.
FleetSettings settings(int N, bool Core, const std::string &Folder) {
  FleetSettings S;
  S.Name_ = "vm" + std::to_string(N);
  S.Host_ = "127.0.21." + std::to_string(N);
  S.Region_ = RegionId("north");
  S.Zone_ = ZoneId("north-a");
  S.Zones_ = {{ZoneId("north-a"), RegionId("north")}};
  S.Core_ = Core;
  S.Bootstrap_ = true;
  S.DataFolder_ = Core ? Folder + "/" + S.Name_ : "";
  S.PeerPort_ = 17560;
  S.Seeds_ = {"127.0.21.1:1", "127.0.21.2:1", "127.0.21.3:1"};
  S.Callers_ = S.Host_ + ":17580";
  S.Secret_ = "a-secret-of-this-test";
  S.Grace_ = Duration::seconds(4);
  S.LookupTtl_ = Duration::millis(100);
  return S;
}

/// Three core VMs and an entry VM in one process.
struct TestFleet {
  explicit TestFleet(PlacementMode Mode = PlacementMode::Off) {
    for (int N = 1; N <= 3; ++N) {
      Settings_.push_back(
          std::make_unique<FleetSettings>(settings(N, true, Folder_)));
      Cores_.push_back(std::make_unique<CoreVm>(*Settings_.back()));
      Cores_.back()->start();
    }
    Settings_.push_back(
        std::make_unique<FleetSettings>(settings(4, false, Folder_)));
    Settings_.back()->Placement_ = Mode;
    startEntry();
  }
  ~TestFleet() {
    Entry_->stop();
    for (auto &Core : Cores_)
      Core->stop();
    Cores_.clear();
    std::filesystem::remove_all(Folder_);
  }

  void startEntry() {
    Dialect D;
    D.AllowsCloseDelimited_ = true;
    D.RequestLimit_ = "Server-Limit";
    D.Leaving_ = "Server-Leaving";
    D.UpstreamsPause_ = true;
    Entry_ = std::make_unique<EntryVm>(*Settings_.back(), D);
    Entry_->start();
  }

  /// Stops all VMs, then starts them: core VMs with the data folders that they
  /// had, the entry VM with nothing.
  void restartAll() {
    Entry_->stop();
    Entry_.reset();
    restartCores();
    startEntry();
  }

  /// Stops all core VMs and starts them with the data folders that they had.
  void restartCores() {
    for (auto &Core : Cores_)
      Core->stop();
    for (std::size_t N = 0; N < Cores_.size(); ++N) {
      Cores_[N].reset();
      Cores_[N] = std::make_unique<CoreVm>(*Settings_[N]);
    }
    for (auto &Core : Cores_)
      Core->start();
  }

  /// Submits a patch to one core VM, resending it until the outcome is known.
  ChangeReply apply(const ItemSet &Items, std::size_t Core = 0) {
    Change C;
    C.Kind_ = ChangeKind::PatchItems;
    C.Items_ = Items;
    ChangeReply Reply;
    REQUIRE(eventually([&] {
      try {
        Reply = Cores_[Core]->submit(C, SubmitTimeout);
        return true;
      } catch (const UnavailableError &) {
        return false;
      }
    }));
    return Reply;
  }

  /// Announces a departure until it is acknowledged, as an upstream does. Core
  /// VMs that have just started don't acknowledge one.
  void awaitDeparture(const UpstreamNotice &Notice) {
    REQUIRE(eventually([&] {
      return Cores_[0]->announce(Notice) == AnnounceResult::Accepted;
    }));
  }

  /// Sends one request to an entry VM.
  /// \returns the whole response
  std::string call(const std::string &Head, int Vm = 4) {
    RawSocket Caller("127.0.21." + std::to_string(Vm), 17580);
    Caller.send(Head + "Host: tags.example\r\nConnection: close\r\n\r\n");
    return Caller.readAll();
  }

  std::string Folder_ = std::filesystem::temp_directory_path() /
                        ("lagoonpoint-fleet-" + std::to_string(::getpid()));
  std::vector<std::unique_ptr<FleetSettings>> Settings_;
  std::vector<std::unique_ptr<CoreVm>> Cores_;
  std::unique_ptr<EntryVm> Entry_;
};

ItemSet items(std::uint64_t Version, std::vector<std::string> Keys) {
  ItemSet Out;
  VersionedItem<ServiceItem> S;
  S.Version_ = ItemVersion(1);
  S.Value_.HealthPath_ = "/health";
  Out.Services_["register"] = S;
  VersionedItem<RouteItem> R;
  R.Version_ = ItemVersion(1);
  R.Value_.Host_ = "tags.example";
  R.Value_.Prefix_ = "/tags/";
  R.Value_.Split_ = {{ServiceId("register"), 1}};
  R.Value_.Timeout_ = Duration::seconds(5);
  R.Value_.LatencyObjective_ = Duration::seconds(2);
  Out.Routes_["tags"] = R;
  VersionedItem<TeamItem> T;
  T.Version_ = ItemVersion(Version);
  T.Value_.Keys_ = std::move(Keys);
  Out.Teams_["rangers"] = T;
  return Out;
}

UpstreamNotice notice(unsigned short Port, NoticePhase Phase,
                      std::uint64_t Sequence) {
  UpstreamNotice A;
  A.Id_ = UpstreamId("i1");
  A.StartedAtMs_ = 5;
  A.Sequence_ = Sequence;
  A.Service_ = ServiceId("register");
  A.Address_ = "127.0.0.1:" + std::to_string(Port);
  A.Zone_ = ZoneId("north-a");
  A.Slots_ = 3;
  A.Phase_ = Phase;
  return A;
}

constexpr const char *UpdatesMetric = "lagoonpoint_upstream_updates_total ";

/// \returns the value of a counter without labels, 0 if it was never counted.
double counter(EntryVm &Vm, const std::string &Name) {
  std::string Text = "\n" + Vm.metrics().text();
  std::size_t At = Text.find("\n" + Name);
  return At == std::string::npos ? 0
                                 : std::stod(Text.substr(At + 1 + Name.size()));
}

} // namespace

TEST_CASE("A fleet bootstraps from its seeds and serves requests") {
  // Destroyed after the fleet, whose connections they serve.
  ScriptedUpstream Upstream([&](RawSocket &S) {
    while (!Upstream.receive(S).empty())
      S.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine");
  });
  ScriptedUpstream Slow([&](RawSocket &S) {
    while (!Slow.receive(S).empty()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2000));
      S.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow");
    }
  });
  TestFleet Fleet;
  unsigned short Port = Upstream.address().Port_;
  std::string Get = "GET /tags/7 HTTP/1.1\r\nX-Api-Key: key-one\r\n";

  // Without a configuration, an entry VM refuses calls as not run.
  CHECK_THAT(Fleet.call(Get), StartsWith("HTTP/1.1 503 ") &&
                                  Contains("\"not_ready\",\"ran\":\"no\""));
  CHECK_FALSE(Fleet.Entry_->ready());

  REQUIRE(Fleet.apply(items(1, {"key-one", "key-two"})).Verdict_ ==
          ChangeVerdict::Accepted);
  REQUIRE(eventually([&] { return Fleet.Entry_->ready(); }));
  REQUIRE(eventually([&] {
    return !Fleet.Cores_[1]
                ->lookup("tags.example", RegionId("north"), ZoneId("north-a"))
                .empty();
  }));
  REQUIRE(Fleet.Cores_[2]->announce(notice(Port, NoticePhase::Serving, 1)) ==
          AnnounceResult::Accepted);
  std::string Answer;
  CHECK(eventually([&] {
    Answer = Fleet.call(Get);
    return Answer.find("mine") != std::string::npos;
  }));
  REQUIRE_THAT(Answer, Contains("mine"));
  CHECK_THAT(Upstream.receivedBytes(), !Contains("key-one"));

  SECTION("a withdrawn key is refused and other keys keep working") {
    ItemSet Patch;
    Patch.Teams_["rangers"] = items(2, {"key-two"}).Teams_["rangers"];
    REQUIRE(Fleet.apply(Patch, 1).Verdict_ == ChangeVerdict::Accepted);
    CHECK(
        eventually([&] { return Fleet.call(Get).find("HTTP/1.1 401 ") == 0; }));
    CHECK_THAT(Fleet.call("GET /tags/7 HTTP/1.1\r\nX-Api-Key: key-two\r\n"),
               Contains("mine"));
  }
  // Guards against reading "no team left" as "no key needed".
  SECTION("the key of the last team is refused once the team is removed") {
    ItemSet Patch;
    Patch.Teams_["rangers"].Version_ = ItemVersion(2);
    Patch.Teams_["rangers"].Removed_ = true;
    REQUIRE(Fleet.apply(Patch).Verdict_ == ChangeVerdict::Accepted);
    CHECK(
        eventually([&] { return Fleet.call(Get).find("HTTP/1.1 401 ") == 0; }));
    int Before = Upstream.requests();
    CHECK_THAT(Fleet.call("GET /tags/7 HTTP/1.1\r\nX-Api-Key: nobody\r\n"),
               StartsWith("HTTP/1.1 401 "));
    CHECK_THAT(Fleet.call("GET /tags/7 HTTP/1.1\r\n"),
               StartsWith("HTTP/1.1 401 "));
    CHECK(Upstream.requests() == Before);

    Patch.Teams_["rangers"] = items(3, {"key-one"}).Teams_["rangers"];
    REQUIRE(Fleet.apply(Patch).Verdict_ == ChangeVerdict::Accepted);
    CHECK(eventually(
        [&] { return Fleet.call(Get).find("mine") != std::string::npos; }));
  }
  // Guards against reading "no region in common" as "no restriction".
  SECTION("a route and a team without a common region are served in none") {
    auto Restrict = [&](std::uint64_t Version, const char *OfRoute,
                        const char *OfTeam) {
      ItemSet Patch = items(Version, {"key-one", "key-two"});
      Patch.Routes_["tags"].Version_ = ItemVersion(Version);
      Patch.Routes_["tags"].Value_.Regions_ = {RegionId(OfRoute)};
      Patch.Teams_["rangers"].Value_.Regions_ = {RegionId(OfTeam)};
      REQUIRE(Fleet.apply(Patch).Verdict_ == ChangeVerdict::Accepted);
    };
    auto IsServed = [&] {
      return Fleet.call(Get).find("mine") != std::string::npos;
    };
    Restrict(2, "north", "south");
    CHECK(eventually([&] { return !IsServed(); }));
    int Before = Upstream.requests();
    SystemClock Clock;
    Time CalledAt = Clock.now();
    CHECK_THAT(Fleet.call(Get),
               StartsWith("HTTP/1.1 503 ") &&
                   Contains("\"no_region_allowed\",\"ran\":\"no\""));
    // Refused at once; a call that waits takes half of the objective, 1 s.
    CHECK(Clock.now() - CalledAt < Duration::millis(500));
    CHECK(Upstream.requests() == Before);

    Restrict(3, "north", "north");
    CHECK(eventually(IsServed));
  }
  SECTION("a leaving upstream gets no requests after the confirmation") {
    Fleet.awaitDeparture(notice(Port, NoticePhase::Leaving, 2));
    int Before = Upstream.requests();
    CHECK_THAT(Fleet.call(Get), StartsWith("HTTP/1.1 503 "));
    // A delayed older announcement does not bring it back.
    Fleet.Cores_[1]->announce(notice(Port, NoticePhase::Serving, 1));
    CHECK_THAT(Fleet.call(Get), StartsWith("HTTP/1.1 503 "));
    CHECK(Upstream.requests() == Before);
  }
  SECTION("an invalid patch is refused and applied items are read back") {
    ItemSet Bad;
    Bad.Routes_["tags"] = items(1, {}).Routes_["tags"];
    Bad.Routes_["tags"].Version_ = ItemVersion(5);
    Bad.Routes_["tags"].Value_.Split_ = {{ServiceId("nowhere"), 1}};
    CHECK(Fleet.apply(Bad).Verdict_ == ChangeVerdict::Invalid);
    ItemSet Read;
    REQUIRE(eventually([&] {
      try {
        Read = Fleet.Cores_[1]->readItems(SubmitTimeout);
        return true;
      } catch (const UnavailableError &) {
        return false;
      }
    }));
    CHECK(Read.Routes_["tags"].Version_ == ItemVersion(1));
    CHECK(findItem(Read.Teams_, "rangers"));
  }
  // Guards against routes that are left without their service.
  SECTION("a service is removed only once no route names it, and its upstreams "
          "may still depart") {
    ItemSet Remove;
    Remove.Services_["register"].Version_ = ItemVersion(2);
    Remove.Services_["register"].Removed_ = true;
    ChangeReply Refused = Fleet.apply(Remove, 1);
    CHECK(Refused.Verdict_ == ChangeVerdict::Invalid);
    CHECK_THAT(Refused.Message_,
               Contains("\"register\"") && Contains("route \"tags\""));
    CHECK(Fleet.Cores_[1]->acceptsService(ServiceId("register")));
    CHECK_THAT(Fleet.call(Get), Contains("mine"));

    Remove.Routes_["tags"].Version_ = ItemVersion(2);
    Remove.Routes_["tags"].Removed_ = true;
    REQUIRE(Fleet.apply(Remove, 1).Verdict_ == ChangeVerdict::Accepted);
    CHECK(
        eventually([&] { return Fleet.call(Get).find("HTTP/1.1 404 ") == 0; }));
    CHECK(Fleet.Cores_[0]->acceptsService(ServiceId("register")));
    CHECK_FALSE(Fleet.Cores_[0]->acceptsService(ServiceId("nowhere")));
    Fleet.awaitDeparture(notice(Port, NoticePhase::Leaving, 2));
  }
  SECTION("a drained zone gets no requests until the drain ends") {
    auto Drain = [&](bool On) {
      Change C;
      C.Kind_ = ChangeKind::SetDrain;
      C.Drain_ = {DrainScope::Zone, "north-a"};
      C.Drained_ = On;
      return Fleet.Cores_[0]->submit(C, SubmitTimeout).Verdict_;
    };
    REQUIRE(Drain(true) == ChangeVerdict::Accepted);
    CHECK(eventually([&] {
      return Fleet.call(Get).find("no_upstream") != std::string::npos;
    }));
    REQUIRE(Drain(false) == ChangeVerdict::Accepted);
    CHECK(eventually(
        [&] { return Fleet.call(Get).find("mine") != std::string::npos; }));
  }
  // Guards against a final refusal by items that are about to be replaced.
  SECTION(
      "without core VMs, a route or key is soon no longer refused for good") {
    std::string Unknown = "GET /nowhere/7 HTTP/1.1\r\n";
    std::string NoTeam = "GET /tags/7 HTTP/1.1\r\nX-Api-Key: nobody\r\n";
    CHECK_THAT(Fleet.call(Unknown), StartsWith("HTTP/1.1 404 "));
    CHECK_THAT(Fleet.call(NoTeam), StartsWith("HTTP/1.1 401 "));
    for (auto &Core : Fleet.Cores_)
      Core->stop();
    // Half of the time for which keys are accepted without a core VM.
    constexpr int HalfRevokeMs = 2500;
    std::this_thread::sleep_for(std::chrono::milliseconds(HalfRevokeMs));
    CHECK_THAT(Fleet.call(Unknown), StartsWith("HTTP/1.1 503 "));
    CHECK_THAT(Fleet.call(NoTeam), StartsWith("HTTP/1.1 503 "));
    CHECK_THAT(Fleet.call(Get), Contains("mine"));
  }
  SECTION("an order loses only against one that was received after it") {
    ZoneId Zone("north-a");
    bool Left = false;
    auto Order = [&](std::size_t Core, bool On) {
      return Fleet.Cores_[Core]
          ->setDrain(Zone, On, SubmitTimeout, [&] { return Left; })
          .Verdict_;
    };
    // The other replicas have yet to apply each order when the next one comes.
    for (int Round = 0; Round < 3; ++Round)
      for (std::size_t Core = 0; Core < Fleet.Cores_.size(); ++Core) {
        CHECK(Order(Core, true) == ChangeVerdict::Accepted);
        CHECK(Order(Core, false) == ChangeVerdict::Accepted);
      }
    Change Late;
    Late.Kind_ = ChangeKind::SetDrain;
    Late.Drain_ = {DrainScope::Zone, Zone.str()};
    Late.Drained_ = true;
    Late.Base_ = Revision(1);
    CHECK(Fleet.Cores_[1]->submit(Late, SubmitTimeout).Verdict_ ==
          ChangeVerdict::Conflict);
  }
  // Guards against an acknowledgement by core VMs that have not heard of any
  // entry VM yet.
  SECTION("a departure that restarted core VMs acknowledge is known to the "
          "entry VM, also after they stop") {
    Fleet.restartCores();
    Fleet.awaitDeparture(notice(Port, NoticePhase::Leaving, 2));
    for (auto &Core : Fleet.Cores_)
      Core->stop();
    int Before = Upstream.requests();
    CHECK_THAT(Fleet.call(Get), StartsWith("HTTP/1.1 503 "));
    CHECK(Upstream.requests() == Before);
  }
  // Guards against departures that are kept in the memory of processes only.
  SECTION("a departure that was acknowledged outlasts the end of all "
          "processes") {
    NoticePhase Phase = GENERATE(NoticePhase::Leaving, NoticePhase::Gone);
    INFO("phase " << static_cast<int>(Phase));
    Fleet.awaitDeparture(notice(Port, Phase, 2));
    Fleet.restartAll();
    REQUIRE(eventually([&] { return Fleet.Entry_->ready(); }));
    int Before = Upstream.requests();
    // Sent before the departure.
    Fleet.Cores_[1]->announce(notice(Port, NoticePhase::Serving, 1));
    // Longer than VMs take to tell each other of an upstream.
    constexpr int Calls = 20;
    for (int N = 0; N < Calls; ++N) {
      CHECK_THAT(Fleet.call(Get), StartsWith("HTTP/1.1 503 "));
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(Upstream.requests() == Before);
    // A later process of the same upstream is used at once.
    UpstreamNotice Restarted = notice(Port, NoticePhase::Serving, 1);
    Restarted.StartedAtMs_ = 6;
    REQUIRE(Fleet.Cores_[2]->announce(Restarted) == AnnounceResult::Accepted);
    CHECK(eventually(
        [&] { return Fleet.call(Get).find("mine") != std::string::npos; }));
  }
  // Guards against a warm-up that only entry VMs hear of which the core VM had
  // heard of before.
  SECTION(
      "a warm-up that restarted core VMs hear of is known to the entry VM") {
    ItemSet Patch = items(2, {"key-one"});
    Patch.Services_["register"].Version_ = ItemVersion(2);
    Patch.Services_["register"].Value_.WarmupRate_ = 0.1;
    REQUIRE(Fleet.apply(Patch).Verdict_ == ChangeVerdict::Accepted);
    Fleet.restartCores();
    UpstreamNotice Cold = notice(Port, NoticePhase::Serving, 2);
    Cold.WarmupLeft_ = Duration::seconds(60);
    Fleet.Cores_[0]->announce(Cold);
    CHECK(eventually([&] {
      return Fleet.call(Get).find("\"no_capacity\",\"ran\":\"no\"") !=
             std::string::npos;
    }));
  }
  // Fails if the proof that the first items are current waits for the next
  // regular heartbeat, a second later: all calls of that time were refused.
  SECTION("after a restart of all VMs, an entry VM serves calls as soon as it "
          "has items") {
    constexpr Duration ServesWithin = Duration::millis(500);
    SystemClock Clock;
    Fleet.restartCores();
    FleetSettings S = settings(5, false, Fleet.Folder_);
    EntryVm Second(S, Dialect());
    Second.start();
    Time Limit = Clock.now() + TestTimeout;
    while (!Second.ready() && Clock.now() < Limit)
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    Time ReadyAt = Clock.now();
    // An admitted call finds no upstream until the running entry VM has told
    // the restarted core VMs of it.
    CHECK(eventually([&] {
      std::string Response = Fleet.call(Get, 5);
      return Response.find("no_upstream") != std::string::npos ||
             Response.find("mine") != std::string::npos;
    }));
    CHECK(Clock.now() - ReadyAt < ServesWithin);
    Second.stop();
  }
  SECTION("a planned stop cuts no call, whenever it arrives") {
    UpstreamNotice SlowNotice =
        notice(Slow.address().Port_, NoticePhase::Serving, 1);
    SlowNotice.StartedAtMs_ = 6; // replaces the upstream above
    REQUIRE(Fleet.Cores_[2]->announce(SlowNotice) == AnnounceResult::Accepted);
    REQUIRE(eventually(
        [&] { return Fleet.call(Get).find("slow") != std::string::npos; }));
    std::thread Stop([&] {
      Fleet.Entry_->drain();
      Fleet.Entry_->stop();
    });
    auto CallAfter = [&](int Millis) {
      return std::async(std::launch::async, [&Fleet, Get, Millis] {
        std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
        return Fleet.call(Get);
      });
    };
    // The grace time is 4 s, and callers know this VM for 0.6 s of it.
    auto Early = CallAfter(400);
    auto Late = CallAfter(1200);
    CHECK_THAT(Early.get(), Contains("slow"));
    CHECK_THAT(Late.get(), StartsWith("HTTP/1.1 503 ") &&
                               Contains("\"draining\",\"ran\":\"no\""));
    Stop.join();
  }
}

TEST_CASE("Departures that come in series cost an entry VM work for each "
          "departure, not for each known upstream") {
  constexpr int Upstreams = 300;
  constexpr int Departures = 100;
  constexpr Duration RefreshInterval = Duration::millis(500); // as in EntryVm
  TestFleet Fleet;
  REQUIRE(Fleet.apply(items(1, {"key-one"})).Verdict_ ==
          ChangeVerdict::Accepted);
  auto Numbered = [](int N, NoticePhase Phase, std::uint64_t Sequence) {
    UpstreamNotice A =
        notice(static_cast<unsigned short>(N + 1), Phase, Sequence);
    A.Id_ = UpstreamId("i" + std::to_string(N));
    return A;
  };
  auto Updates = [&] { return counter(*Fleet.Entry_, UpdatesMetric); };
  for (int N = 0; N < Upstreams; ++N)
    Fleet.Cores_[0]->announce(Numbered(N, NoticePhase::Serving, 1));
  // A refresh that covers all upstreams shows that all have arrived.
  REQUIRE(eventually([&] {
    double Before = Updates();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    return Updates() - Before >= Upstreams;
  }));

  Fleet.awaitDeparture(Numbered(Upstreams - 1, NoticePhase::Leaving, 2));
  SystemClock C;
  Time StartedAt = C.now();
  double Before = Updates();
  for (int N = 0; N < Departures; ++N)
    REQUIRE(Fleet.Cores_[0]->announce(Numbered(N, NoticePhase::Leaving, 2)) ==
            AnnounceResult::Accepted);
  double Refreshes =
      (C.now() - StartedAt).inSeconds() / RefreshInterval.inSeconds() + 2;
  CHECK(Updates() - Before <= Departures + Refreshes * Upstreams);
}

TEST_CASE("An entry VM places calls by the pools that it holds itself") {
  ScriptedUpstream Upstream([&](RawSocket &S) {
    while (!Upstream.receive(S).empty())
      S.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine");
  });
  TestFleet Fleet(PlacementMode::On);
  REQUIRE(Fleet.apply(items(1, {"key-one"})).Verdict_ ==
          ChangeVerdict::Accepted);
  REQUIRE(Fleet.Cores_[0]->announce(
              notice(Upstream.address().Port_, NoticePhase::Serving, 1)) ==
          AnnounceResult::Accepted);
  // The core VM reports the ready entry VMs with its next heartbeat replies.
  CHECK(eventually([&] {
    Fleet.call("GET /tags/7 HTTP/1.1\r\nX-Api-Key: key-one\r\n");
    return counter(*Fleet.Entry_,
                   "lagoonpoint_slot_replies_total{service=\"register\","
                   "result=\"granted\"} ") >= 3;
  }));
}

TEST_CASE("An upstream that states a limit gets no more requests than that") {
  constexpr int Calls = 30;
  constexpr int Tolerated = 17; // in 4 s with a limit of 2: 1.5 * 4 * 2 + 5
  std::atomic<bool> IsLimited{true};
  auto Respond = [&](RawSocket &S) {
    std::string Limit = IsLimited ? "Server-Limit: 2\r\n" : "";
    S.send("HTTP/1.1 200 OK\r\n" + Limit + "Content-Length: 4\r\n\r\nmine");
  };
  ScriptedUpstream Upstream([&](RawSocket &S) {
    while (!Upstream.receive(S).empty())
      Respond(S);
  });
  TestFleet Fleet;
  ItemSet Items = items(1, {"key-one"});
  Items.Routes_["tags"].Value_.LatencyObjective_ = Duration::millis(400);
  REQUIRE(Fleet.apply(Items).Verdict_ == ChangeVerdict::Accepted);
  REQUIRE(eventually([&] { return Fleet.Entry_->ready(); }));
  UpstreamNotice Serving =
      notice(Upstream.address().Port_, NoticePhase::Serving, 1);
  Serving.Slots_ = Calls;
  REQUIRE(Fleet.Cores_[2]->announce(Serving) == AnnounceResult::Accepted);
  std::string Get = "GET /tags/7 HTTP/1.1\r\nX-Api-Key: key-one\r\n";
  REQUIRE(eventually(
      [&] { return Fleet.call(Get).find("mine") != std::string::npos; }));

  auto CallAtOnce = [&] {
    std::vector<std::future<std::string>> Pending;
    for (int N = 0; N < Calls; ++N)
      Pending.push_back(
          std::async(std::launch::async, [&] { return Fleet.call(Get); }));
    int Served = 0;
    for (auto &Response : Pending) {
      std::string Text = Response.get();
      bool IsServed = Text.find("mine") != std::string::npos;
      Served += IsServed;
      if (!IsServed)
        CHECK_THAT(Text, StartsWith("HTTP/1.1 503 ") &&
                             Contains("\"no_capacity\",\"ran\":\"no\""));
    }
    return Served;
  };
  int Before = Upstream.requests();
  int Served = CallAtOnce();
  CHECK(Upstream.requests() - Before <= Tolerated);
  CHECK(Upstream.requests() - Before == Served);

  SECTION("until it states none any more") {
    IsLimited = false;
    CHECK(eventually([&] { return CallAtOnce() == Calls; }));
  }
}

TEST_CASE(
    "An upstream that asks for no more requests in a response gets none") {
  std::string Head = "HTTP/1.1 200 OK\r\n";
  std::mutex Lock;
  ScriptedUpstream Upstream([&](RawSocket &S) {
    while (!Upstream.receive(S).empty()) {
      std::lock_guard Guard(Lock);
      S.send(Head + "Content-Length: 4\r\n\r\nmine");
    }
  });
  auto Respond = [&](const std::string &NewHead) {
    std::lock_guard Guard(Lock);
    Head = NewHead;
  };
  TestFleet Fleet;
  REQUIRE(Fleet.apply(items(1, {"key-one"})).Verdict_ ==
          ChangeVerdict::Accepted);
  REQUIRE(eventually([&] { return Fleet.Entry_->ready(); }));
  unsigned short Port = Upstream.address().Port_;
  REQUIRE(Fleet.Cores_[2]->announce(notice(Port, NoticePhase::Serving, 1)) ==
          AnnounceResult::Accepted);
  std::string Get = "GET /tags/7 HTTP/1.1\r\nX-Api-Key: key-one\r\n";
  auto IsServed = [&] {
    return Fleet.call(Get).find("mine") != std::string::npos;
  };
  REQUIRE(eventually(IsServed));
  auto RequestsDuringCalls = [&] {
    int Before = Upstream.requests();
    for (int N = 0; N < 3; ++N)
      CHECK_THAT(Fleet.call(Get),
                 StartsWith("HTTP/1.1 503 ") && Contains("\"ran\":\"no\""));
    return Upstream.requests() - Before;
  };

  SECTION("because it is leaving") {
    Respond("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n");
    CHECK(IsServed());
    CHECK(RequestsDuringCalls() == 0);
    Respond("HTTP/1.1 200 OK\r\n");
    Fleet.Cores_[0]->announce(notice(Port, NoticePhase::Serving, 2));
    CHECK(RequestsDuringCalls() == 0);

    UpstreamNotice Restarted = notice(Port, NoticePhase::Serving, 1);
    Restarted.StartedAtMs_ = 6;
    REQUIRE(Fleet.Cores_[0]->announce(Restarted) == AnnounceResult::Accepted);
    CHECK(eventually(IsServed));
  }
  SECTION("because it is leaving, also of the region's other entry VMs") {
    FleetSettings Other = settings(5, false, Fleet.Folder_);
    EntryVm Second(Other, Dialect());
    Second.start();
    auto IsServedBySecond = [&] {
      return Fleet.call(Get, 5).find("mine") != std::string::npos;
    };
    REQUIRE(eventually(IsServedBySecond));
    Respond("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n");
    CHECK(IsServed());
    Respond("HTTP/1.1 200 OK\r\n");
    CHECK(eventually([&] { return !IsServedBySecond(); }));
    CHECK_FALSE(IsServedBySecond());
    Second.stop();
  }
  SECTION("for some time, because it is busy, and callers hear it at once") {
    SystemClock C;
    Respond("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 3\r\n");
    CHECK_FALSE(IsServed());
    Time PausedAt = C.now();
    Respond("HTTP/1.1 200 OK\r\n");
    CHECK(RequestsDuringCalls() == 0);
    CHECK(eventually(IsServed));
    CHECK(C.now() - PausedAt >= Duration::millis(2500));
  }
  SECTION("but not because of malformed fields") {
    for (const char *Fields :
         {"Server-Leaving: true\r\n", "Server-Leaving: 0\r\n",
          "Server-Leaving: 1, 1\r\n", "Server-Limit: -3\r\n",
          "Server-Leaving: 1\r\nServer-Leaving: 1\r\n", "Server-Limit: inf\r\n",
          "Retry-After: 5\r\n"}) {
      CAPTURE(Fields);
      Respond(std::string("HTTP/1.1 200 OK\r\n") + Fields);
      CHECK(IsServed());
    }
    Respond("HTTP/1.1 200 OK\r\n");
    CHECK(IsServed());
    for (const char *Value : {"-1", "later", "nan",
                              "Sat, 05 Dec 2026 01:00:00 "
                              "GMT"}) {
      CAPTURE(Value);
      Respond(std::string("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n") +
              "Retry-After: " + Value + "\r\n");
      CHECK_FALSE(IsServed());
      Respond("HTTP/1.1 200 OK\r\n");
      CHECK(IsServed());
    }
  }
}

TEST_CASE(
    "A large update of items is sent once to an entry VM that repeats its "
    "request") {
  constexpr int Requests = 5;
  TestFleet Fleet;
  ItemSet Items = items(1, {"key-one"});
  for (int N = 0; N < 2000; ++N) {
    std::string Name = "route-" + std::to_string(N);
    Items.Routes_[Name] = Items.Routes_["tags"];
    Items.Routes_[Name].Value_.Prefix_ = "/" + Name + "/";
    Items.Routes_[Name].SourceText_ = "the operator's text";
  }
  REQUIRE(Fleet.apply(Items).Verdict_ == ChangeVerdict::Accepted);
  REQUIRE(eventually([&] { return Fleet.Entry_->ready(); }));

  // An entry VM that asks again before the update has arrived.
  const FleetSettings Own = settings(6, false, Fleet.Folder_);
  const VmId Self(Own.Host_);
  const VmId Core("127.0.21.1");
  SystemClock C;
  std::mutex Lock;
  std::vector<ItemUpdate> Updates;
  int Replies = 0;
  PeerTransport Peers(
      fleetPeerOptions(Own),
      [&](Envelope Message) {
        FleetMessage M = decodeFleetMessage(Message.Body_, Message.From_);
        std::lock_guard Guard(Lock);
        if (const auto *Update = std::get_if<ItemUpdate>(&M))
          Updates.push_back(*Update);
        Replies += std::holds_alternative<HeartbeatReply>(M);
      },
      C, [](const Error &) {});
  PeerRegistry Registry(Own, Peers);
  Peers.start();
  auto Request = [&](bool WantsItems) {
    Heartbeat H;
    H.StartedAtMs_ = 7;
    H.SentAt_ = C.now().count();
    H.WantsItems_ = WantsItems;
    H.Self_.push_back({.Vm_ = Self,
                       .Zone_ = Own.Zone_,
                       .Region_ = Own.Region_,
                       .StartedAtMs_ = 7});
    Peers.send({Self, Core, Channel::Fleet, encodeMessage(H)});
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  };
  for (int N = 0; N < Requests; ++N)
    Request(true);
  Request(false); // replied to after the updates
  REQUIRE(eventually([&] {
    std::lock_guard Guard(Lock);
    return Replies == Requests + 1;
  }));
  Peers.stop();
  REQUIRE(Updates.size() == 1);
  CHECK(Updates[0].Items_.Routes_.size() == 2001);
  CHECK(Updates[0].Items_.Routes_["route-7"].SourceText_.empty());
}
