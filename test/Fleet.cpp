#include "lagoonpoint/Fleet"

#include <catch2/catch.hpp>

#include <random>

using namespace lagoonpoint;

namespace {

constexpr Time Start = Time(100'000);
constexpr Duration MaxSilence = Duration::seconds(3);

UpstreamNotice makeNotice(const char *Id, std::uint64_t StartedAtMs,
                          std::uint64_t Seq,
                          const char *HostPort = "10.0.0.9:8080") {
  UpstreamNotice A;
  A.Id_ = UpstreamId(Id);
  A.StartedAtMs_ = StartedAtMs;
  A.Sequence_ = Seq;
  A.Service_ = ServiceId("register");
  A.Address_ = HostPort;
  A.Zone_ = ZoneId("a");
  A.Slots_ = 3;
  return A;
}

UpstreamNotice withPhase(UpstreamNotice A, NoticePhase Phase) {
  A.Phase_ = Phase;
  return A;
}

NoticePhase phaseOf(const UpstreamRegistry &Registry, const char *Id) {
  return Registry.Upstreams_.at(UpstreamId(Id)).Notice_.Phase_;
}

NodeRecord makeNode(const char *Vm, bool Core, const char *Region,
                    std::uint64_t Disk = 0) {
  NodeRecord N;
  N.Vm_ = VmId(Vm);
  N.Core_ = Core;
  N.Region_ = RegionId(Region);
  N.CallerAddress_ = std::string(Vm) + ":80";
  N.StartedAtMs_ = 7;
  N.Disk_ = DiskId(Disk);
  return N;
}

Heartbeat makeHeartbeat(const NodeRecord &N, bool Ready = true) {
  Heartbeat B;
  B.StartedAtMs_ = N.StartedAtMs_;
  B.Self_ = {N};
  B.Ready_ = Ready;
  return B;
}

VoterConfig makeVoters(std::initializer_list<int> Numbers) {
  VoterConfig C;
  for (int N : Numbers)
    C.Voters_.push_back({VmId("c" + std::to_string(N)), DiskId(N)});
  return C;
}

LogProof makeProof(int Number, std::uint64_t Last, std::uint64_t Applied,
                   const VoterConfig &Config) {
  LogProof P;
  P.Disk_ = DiskId(Number);
  P.LastIndex_ = LogIndex(Last);
  P.AppliedIndex_ = LogIndex(Applied);
  P.VoterConfigIndex_ = LogIndex(1);
  P.VoterConfig_ = {Config};
  return P;
}

} // namespace

TEST_CASE("A registry applies an upstream's announcements") {
  UpstreamRegistry Registry;
  REQUIRE(applyNotice(Registry, makeNotice("i1", 50, 3), Start));

  SECTION("a repeated announcement is no change") {
    CHECK_FALSE(applyNotice(Registry, makeNotice("i1", 50, 4), Start));
  }
  SECTION("late announcements don't revert a leaving upstream") {
    CHECK(applyNotice(Registry,
                      withPhase(makeNotice("i1", 50, 5), NoticePhase::Leaving),
                      Start));
    CHECK_FALSE(applyNotice(Registry, makeNotice("i1", 50, 6), Start));
    CHECK(phaseOf(Registry, "i1") == NoticePhase::Leaving);
    CHECK(applyNotice(Registry,
                      withPhase(makeNotice("i1", 50, 5), NoticePhase::Gone),
                      Start));
    CHECK(phaseOf(Registry, "i1") == NoticePhase::Gone);
  }
  SECTION("a restarted process replaces the earlier one of its id") {
    applyNotice(Registry, withPhase(makeNotice("i1", 50, 9), NoticePhase::Gone),
                Start);
    CHECK(applyNotice(Registry, makeNotice("i1", 60, 1), Start));
    CHECK(phaseOf(Registry, "i1") == NoticePhase::Serving);
    CHECK_FALSE(applyNotice(Registry, makeNotice("i1", 50, 10), Start));
  }
  SECTION("a newer upstream takes over an address") {
    CHECK(applyNotice(Registry, makeNotice("i2", 70, 1), Start));
    CHECK(phaseOf(Registry, "i1") == NoticePhase::Gone);
    SECTION("also if a late announcement of the older one follows") {
      applyNotice(Registry, makeNotice("i1", 50, 11), Start);
      CHECK(phaseOf(Registry, "i1") == NoticePhase::Gone);
      CHECK(phaseOf(Registry, "i2") == NoticePhase::Serving);
    }
  }
  SECTION("the remaining warm-up is forwarded") {
    UpstreamNotice Cold = makeNotice("i1", 50, 4);
    Cold.WarmupLeft_ = Duration::seconds(2);
    CHECK(applyNotice(Registry, Cold, Start));
    auto Forwarded = allNotices(Registry, Start + Duration::millis(500));
    CHECK(Forwarded.front().WarmupLeft_ == Duration::millis(1500));
    CHECK(Forwarded.front().Age_ == Duration::millis(500));
  }
  // Guards against a sighting that hides an announcement which comes later.
  SECTION("also if the sighting of an announcement arrives before it") {
    UpstreamNotice Cold = makeNotice("i1", 50, 4);
    Cold.WarmupLeft_ = Duration::seconds(2);
    Time Now = Start + Duration::millis(100);
    recordSighting(Registry, Cold.Id_, 5, Duration(), Now);
    CHECK(applyNotice(Registry, Cold, Now));
    CHECK(allNotices(Registry, Now).front().WarmupLeft_ == Cold.WarmupLeft_);
    SECTION("but a late one doesn't count as heard now") {
      Cold.Sequence_ = 5;
      applyNotice(Registry, Cold, Now);
      recordSighting(Registry, Cold.Id_, 7, Duration(),
                     Now + Duration::seconds(1));
      Cold.Sequence_ = 6;
      applyNotice(Registry, Cold, Now + Duration::seconds(9));
      expireSilent(Registry, Duration::seconds(5), Duration::seconds(60),
                   Now + Duration::seconds(9));
      CHECK(Registry.Upstreams_.at(Cold.Id_).Silent_);
    }
  }
  SECTION("an upstream that stops is silent, then removed") {
    Duration Silent = Duration::seconds(5);
    Duration Forget = Duration::seconds(60);
    recordSighting(Registry, UpstreamId("i1"), 4, Duration::millis(100),
                   Start + Duration::seconds(1));
    expireSilent(Registry, Silent, Forget, Start + Duration::millis(5800));
    CHECK_FALSE(Registry.Upstreams_.at(UpstreamId("i1")).Silent_);
    expireSilent(Registry, Silent, Forget, Start + Duration::millis(6000));
    CHECK(Registry.Upstreams_.at(UpstreamId("i1")).Silent_);
    expireSilent(Registry, Silent, Forget, Start + Duration::seconds(61));
    CHECK(Registry.Upstreams_.empty());
  }
}

TEST_CASE("Registries have equal digests whatever the order of updates") {
  UpstreamRegistry One;
  UpstreamRegistry Two;
  UpstreamNotice A = makeNotice("i1", 50, 3, "10.0.0.1:80");
  UpstreamNotice B =
      withPhase(makeNotice("i2", 50, 3, "10.0.0.2:80"), NoticePhase::Leaving);
  applyNotice(One, A, Start);
  applyNotice(One, B, Start);
  applyNotice(Two, B, Start);
  CHECK(digestOf(One) != digestOf(Two));
  applyNotice(Two, A, Start);
  CHECK(digestOf(One) == digestOf(Two));
}

TEST_CASE("An upstream is silent if all core VMs that answer report it") {
  UpstreamRegistry Registry;
  applyNotice(Registry, makeNotice("i1", 50, 3, "10.0.0.1:80"), Start);
  applyNotice(Registry, makeNotice("i2", 50, 3, "10.0.0.2:80"), Start);
  std::set<UpstreamId> One{UpstreamId("i1")};
  std::set<UpstreamId> Both{UpstreamId("i1"), UpstreamId("i2")};
  Duration Forget = Duration::seconds(120);
  Time Now = Start + Duration::seconds(100);
  auto Silent = [&](const char *Id) {
    return Registry.Upstreams_.at(UpstreamId(Id)).Silent_;
  };
  applySilentReports(Registry, {&One, &Both}, Forget, Now);
  CHECK(Silent("i1"));
  CHECK_FALSE(Silent("i2"));
  // Without an answer no upstream is silent, and none is removed early.
  applySilentReports(Registry, {}, Forget, Now);
  CHECK_FALSE(Silent("i1"));
  applySilentReports(Registry, {&Both}, Forget, Now + Duration::seconds(30));
  CHECK(Silent("i2"));
  CHECK(Registry.Upstreams_.size() == 1); // i1 was last heard from too long ago
}

TEST_CASE("Two registries are synchronized by bucket digests") {
  UpstreamRegistry One;
  UpstreamRegistry Two;
  for (int N = 0; N < 300; ++N) {
    std::string Id = "i" + std::to_string(N);
    std::string HostPort = "10.0.0." + Id;
    UpstreamNotice A = makeNotice(Id.c_str(), 50, 3, HostPort.c_str());
    applyNotice(One, A, Start);
    applyNotice(Two, A, Start);
  }
  CHECK(differingNotices(One, bucketDigests(Two), Start).empty());
  applyNotice(
      One, withPhase(makeNotice("i7", 50, 4, "10.0.0.i7"), NoticePhase::Gone),
      Start);
  applyNotice(Two, makeNotice("new", 50, 1, "10.0.1.1"), Start);
  auto Differing = differingNotices(Two, bucketDigests(One), Start);
  CHECK(Differing.size() < 40);
  auto Missing = missingNotices(One, bucketDigests(Two), Differing, Start);
  REQUIRE(Missing.size() == 1);
  CHECK(Missing.front().Id_ == UpstreamId("i7"));
  for (const UpstreamNotice &A : Differing)
    applyNotice(One, A, Start);
  for (const UpstreamNotice &A : Missing)
    applyNotice(Two, A, Start);
  CHECK(digestOf(One) == digestOf(Two));
  // An empty registry gets all announcements.
  CHECK(
      differingNotices(One, bucketDigests(UpstreamRegistry()), Start).size() ==
      301);
}

TEST_CASE("A warm-up that ends as announced is no change") {
  UpstreamRegistry Registry;
  UpstreamNotice A = makeNotice("i1", 50, 3);
  A.WarmupLeft_ = Duration::seconds(3);
  CHECK(applyNotice(Registry, A, Start));
  ++A.Sequence_;
  A.WarmupLeft_ = Duration::millis(1400);
  CHECK_FALSE(applyNotice(Registry, A, Start + Duration::millis(1500)));
  ++A.Sequence_;
  A.WarmupLeft_ = Duration();
  CHECK_FALSE(applyNotice(Registry, A, Start + Duration::millis(3000)));
  ++A.Sequence_;
  A.WarmupLeft_ = Duration::seconds(3);
  CHECK(applyNotice(Registry, A, Start + Duration::millis(4500)));
  ++A.Sequence_;
  A.WarmupLeft_ = Duration();
  CHECK(applyNotice(Registry, A, Start + Duration::millis(5000)));
}

TEST_CASE("A registry's digest is updated with each change") {
  UpstreamRegistry Registry;
  UpstreamRegistry Same;
  applyNotice(Registry, makeNotice("i1", 50, 3, "10.0.0.1:80"), Start);
  applyNotice(Registry, makeNotice("i2", 50, 3, "10.0.0.2:80"), Start);
  SECTION("when an address passes to another upstream") {
    applyNotice(Registry, makeNotice("i3", 60, 1, "10.0.0.1:80"), Start);
    for (const UpstreamNotice &A : allNotices(Registry, Start))
      applyNotice(Same, A, Start);
    CHECK(digestOf(Registry) == digestOf(Same));
  }
  SECTION("when an upstream is removed") {
    applyNotice(Registry, makeNotice("i2", 50, 4, "10.0.0.2:80"),
                Start + Duration::seconds(9));
    expireSilent(Registry, Duration::seconds(5), Duration::seconds(5),
                 Start + Duration::seconds(9));
    applyNotice(Same, makeNotice("i2", 50, 4, "10.0.0.2:80"), Start);
    CHECK(digestOf(Registry) == digestOf(Same));
  }
  // Guards against registries that differ and are not synchronized.
  SECTION("of what decisions read") {
    auto DigestOf = [](const UpstreamNotice &A) {
      UpstreamRegistry One;
      applyNotice(One, A, Start);
      return digestOf(One);
    };
    const UpstreamNotice A = makeNotice("i1", 50, 3);
    const std::uint64_t Usual = DigestOf(A);
    auto IsSeen = [&](const auto &Change) {
      UpstreamNotice Changed = A;
      Change(Changed);
      return DigestOf(Changed) != Usual;
    };
    using N = UpstreamNotice;
    CHECK(IsSeen([](N &C) { C.Id_ = UpstreamId("i2"); }));
    CHECK(IsSeen([](N &C) { C.StartedAtMs_ = 51; }));
    CHECK(IsSeen([](N &C) { C.Service_ = ServiceId("other"); }));
    CHECK(IsSeen([](N &C) { C.Address_ = "10.0.0.9:8081"; }));
    CHECK(IsSeen([](N &C) { C.Zone_ = ZoneId("b"); }));
    CHECK(IsSeen([](N &C) { C.Slots_ = 4; }));
    CHECK(IsSeen([](N &C) { C.Phase_ = NoticePhase::Leaving; }));
    CHECK(IsSeen([](N &C) { C.WarmupLeft_ = Duration::seconds(1); }));
    CHECK_FALSE(IsSeen([](N &C) { C.Sequence_ = 4; }));
  }
  SECTION("when a warm-up begins, and again when it ends") {
    std::uint64_t Warm = digestOf(Registry);
    UpstreamNotice Cold = makeNotice("i1", 50, 4, "10.0.0.1:80");
    Cold.WarmupLeft_ = Duration::seconds(2);
    applyNotice(Registry, Cold, Start);
    CHECK(digestOf(Registry) != Warm);
    Time End = Start + Cold.WarmupLeft_;
    SECTION("at a core VM") {
      expireSilent(Registry, MaxSilence, Duration::seconds(60), End);
    }
    SECTION("at an entry VM") {
      applySilentReports(Registry, {}, Duration::seconds(60), End);
    }
    CHECK(digestOf(Registry) == Warm);
  }
  SECTION("but not by a repeated announcement") {
    std::uint64_t Before = digestOf(Registry);
    applyNotice(Registry, makeNotice("i1", 50, 4, "10.0.0.1:80"), Start);
    CHECK(digestOf(Registry) == Before);
  }
}

TEST_CASE("A core VM records the heartbeats of entry VMs") {
  NodeRegistry R;
  NodeRecord E1 = makeNode("e1", false, "north");
  REQUIRE(record(R, E1.Vm_, makeHeartbeat(E1), Start) ==
          HeartbeatResult::Accepted);

  SECTION("without their records once these are known") {
    Heartbeat Short = makeHeartbeat(E1);
    Short.Self_.clear();
    CHECK(record(R, E1.Vm_, Short, Start) == HeartbeatResult::Accepted);
    Short.StartedAtMs_ = 8; // it was restarted
    CHECK(record(R, E1.Vm_, Short, Start) == HeartbeatResult::UnknownSender);
    Short.StartedAtMs_ = 6;
    CHECK(record(R, E1.Vm_, Short, Start) == HeartbeatResult::Outdated);
  }
  // Fails if a VM whose wall clock was set back is ignored after its next
  // restart, for as long as its earlier process is remembered.
  SECTION("also of a process that started earlier by its wall clock, once the "
          "later one is silent") {
    NodeRecord Restarted = E1;
    Restarted.StartedAtMs_ = E1.StartedAtMs_ - 2;
    Heartbeat Beat = makeHeartbeat(Restarted);
    CHECK(record(R, E1.Vm_, Beat, Start) == HeartbeatResult::Outdated);
    Time Silent = Start + Duration::millis(2701);
    CHECK(record(R, E1.Vm_, Beat, Silent) == HeartbeatResult::Accepted);
    CHECK(R.Nodes_[E1.Vm_].Record_.StartedAtMs_ == Restarted.StartedAtMs_);
  }
  SECTION("and directs callers to their region first") {
    NodeRecord E2 = makeNode("e2", false, "south");
    record(R, E2.Vm_, makeHeartbeat(E2), Start);
    auto Named = [&](const char *Region, std::vector<RegionId> Allowed,
                     Time Now) {
      return chooseEntries(R, {RegionId(Region), ZoneId("a"), Allowed},
                           MaxSilence, Now);
    };
    CHECK(Named("south", {}, Start) == std::vector<std::string>{"e2:80"});
    CHECK(Named("west", {RegionId("north")}, Start) ==
          std::vector<std::string>{"e1:80"});
    CHECK(Named("west", {}, Start).size() == 2);
    SECTION("unless its VMs are not ready or silent") {
      record(R, E2.Vm_, makeHeartbeat(E2, false), Start);
      CHECK(Named("south", {}, Start) == std::vector<std::string>{"e1:80"});
      CHECK(Named("south", {}, Start + Duration::seconds(4)).empty());
    }
  }
}

TEST_CASE("The voters are adapted to the live core VMs") {
  VoterConfig Config = makeVoters({1, 2, 3});
  std::vector<NodeRecord> Live{makeNode("c1", true, "r", 1),
                               makeNode("c2", true, "r", 2)};
  SECTION("no change while a voter is absent for a short time") {
    CHECK_FALSE(nextVoterRepairStep(Config, Live, {}));
  }
  SECTION("a new core VM is added") {
    Live.push_back(makeNode("c4", true, "r", 4));
    auto Step = nextVoterRepairStep(Config, Live, {});
    REQUIRE(Step);
    CHECK(Step->Add_);
    CHECK(Step->Vm_ == VmId("c4"));
    Config.Learners_.push_back(VmId("c4"));
    CHECK_FALSE(nextVoterRepairStep(Config, Live, {}));
  }
  SECTION("a voter that lost its disk is removed, then added again") {
    Live.push_back(makeNode("c3", true, "r", 33));
    auto Step = nextVoterRepairStep(Config, Live, {});
    REQUIRE(Step);
    CHECK_FALSE(Step->Add_);
    CHECK(Step->Vm_ == VmId("c3"));
    Step = nextVoterRepairStep(makeVoters({1, 2}), Live, {});
    REQUIRE(Step);
    CHECK(Step->Add_);
  }
  SECTION("a voter that was silent for long is removed") {
    SilentMember C3{VmId("c3"), ZoneId(), VoterTimeout};
    CHECK_FALSE(nextVoterRepairStep(Config, Live, {C3}));
    C3.For_ = VoterTimeout + Duration::millis(1);
    auto Step = nextVoterRepairStep(Config, Live, {C3});
    REQUIRE(Step);
    CHECK_FALSE(Step->Add_);
    CHECK(Step->Vm_ == VmId("c3"));
  }
}

TEST_CASE("Items are proven current") {
  VoterConfig Config = makeVoters({1, 2, 3, 4, 5, 6});
  TeamId Team("rangers");
  ItemFreshness C;
  C.AppliedIndex_ = LogIndex(20);
  auto Answer = [&](int Number, std::int64_t At, std::uint64_t Last,
                    std::uint64_t Applied) {
    record(C, VmId("c" + std::to_string(Number)), Time(At),
           makeProof(Number, Last, Applied, Config));
  };
  for (int Number = 1; Number <= 3; ++Number)
    Answer(Number, 1000 + Number, 20, 20);
  REQUIRE_FALSE(provenCurrentAt(C, Team));

  SECTION("by a quorum, as of its oldest request") {
    Answer(4, 900, 20, 20);
    CHECK(provenCurrentAt(C, Team) == Time(900));
    Answer(5, 1100, 20, 20);
    CHECK(provenCurrentAt(C, Team) == Time(1001));
  }
  SECTION("not by a voter with entries that this VM lacks") {
    Answer(4, 1100, 21, 21);
    CHECK_FALSE(provenCurrentAt(C, Team));
    C.AppliedIndex_ = LogIndex(21);
    CHECK(provenCurrentAt(C, Team));
  }
  SECTION("not by a core VM with another disk than the voter's") {
    LogProof Other = makeProof(44, 20, 20, Config);
    record(C, VmId("c4"), Time(1100), Other);
    CHECK_FALSE(provenCurrentAt(C, Team));
  }
  SECTION("not by the old voters once an answer refers to newer ones") {
    Answer(4, 1100, 20, 20);
    REQUIRE(provenCurrentAt(C, Team));
    LogProof Newer = makeProof(4, 20, 20, Config);
    Newer.VoterConfigIndex_ = LogIndex(19);
    Newer.VoterConfig_.clear();
    record(C, VmId("c4"), Time(1200), Newer);
    CHECK_FALSE(provenCurrentAt(C, Team));
  }
  SECTION("in a partitioned core, except for teams of uncommitted entries") {
    LogProof Tail = makeProof(4, 22, 20, Config);
    Tail.UnappliedTeams_ = {"agents"};
    record(C, VmId("c4"), Time(1100), Tail);
    CHECK(provenCurrentAt(C, Team) == Time(1001));
    CHECK_FALSE(provenCurrentAt(C, TeamId("agents")));
    SECTION("but not if the core VM has applied more entries") {
      Tail.AppliedIndex_ = LogIndex(21);
      record(C, VmId("c4"), Time(1200), Tail);
      CHECK_FALSE(provenCurrentAt(C, Team));
    }
  }
  SECTION("regardless of late answers to earlier requests") {
    Answer(4, 1100, 20, 20);
    Answer(4, 1000, 25, 25);
    CHECK(provenCurrentAt(C, Team) == Time(1001));
  }
}

TEST_CASE(
    "Fleet messages are encoded and decoded; malformed ones are refused") {
  Heartbeat B = makeHeartbeat(makeNode("e1", false, "north"));
  B.TeamRates_ = {{"rangers", 4.5}};
  FleetMessage Read = decodeFleetMessage(encodeMessage(B), VmId("e1"));
  REQUIRE(std::holds_alternative<Heartbeat>(Read));
  CHECK(std::get<Heartbeat>(Read).TeamRates_ == B.TeamRates_);
  CHECK_THROWS_AS(decodeFleetMessage("", VmId("e1")), CodecError);
  CHECK_THROWS_AS(decodeFleetMessage("\x7fxx", VmId("e1")), CodecError);
  std::string Cut = encodeMessage(B);
  Cut.pop_back();
  CHECK_THROWS_AS(decodeFleetMessage(Cut, VmId("e1")), CodecError);
}

namespace {

/// The node registry of core VM c1 in the region "north", with one entry VM and
/// other core VMs.
struct DemandFixture {
  DemandFixture() {
    receiveHeartbeat("e1", false, "north", 6, Start);
    receiveHeartbeat("c2", true, "north", 5, Start);
    receiveHeartbeat("c3", true, "south", 2, Start);
    receiveHeartbeat("c4", true, "south", 3, Start);
    receiveHeartbeat("c5", true, "east", 4, Start);
    receiveHeartbeat("c6", true, "east", 4, Start);
  }
  void receiveHeartbeat(const std::string &Name, bool Core,
                        const std::string &Region, double Rate, Time At) {
    Heartbeat B = makeHeartbeat(makeNode(Name.c_str(), Core, Region.c_str()));
    B.TeamRates_ = {{"rangers", Rate}};
    REQUIRE(record(Registry_, VmId(Name), B, At) == HeartbeatResult::Accepted);
  }
  TeamDemand demandAt(Time Now) const {
    return teamDemand(Registry_, RegionId("north"),
                      {RegionId("north"), RegionId("south"), RegionId("east")},
                      Now);
  }
  double rateIn(const std::string &Region, Time Now) const {
    TeamDemand D = demandAt(Now);
    auto Found = D.RatesByRegion_.find(RegionId(Region));
    if (Found == D.RatesByRegion_.end() || !Found->second.count("rangers"))
      return 0;
    return Found->second.at("rangers");
  }
  Duration contactAge(Time Now) const { return demandAt(Now).ContactAge_; }

  NodeRegistry Registry_;
};

} // namespace

TEST_CASE("Core VMs sum up the teams' demand by region") {
  DemandFixture D;
  Time Later = Start + Duration::seconds(8);
  SECTION("as the maximum reported by the core VMs of a region") {
    CHECK(D.rateIn("north", Start) == 6);
    CHECK(D.rateIn("south", Start) == 3);
    CHECK(D.contactAge(Start) == Duration());
  }
  SECTION("without silent regions") {
    for (const char *Name : {"c2", "c5", "c6"})
      D.receiveHeartbeat(Name, true, Name[1] == '2' ? "north" : "east", 4,
                         Later);
    CHECK(D.rateIn("south", Later) == 0);
    CHECK(D.rateIn("east", Later) == 4);
    CHECK(D.contactAge(Later) == Duration());
  }
  SECTION("with silent regions while only half of the core VMs are live") {
    D.receiveHeartbeat("c2", true, "north", 4, Later);
    D.receiveHeartbeat("c5", true, "east", 4, Later);
    CHECK(D.rateIn("south", Later) == 3);
    CHECK(D.contactAge(Later) == Duration());
  }
  SECTION("and measure the loss of contact with less than half live") {
    D.receiveHeartbeat("c2", true, "north", 4, Later);
    CHECK(D.contactAge(Later) == Duration::seconds(8));
  }
  // Fails if a region that can't see another's surge counts its demand as
  // known.
  SECTION("and tell whether all regions that may grant tokens were heard") {
    CHECK(D.demandAt(Start).IsComplete_);
    CHECK(D.demandAt(Start + Duration::millis(1600)).IsComplete_);
    Time Silent = Start + Duration::millis(1601);
    CHECK_FALSE(D.demandAt(Silent).IsComplete_);
    for (const char *Name : {"c2", "c5", "c6"})
      D.receiveHeartbeat(Name, true, Name[1] == '2' ? "north" : "east", 4,
                         Silent);
    CHECK_FALSE(D.demandAt(Silent).IsComplete_); // south still has its share
    for (const char *Name : {"c2", "c5", "c6"})
      D.receiveHeartbeat(Name, true, Name[1] == '2' ? "north" : "east", 4,
                         Later);
    CHECK(D.demandAt(Later).IsComplete_); // it has given it up
  }
}

// Guards against entry VMs that each take the part of a fleet of few: several
// of them warmed the same upstream.
TEST_CASE("An entry VM keeps to the last complete list of entry VMs") {
  auto Rates = [](std::vector<VmId> Vms, double PerSecond, bool IsComplete) {
    return FleetRates{
        Vms, {{"north", {{"register", PerSecond}}}}, Vms, IsComplete};
  };
  const std::vector<VmId> All{VmId("e1"), VmId("e2"), VmId("e3")};
  const std::vector<VmId> Some{VmId("e2")};
  FleetRates Known{.IsComplete_ = false};
  recordRates(Known, Rates(Some, 1, false));
  SECTION("before the first one it has none, but sums") {
    CHECK(Known.EntryVms_.empty());
    CHECK(Known.RegionEntryVms_.empty());
    CHECK(Known.RegionRates_["north"]["register"] == 1);
  }
  SECTION("from then on it has the last one") {
    recordRates(Known, Rates(All, 3, true));
    recordRates(Known, Rates(Some, 1, false));
    CHECK(Known.EntryVms_ == All);
    CHECK(Known.RegionEntryVms_ == All);
    CHECK(Known.RegionRates_["north"]["register"] == 3);
    recordRates(Known, Rates(Some, 1, true));
    CHECK(Known.EntryVms_ == Some);
  }
}

TEST_CASE("The teams are distributed over the core VMs of a region") {
  DemandFixture D;
  TeamId Team("rangers");
  std::vector<VmId> Order = rankHolders(Team.str(), {VmId("c1"), VmId("c2")});
  CHECK(Order == rankHolders(Team.str(), {VmId("c2"), VmId("c1")}));
  std::map<std::string, int> Firsts;
  for (int N = 0; N < 60; ++N)
    ++Firsts[rankHolders("t" + std::to_string(N), {VmId("c1"), VmId("c2")})
                 .front()
                 .str()];
  CHECK(Firsts["c1"] > 15);
  CHECK(Firsts["c2"] > 15);
  for (int N = 0; N < 60; ++N) {
    TeamId Any("t" + std::to_string(N));
    bool First =
        rankHolders(Any.str(), {VmId("c1"), VmId("c2")}).front() == VmId("c1");
    auto RankAt = [&](Time Now) {
      return rankOf(D.Registry_, VmId("c1"), RegionId("north"), Any, Now);
    };
    HolderRank Rank = RankAt(Start);
    CHECK(Rank.First_ == First);
    CHECK(Rank.PrecedingLive_ == !First);
    CHECK(Rank.Preceding_ ==
          (First ? std::vector<VmId>() : std::vector<VmId>{VmId("c2")}));
    HolderRank Later = RankAt(Start + Duration::seconds(3));
    CHECK_FALSE(Later.PrecedingLive_);
    CHECK(Later.Preceding_ == Rank.Preceding_); // it may only be cut off
  }
}

TEST_CASE("An entry VM sends heartbeats to the core VMs of its region") {
  CoreContacts C{RegionId("north"), {}};
  auto Reply = [&](const char *Core, const char *Region, Time At) {
    HeartbeatReply R;
    R.Region_ = RegionId(Region);
    R.EchoedSentAt_ = At.count() - 10;
    recordReply(C, VmId(Core), R, At);
  };
  std::vector<VmId> All{VmId("n1"), VmId("n2"), VmId("s1"), VmId("new")};
  Duration MaxProofAge = Duration::millis(2500);
  auto Targets = [&](Time ProvenAt, Time Now) {
    return heartbeatTargets(C, All, ProvenAt, MaxProofAge, Now);
  };
  Reply("n1", "north", Start);
  Reply("n2", "north", Start);
  Reply("s1", "south", Start);

  SECTION("and to those of unknown regions") {
    CHECK(Targets(Start, Start) ==
          std::vector<VmId>{VmId("n1"), VmId("n2"), VmId("new")});
    CHECK_FALSE(C.Contacts_[VmId("s1")].Asked_);
    // The others may still be asked for tokens, whenever they replied last.
    CHECK(remoteCoreVms(C, Start + Duration::seconds(60)) ==
          std::vector<VmId>{VmId("s1")});
  }
  SECTION("to all while no core VM of its region is in contact") {
    Time Later = Start + Duration::seconds(4);
    Reply("s1", "south", Later);
    CHECK(Targets(Later, Later) == All);
    CHECK(remoteCoreVms(C, Later + Duration::seconds(4)).empty());
    SECTION("until one is again") {
      Reply("n2", "north", Later);
      CHECK(Targets(Later, Later).size() == 3);
    }
  }
  SECTION("and knows which of them failed to reply to the last ones") {
    Time Later = Start + Duration::millis(1601);
    Reply("n1", "north", Later);
    Reply("s1", "south", Later);
    CHECK(replyingCoreVms(C, Later) == std::vector<VmId>{VmId("n1")});
  }
  SECTION("to all while its proof is old, as if the region were cut off from "
          "the quorum") {
    Time Later = Start + Duration::millis(2501);
    Reply("n1", "north", Later);
    CHECK(Targets(Start, Later) == All);
    CHECK(heartbeatTargets(C, All, std::nullopt, MaxProofAge, Later) == All);
  }
}

TEST_CASE("A core VM relays its proof to entry VMs") {
  VoterConfig Config = makeVoters({1, 2, 3});
  ItemFreshness Core;
  Core.AppliedIndex_ = LogIndex(20);
  record(Core, VmId("c1"), Time(5000), makeProof(1, 20, 20, Config));
  CHECK_FALSE(relayedProof(Core, Time(5000)));
  record(Core, VmId("c2"), Time(4800), makeProof(2, 20, 20, Config));
  auto Proof = relayedProof(Core, Time(5000));
  REQUIRE(Proof);
  CHECK(Proof->Age_ == Duration::millis(200));

  ItemFreshness Entry;
  Entry.Revision_ = Revision(7);
  TeamId Team("rangers");
  SECTION("whose age counts from the request, however late the reply arrives") {
    recordRelay(Entry, VmId("c1"), Time(90'000), *Proof, Revision(7));
    CHECK(provenCurrentAt(Entry, Team) == Time(89'800));
    SECTION("and which no older proof replaces") {
      recordRelay(Entry, VmId("c1"), Time(89'000), *Proof, Revision(7));
      CHECK(provenCurrentAt(Entry, Team) == Time(89'800));
    }
    SECTION("while another core VM's newer one counts") {
      recordRelay(Entry, VmId("c2"), Time(90'500), *Proof, Revision(6));
      CHECK(provenCurrentAt(Entry, Team) == Time(90'300));
    }
  }
  SECTION("but not to one that lacks some of its items") {
    recordRelay(Entry, VmId("c1"), Time(90'000), *Proof, Revision(8));
    CHECK_FALSE(provenCurrentAt(Entry, Team));
    Entry.Revision_ = Revision(8);
    CHECK(provenCurrentAt(Entry, Team));
  }
  SECTION("but not for teams of uncommitted entries") {
    LogProof Tail = makeProof(2, 22, 20, Config);
    Tail.UnappliedTeams_ = {"agents"};
    record(Core, VmId("c2"), Time(4900), Tail);
    Proof = relayedProof(Core, Time(5000));
    REQUIRE(Proof);
    recordRelay(Entry, VmId("c1"), Time(90'000), *Proof, Revision(7));
    CHECK(provenCurrentAt(Entry, Team));
    CHECK_FALSE(provenCurrentAt(Entry, TeamId("agents")));
  }
  SECTION("unless it lacks an entry of the quorum") {
    record(Core, VmId("c2"), Time(4900), makeProof(2, 21, 21, Config));
    CHECK_FALSE(relayedProof(Core, Time(5000)));
  }
}

TEST_CASE("Core VMs report the entry VMs that they hear") {
  NodeRegistry Near;
  NodeRegistry Far;
  NodeRecord E1 = makeNode("e1", false, "north");
  record(Near, E1.Vm_, makeHeartbeat(E1), Start);
  std::map<VmId, std::uint64_t> Sent;
  Duration Silence = Duration::millis(2700);
  auto Report = [&](Time Now) {
    auto Reports = reportEntryVms(Near, Silence, Sent, Now);
    recordReports(Far, Reports, Now);
    return Reports;
  };
  auto Named = [&](Time Now) {
    return chooseEntries(Far, {RegionId("north"), ZoneId("a"), {}}, Silence,
                         Now);
  };
  CHECK(Report(Start).front().Record_.size() == 1);
  CHECK(Named(Start) == std::vector<std::string>{"e1:80"});

  SECTION("with each record once") {
    CHECK(Report(Start + Duration::seconds(1)).front().Record_.empty());
    CHECK(Named(Start + Duration::seconds(1)).size() == 1);
    SECTION("until the VM is restarted") {
      E1.StartedAtMs_ = 8;
      record(Near, E1.Vm_, makeHeartbeat(E1, false), Start);
      CHECK(Report(Start).front().Record_.size() == 1);
      CHECK(Named(Start).empty()); // not ready yet
    }
  }
  SECTION("and not those that are silent") {
    Time Dead = Start + Duration::millis(2800);
    CHECK(Report(Dead).empty());
    // Its last report kept it live for one more report interval.
    CHECK(Named(Start + Duration::millis(3701)).empty());
  }
  SECTION("and the demand at them is counted once") {
    Heartbeat B = makeHeartbeat(E1);
    B.TeamRates_ = {{"rangers", 4}};
    B.ServiceRates_ = {{"register", 4}};
    record(Near, E1.Vm_, B, Start);
    record(Far, E1.Vm_, B, Start - Duration::seconds(5)); // before it moved
    recordReports(Far, reportEntryVms(Near, Silence, Sent, Start), Start);
    CHECK(teamDemand(Far, RegionId("south"), {}, Start)
              .RatesByRegion_[RegionId("south")]
              .empty());
    Heartbeat FromCore = makeHeartbeat(makeNode("c1", true, "north"));
    FromCore.ServiceRates_ = serviceRates(Near, RegionId("north"), Start);
    record(Far, VmId("c1"), FromCore, Start);
    FleetRates Rates = fleetRates(Far, RegionId("south"), Start);
    CHECK(Rates.EntryVms_ == std::vector<VmId>{VmId("e1")});
    CHECK(Rates.RegionRates_["north"]["register"] == 4);
    CHECK(Rates.RegionEntryVms_.empty()); // of another region
    FleetRates Own = fleetRates(Near, RegionId("north"), Start);
    CHECK(Own.RegionEntryVms_ == std::vector<VmId>{VmId("e1")});
    // One that drains must not be asked for slots any more.
    B.Ready_ = false;
    record(Near, E1.Vm_, B, Start);
    Own = fleetRates(Near, RegionId("north"), Start);
    CHECK(Own.EntryVms_ == std::vector<VmId>{VmId("e1")});
    CHECK(Own.RegionEntryVms_.empty());
  }
}

TEST_CASE("An entry VM tells a team's demand to two core VMs of its region") {
  std::vector<VmId> Cores{VmId("c1"), VmId("c2"), VmId("c3")};
  RateMap Rates;
  for (int N = 0; N < 60; ++N)
    Rates["t" + std::to_string(N)] = N;
  std::map<VmId, RateMap> ByHolder = ratesByHolder(Rates, Cores);
  for (const auto &[Team, Rate] : Rates) {
    std::vector<VmId> Ranked = rankHolders(Team, Cores);
    CHECK(ByHolder[Ranked[0]].at(Team) == Rate);
    CHECK(ByHolder[Ranked[1]].at(Team) == Rate);
    CHECK(ByHolder[Ranked[2]].count(Team) == 0);
  }
  CHECK(ratesByHolder(Rates, {VmId("c1")})[VmId("c1")] == Rates);
}

TEST_CASE("A departure is confirmed by the entry VMs in contact") {
  Departures D;
  UpstreamNotice Leaving =
      withPhase(makeNotice("i1", 50, 4), NoticePhase::Leaving);
  std::uint64_t Number = beginDeparture(D, Leaving, Start);
  std::set<VmId> Needed{VmId("e1"), VmId("e2")};
  confirmDeparture(D, VmId("e1"), Number);
  CHECK(awaitConfirmations(D, Number, Needed) == std::set<VmId>{VmId("e2")});
  CHECK_FALSE(isConfirmed(D, Number));

  SECTION("and only the last of these ends the wait") {
    Needed.insert(VmId("e3"));
    CHECK(awaitConfirmations(D, Number, Needed).size() == 2);
    CHECK_FALSE(confirmDeparture(D, VmId("e2"), Number));
    CHECK_FALSE(confirmDeparture(D, VmId("e2"), Number)); // repeated
    CHECK_FALSE(confirmDeparture(D, VmId("e9"), Number)); // not awaited
    CHECK_FALSE(isConfirmed(D, Number));
    CHECK(confirmDeparture(D, VmId("e3"), Number));
    CHECK(isConfirmed(D, Number));
  }
  SECTION("also of one that joined meanwhile") {
    CHECK(confirmDeparture(D, VmId("e2"), Number));
    Needed.insert(VmId("e4"));
    CHECK(awaitConfirmations(D, Number, Needed) == std::set<VmId>{VmId("e4")});
    CHECK_FALSE(isConfirmed(D, Number));
  }
  SECTION("of which a late one counts for the repeated announcement") {
    confirmDeparture(D, VmId("e2"), Number);
    ++Leaving.Sequence_;
    Time Later = Start + Duration::seconds(1);
    CHECK(beginDeparture(D, Leaving, Later) == Number);
    CHECK(awaitConfirmations(D, Number, Needed).empty());
  }
  SECTION("but not for the end of the upstream, or its next process") {
    Leaving.Phase_ = NoticePhase::Gone;
    CHECK(awaitConfirmations(D, beginDeparture(D, Leaving, Start), Needed) ==
          Needed);
    Leaving.StartedAtMs_ = 60;
    CHECK(awaitConfirmations(D, beginDeparture(D, Leaving, Start), Needed) ==
          Needed);
  }
  SECTION("and is forgotten in the end") {
    Time Later = Start + Duration::seconds(31);
    beginDeparture(D, makeNotice("i2", 50, 1), Later);
    CHECK(D.Departures_.size() == 1);
  }
}

// Guards against taking the VMs heard of so far for all: a departure was
// acknowledged that no entry VM knew of.
TEST_CASE(
    "A core VM knows of all VMs once it has been in contact for a while") {
  constexpr Duration Tick = Duration::millis(250);
  FleetContact C;
  Time Now = Start;
  auto Run = [&](Duration For, bool HasQuorum) {
    for (Time End = Now + For; Now < End; Now = Now + Tick)
      updateContact(C, HasQuorum, Now);
    return knowsAll(C);
  };
  CHECK_FALSE(knowsAll(C));
  SECTION("but not without a quorum") {
    CHECK_FALSE(Run(Duration::seconds(60), false));
  }
  SECTION("of two heartbeats, as an entry VM may not reach it itself") {
    CHECK_FALSE(Run(Duration::seconds(2), true));
    CHECK(Run(Duration::seconds(1), true));
    SECTION("until it loses the quorum") {
      Run(Tick, false);
      CHECK_FALSE(Run(Duration::seconds(2), true));
      CHECK(Run(Duration::seconds(1), true));
    }
    SECTION("until it is suspended") {
      Now = Now + Duration::seconds(2);
      CHECK_FALSE(Run(Duration::seconds(2), true));
      CHECK(Run(Duration::seconds(1), true));
    }
  }
}

TEST_CASE("The entry VMs that have to confirm a departure") {
  NodeRegistry R;
  NodeRecord Near = makeNode("e1", false, "north");
  NodeRecord Far = makeNode("e2", false, "south");
  NodeRecord FarCore = makeNode("c2", true, "south");
  Duration Silence = Duration::millis(2700);
  auto Needed = [&](Time Now) {
    return entryVmsToConfirm(R, RegionId("north"), Silence, Now);
  };
  record(R, Near.Vm_, makeHeartbeat(Near), Start);
  record(R, FarCore.Vm_, makeHeartbeat(FarCore), Start);
  EntryReport Report{Far.Vm_, Far.StartedAtMs_, true, Duration(), {Far}};
  recordReports(R, {Report}, Start);
  CHECK(Needed(Start) == std::set<VmId>{VmId("e1"), VmId("e2")});

  SECTION("are not those that died") {
    Time Later = Start + Duration::seconds(3);
    record(R, FarCore.Vm_, makeHeartbeat(FarCore), Later);
    CHECK(Needed(Later).empty());
  }
  SECTION("are also those of a region whose core VMs are out of contact, until "
          "they can be heard directly") {
    Time Later = Start + Duration::seconds(4);
    CHECK(Needed(Later) == std::set<VmId>{VmId("e2")});
    CHECK(Needed(Start + Duration::seconds(7)).empty());
  }
}

TEST_CASE("A large update of items is not sent again while it is on its way") {
  ItemDelivery Last{Revision(4), Revision(7), Start, 100'000};
  Time Soon = Start + Duration::millis(900);

  SECTION("to an entry VM that can apply it") {
    CHECK(isOnItsWay(Last, Revision(4), Revision(7), Soon));
    CHECK(expectedRevision(Last, Revision(4), Soon) == Revision(7));
    CHECK(expectedRevision(Last, Revision(9), Soon) == Revision(9));
  }
  SECTION("but it is to one that can't, for example after a restart") {
    CHECK_FALSE(isOnItsWay(Last, Revision(3), Revision(7), Soon));
    CHECK(expectedRevision(Last, Revision(), Soon) == Revision());
  }
  SECTION("but later changes follow it") {
    CHECK_FALSE(isOnItsWay(Last, Revision(4), Revision(8), Soon));
  }
  SECTION("but it is when it must have been lost") {
    Time Late = Start + Duration::millis(1300);
    CHECK_FALSE(isOnItsWay(Last, Revision(4), Revision(7), Late));
    CHECK(expectedRevision(Last, Revision(4), Late) == Revision(4));
  }
  SECTION("but a small one is, as it has arrived or is lost") {
    Last.Bytes_ = 500;
    CHECK(isOnItsWay(Last, Revision(4), Revision(7),
                     Start + Duration::millis(100)));
    CHECK_FALSE(isOnItsWay(Last, Revision(4), Revision(7), Soon));
  }
  SECTION("and entry VMs request it less and less often") {
    ItemRequests R;
    std::vector<std::int64_t> RequestedAt;
    for (Time Now = Start; Now < Start + Duration::seconds(6);
         Now = Now + Duration::millis(100))
      if (beginRequest(R, Now))
        RequestedAt.push_back((Now - Start).count());
    CHECK(RequestedAt == std::vector<std::int64_t>{0, 400, 1200, 2800, 4400});
  }
}

TEST_CASE("A relayed proof leaves out just the teams that a quorum doubts") {
  constexpr int Voters = 5;
  constexpr int Teams = 12;
  std::mt19937 Random(20261205);
  for (int Run = 0; Run < 300; ++Run) {
    ItemFreshness C;
    C.AppliedIndex_ = LogIndex(10);
    for (int N = 0; N < Voters; ++N) {
      VmId Vm("c" + std::to_string(N));
      DiskId Disk(static_cast<std::uint64_t>(100 + N));
      C.VoterConfig_.Voters_.push_back({Vm, Disk});
      LogProof Proof;
      Proof.Disk_ = Disk;
      Proof.AppliedIndex_ = LogIndex(10);
      Proof.LastIndex_ = LogIndex(10 + Random() % 2);
      for (int Team = 0; Team < Teams; ++Team)
        if (Random() % 3 == 0)
          Proof.UnappliedTeams_.push_back("t" + std::to_string(Team));
      record(C, Vm, Start + Duration::millis(Random() % 900), Proof);
    }
    std::optional<RelayedProof> Relayed =
        relayedProof(C, Start + Duration::seconds(1));
    REQUIRE(Relayed);
    auto All = provenCurrentAt(C, TeamId());
    CHECK(Start + Duration::seconds(1) - Relayed->Age_ == *All);
    std::set<std::string> Unproven(Relayed->UnprovenTeams_.begin(),
                                   Relayed->UnprovenTeams_.end());
    for (int Team = 0; Team < Teams; ++Team) {
      std::string Name = "t" + std::to_string(Team);
      CHECK((provenCurrentAt(C, TeamId(Name)) != All) ==
            (Unproven.count(Name) != 0));
    }
  }
}
