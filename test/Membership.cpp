#include "lagoonpoint/Membership"
#include "fakes/MemberFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace lagoonpoint;
using fakes::MemberFleet;
using fakes::MessageOutcome;

namespace {

const ServiceId Service("tellimus");
const Duration Second = Duration::seconds(1);
const MembershipOptions DefaultOptions;

AnnouncedUpstream announcement(const std::string &Name, bool Leaving = false) {
  AnnouncedUpstream O;
  O.Key_ = {Service, UpstreamId(Name)};
  O.Host_ = "10.0.0.1";
  O.Port_ = 80;
  O.Slots_ = 3;
  O.Leaving_ = Leaving;
  return O;
}

std::function<bool(Members &)> seesUpstreams(MemberFleet &Fleet,
                                             std::size_t Count) {
  return [&Fleet, Count](Members &M) {
    return M.upstreams(Service, Fleet.Now_).size() == Count;
  };
}

std::function<bool(Members &)>
reportsState(MemberFleet &Fleet, const std::string &Vm, VmState State) {
  return [&Fleet, Vm, State](Members &M) {
    return M.stateOf(VmId(Vm), Fleet.Now_) == State;
  };
}

bool allAlive(MemberFleet &Fleet) {
  return Fleet
      .runUntil(
          [&](Members &M) {
            auto Views = M.vms(Fleet.Now_);
            return std::all_of(Views.begin(), Views.end(), [](const auto &V) {
              return V.State_ == VmState::Alive;
            });
          },
          Second * 15)
      .has_value();
}

} // namespace

TEST_CASE("A fleet of three zones") {
  MemberFleet Fleet(3, 3);
  REQUIRE(allAlive(Fleet));
  for (auto &[Vm, M] : Fleet.Vms_)
    CHECK(M.contact(Fleet.Now_) == Contact::Connected);

  SECTION("detects a dead VM and its restart with a new incarnation") {
    std::string Crashed = GENERATE("z1a", "z1b", "z2c");
    Incarnation Before = Fleet.at("z3a").vms(Fleet.Now_)[0].Incarnation_;
    Fleet.crash(VmId(Crashed));
    CHECK(Fleet.runUntil(reportsState(Fleet, Crashed, VmState::Dead),
                         Second * 6));
    Fleet.start(VmId(Crashed));
    CHECK(Fleet.runUntil(reportsState(Fleet, Crashed, VmState::Alive),
                         Second * 5));
    if (Crashed == "z1a")
      CHECK(Fleet.at("z3a").vms(Fleet.Now_)[0].Incarnation_ > Before);
    CHECK(Fleet.at(Crashed).idConflicts() == 0);
  }
  SECTION("does not declare a VM dead after a one-way cut from one peer") {
    Fleet.Net_.cut(VmId("z1a"), VmId("z1b"));
    bool Died = false;
    Fleet.OnStep_ = [&] {
      Died |= Fleet.at("z2a").stateOf(VmId("z1b"), Fleet.Now_) == VmState::Dead;
    };
    Fleet.run(Second * 20);
    CHECK_FALSE(Died);
    CHECK(Fleet.at("z1b").contact(Fleet.Now_) == Contact::Connected);
  }
  SECTION("distinguishes an isolated VM from an isolated zone") {
    for (const auto &[Vm, Zone] : Fleet.Declared_) {
      Fleet.Net_.cut(VmId("z1a"), Vm);
      Fleet.Net_.cut(Vm, VmId("z1a"));
    }
    Fleet.cutZone("z2");
    Fleet.run(DefaultOptions.ZoneSuspectAfter_ + Second);
    CHECK(Fleet.at("z1a").contact(Fleet.Now_) == Contact::Alone);
    CHECK(Fleet.at("z1b").contact(Fleet.Now_) == Contact::Connected);
    CHECK(Fleet.at("z2a").contact(Fleet.Now_) == Contact::ZoneCutOff);
    Fleet.run(DefaultOptions.ZoneDeadAfter_ - DefaultOptions.ZoneSuspectAfter_);
    CHECK(reportsState(Fleet, "z2a", VmState::Dead)(Fleet.at("z3a")));
    Fleet.Net_.healAll();
    CHECK(allAlive(Fleet));
    CHECK(Fleet.at("z1a").contact(Fleet.Now_) == Contact::Connected);
  }
  SECTION("learns that a VM drains") {
    Fleet.at("z1a").setDraining(true);
    CHECK(Fleet.runUntil(reportsState(Fleet, "z1a", VmState::Draining),
                         Second * 2));
  }
  SECTION("counts an id conflict and takes a newer incarnation") {
    MemberRecord Later{VmId("z1a"), Incarnation(1'900'000'000'000), 1,
                       VmState::Alive, Revision()};
    MembershipMessage Claim;
    Claim.Sender_ = Later;
    Claim.Sender_.Vm_ = VmId("z1b");
    Claim.Sender_.Incarnation_ = Incarnation(1);
    Claim.Members_ = {Later};
    Fleet.at("z1a").receive(
        {VmId("z1b"), VmId("z1a"), Channel::Membership, encode(Claim)},
        Fleet.Now_);
    CHECK(Fleet.at("z1a").idConflicts() == 1);
    CHECK(Fleet.at("z1a").vms(Fleet.Now_)[0].Incarnation_ > Later.Incarnation_);
  }
}

TEST_CASE("A malformed message or one with another sender's record throws") {
  MemberFleet Fleet(1, 2);
  MembershipMessage Claim;
  Claim.Sender_.Vm_ = VmId("z1a");
  std::string Body = GENERATE_REF(std::string("garbage"), encode(Claim));
  CHECK_THROWS_AS(
      Fleet.at("z1a").receive(
          {VmId("z1b"), VmId("z1a"), Channel::Membership, Body}, Fleet.Now_),
      CodecError);
}

TEST_CASE("An announced upstream") {
  MemberFleet Fleet(3, 3);
  REQUIRE(allAlive(Fleet));
  Fleet.announce("z1a", announcement("u1"));
  REQUIRE(Fleet.runUntil(seesUpstreams(Fleet, 1), Second * 2));

  SECTION("stays usable while it renews at any VM of its zone") {
    for (int Round = 0; Round < 30; ++Round) {
      Fleet.run(Second);
      Fleet.announce(Round % 2 ? "z1b" : "z1c", announcement("u1"));
    }
    for (auto &[Vm, M] : Fleet.Vms_)
      CHECK(seesUpstreams(Fleet, 1)(M));
  }
  SECTION("is removed when it does not renew") {
    // First the lease in its own zone expires, then the leases elsewhere.
    CHECK(Fleet.runUntil(seesUpstreams(Fleet, 0),
                         DefaultOptions.UpstreamLease_ * 2 +
                             DefaultOptions.ReportEvery_));
  }
  SECTION("is removed at all VMs within 3 s after it leaves") {
    Fleet.announce("z1b", announcement("u1", true));
    CHECK(Fleet.runUntil(seesUpstreams(Fleet, 0), Second * 3));
    Fleet.run(Second * 5);
    CHECK(Fleet.runUntil(seesUpstreams(Fleet, 0), Duration()));
    SECTION("and is usable again after a new announcement") {
      Fleet.announce("z1c", announcement("u1"));
      CHECK(Fleet.runUntil(seesUpstreams(Fleet, 1), Second * 3));
    }
  }
  SECTION("is removed although the first message on each link is lost") {
    std::map<std::string, int> Seen;
    Fleet.Net_.setHook([&](std::uint64_t, const Envelope &E) {
      return MessageOutcome{.Lost_ = ++Seen[E.From_.str() + E.To_.str()] <= 1};
    });
    Fleet.announce("z1a", announcement("u1", true));
    CHECK(Fleet.runUntil(seesUpstreams(Fleet, 0), Second * 5));
  }
  SECTION("is removed through a VM that missed its latest renewals") {
    for (const auto &[Vm, Zone] : Fleet.Declared_) {
      Fleet.Net_.cut(Vm, VmId("z1c"));
      Fleet.Net_.cut(VmId("z1c"), Vm);
    }
    for (int Round = 0; Round < 5; ++Round) {
      Fleet.run(Second);
      Fleet.announce("z1a", announcement("u1"));
    }
    Fleet.announce("z1c", announcement("u1", true));
    Fleet.Net_.healAll();
    CHECK(Fleet.runUntil(seesUpstreams(Fleet, 0), Second * 5));
  }
}

TEST_CASE("Reordered and duplicated records don't revive an upstream") {
  UpstreamTable Issuer;
  Time Now(1000);
  std::vector<UpstreamRecord> Records;
  auto Issue = [&](const char *Vm, bool Leaving) {
    UpstreamRecord R;
    R.Key_ = {Service, UpstreamId("u1")};
    R.Lease_ = Second * 10;
    R = issueUpstream(Issuer, R, Leaving, VmId(Vm), Incarnation(5));
    mergeUpstream(Issuer, R, Now);
    Records.push_back(R);
  };
  Issue("a", false);
  Issue("b", false);
  Issue("a", true);

  Random Rng(3);
  for (int Round = 0; Round < 200; ++Round) {
    std::vector<UpstreamRecord> Shuffled = Records;
    Shuffled.insert(Shuffled.end(), Records.begin(), Records.end());
    std::shuffle(Shuffled.begin(), Shuffled.end(), Rng);
    UpstreamTable Table;
    bool Left = false;
    for (const UpstreamRecord &R : Shuffled) {
      mergeUpstream(Table, R, Now);
      Left |= leaving(R);
      bool Usable = usable(Table.Entries_.begin()->second, Now);
      CHECK(Usable != Left);
    }
  }
  Issue("b", false);
  CHECK(usable(Issuer.Entries_.begin()->second, Now));
}

TEST_CASE("A leave announcement at a VM with older records takes effect") {
  UpstreamTable Behind, Ahead;
  Time Now(1000);
  UpstreamRecord R;
  R.Key_ = {Service, UpstreamId("u1")};
  R.Lease_ = Second * 10;
  auto Issue = [&](UpstreamTable &By, const char *Vm, bool Leaving) {
    UpstreamRecord Out =
        issueUpstream(By, R, Leaving, VmId(Vm), Incarnation(5));
    mergeUpstream(By, Out, Now);
    return Out;
  };
  UpstreamRecord First = Issue(Behind, "a", false);
  mergeUpstream(Ahead, First, Now);
  UpstreamRecord Second = Issue(Ahead, "b", false);
  UpstreamRecord Third = Issue(Ahead, "b", false);
  UpstreamRecord Left = Issue(Behind, "a", true);
  REQUIRE(Left.Version_ < Third.Version_);

  std::vector<UpstreamRecord> Records{First, Second, Third, Left};
  std::vector<int> Order{0, 1, 2, 3};
  do {
    UpstreamTable Table;
    bool LeaveMerged = false;
    for (int At : Order) {
      mergeUpstream(Table, Records[At], Now);
      LeaveMerged |= At == 3;
      CHECK(usable(Table.Entries_.begin()->second, Now) != LeaveMerged);
    }
  } while (std::next_permutation(Order.begin(), Order.end()));
}

TEST_CASE("Answers older than the contact window don't count as contact") {
  MemberFleet Fleet(2, 2);
  REQUIRE(allAlive(Fleet));
  Fleet.Net_.setHook([](std::uint64_t, const Envelope &E) {
    bool Late = E.To_ == VmId("z1a");
    return MessageOutcome{.Delay_ = Late
                                        ? DefaultOptions.ContactWindow_ + Second
                                        : Duration::millis(1)};
  });
  Fleet.run(Second * 15);
  CHECK(Fleet.at("z1a").contact(Fleet.Now_) == Contact::Alone);
}

TEST_CASE("Two VMs that declared each other dead reconnect") {
  MemberFleet Fleet(1, 2);
  REQUIRE(allAlive(Fleet));
  Fleet.Net_.cut(VmId("z1a"), VmId("z1b"));
  Fleet.Net_.cut(VmId("z1b"), VmId("z1a"));
  Fleet.run(Second * 10);
  REQUIRE(reportsState(Fleet, "z1a", VmState::Dead)(Fleet.at("z1b")));
  Fleet.Net_.healAll();
  CHECK(allAlive(Fleet));
}

TEST_CASE("A lease that expired at one VM only is extended by a copy") {
  MemberFleet Fleet(2, 2);
  MembershipMessage Update;
  Update.Sender_ = {VmId("z1b"), Incarnation(1), 1, VmState::Alive, Revision()};
  UpstreamRecord R;
  R.Key_ = {Service, UpstreamId("u1")};
  R.Version_ = {1, VmId("z2a")};
  R.Zone_ = ZoneId("z2");
  auto Send = [&](Duration Lease) {
    R.Lease_ = Lease;
    Update.Upstreams_ = {R};
    Fleet.at("z1a").receive(
        {VmId("z1b"), VmId("z1a"), Channel::Membership, encode(Update)},
        Fleet.Now_);
  };
  Send(Second);
  Fleet.Now_ = Fleet.Now_ + Second * 2;
  REQUIRE(seesUpstreams(Fleet, 0)(Fleet.at("z1a")));
  Send(Second * 9);
  CHECK(seesUpstreams(Fleet, 1)(Fleet.at("z1a")));
}

TEST_CASE("A copy of an upstream record of another zone") {
  UpstreamTable Table;
  UpstreamRecord R;
  R.Key_ = {Service, UpstreamId("u1")};
  R.Version_ = {1, VmId("a")};
  R.Lease_ = Second * 2;
  mergeUpstream(Table, R, Time(1000));
  Time Expired(4000);
  const UpstreamEntry &Entry = Table.Entries_.begin()->second;
  REQUIRE_FALSE(usable(Entry, Expired));

  SECTION("extends a lease that expired locally") {
    R.Lease_ = Second * 9;
    extendLease(Table, R, Second * 5, Expired);
    CHECK(usable(Entry, Expired));
  }
  SECTION("extends nothing if its own lease is about to expire") {
    R.Lease_ = Second * 4;
    extendLease(Table, R, Second * 5, Expired);
    CHECK_FALSE(usable(Entry, Expired));
  }
  SECTION("extends nothing if its version is older") {
    R.Version_.Counter_ = 0;
    R.Lease_ = Second * 9;
    extendLease(Table, R, Second * 5, Expired);
    CHECK_FALSE(usable(Entry, Expired));
  }
}

TEST_CASE("The fleet recovers after random faults") {
  // Regression seeds: from 1020 on, runs once revived upstreams that had left.
  auto Seed =
      GENERATE(range(1, 41),
               values({1020, 1083, 1101, 1374, 1428, 1535, 1635, 1661, 1911}));
  INFO("seed " << Seed);
  Random Rng(Seed);
  MemberFleet Fleet(3, 3);
  bool InjectFaults = true;
  Fleet.Net_.setHook([&](std::uint64_t, const Envelope &) {
    MessageOutcome F;
    F.Lost_ = InjectFaults && Rng() % 5 == 0;
    F.Copies_ = 1 + (InjectFaults && Rng() % 10 == 0);
    F.Delay_ = Duration::millis(InjectFaults ? Rng() % 400 : 1);
    return F;
  });
  std::vector<VmId> Ids;
  for (const auto &[Vm, Zone] : Fleet.Declared_)
    Ids.push_back(Vm);
  for (int Round = 0; Round < 60; ++Round) {
    VmId Vm = Ids[Rng() % Ids.size()];
    VmId Other = Ids[Rng() % Ids.size()];
    switch (Rng() % 5) {
    case 0:
      Fleet.crash(Vm);
      break;
    case 1:
      if (!Fleet.Vms_.count(Vm))
        Fleet.start(Vm);
      break;
    case 2:
      Fleet.Net_.cut(Vm, Other);
      break;
    case 3:
      Fleet.Net_.healAll();
      break;
    default:
      if (Fleet.Vms_.count(Vm))
        Fleet.announce(Vm.str(), announcement("u-" + Fleet.Declared_[Vm].str(),
                                              Rng() % 3 == 0));
    }
    Fleet.run(Duration::millis(Rng() % 1500));
  }
  InjectFaults = false;
  Fleet.Net_.healAll();
  for (const VmId &Vm : Ids)
    if (!Fleet.Vms_.count(Vm))
      Fleet.start(Vm);
  CHECK(allAlive(Fleet));
  for (int Round = 0; Round < 30; ++Round) {
    for (const char *Vm : {"z1a", "z2a", "z3a"})
      Fleet.announce(Vm, announcement(std::string("last-") + Vm));
    Fleet.run(Second);
  }
  for (auto &[Vm, M] : Fleet.Vms_)
    CHECK(M.upstreams(Service, Fleet.Now_).size() == 3);
  CHECK(invariantViolations() == 0);
}
