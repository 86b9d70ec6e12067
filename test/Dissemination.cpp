#include "lagoonpoint/Dissemination"
#include "fakes/ControlFleet.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using fakes::ControlFleet;
using fakes::ControlVm;
using fakes::MessageOutcome;

namespace {

const Duration Second = Duration::seconds(1);
const Duration PropagationTarget = Second * 7; ///< the deployment's target

bool startUp(ControlFleet &Fleet) {
  Fleet.run(Second * 3);
  Fleet.propose("first");
  return Fleet
      .runUntil(
          [&] { return Fleet.allReady() && Fleet.allAtRevision(Revision(1)); },
          Second * 15)
      .has_value();
}

} // namespace

TEST_CASE("A change reaches every VM") {
  ControlFleet Fleet(3, 3);
  REQUIRE(startUp(Fleet));
  auto HoldAll = [&](Revision R) {
    return Fleet
        .runUntil([&] { return Fleet.allAtRevision(R); }, PropagationTarget)
        .has_value();
  };

  SECTION("and the leader gets every VM's confirmation") {
    Revision R = *Fleet.propose("change");
    CHECK(HoldAll(R));
    auto Confirmed = [&] {
      const auto &All = Fleet.Vms_.at(Fleet.Leader_)->Feed_.confirmed();
      return std::all_of(Fleet.Vms_.begin(), Fleet.Vms_.end(),
                         [&](const auto &E) {
                           auto It = All.find(E.first);
                           return It != All.end() && It->second.Revision_ >= R;
                         });
    };
    CHECK(Fleet.runUntil(Confirmed, PropagationTarget));
  }
  SECTION("if each VM's first messages are lost, delayed or duplicated") {
    int Kind = GENERATE(0, 1, 2);
    std::map<VmId, int> Seen;
    Fleet.Net_.setHook([&, Kind](std::uint64_t, const Envelope &E) {
      MessageOutcome F;
      bool Affected =
          E.Channel_ == Channel::Dissemination && Seen[E.From_]++ < 4;
      F.Lost_ = Affected && Kind == 0;
      F.Copies_ = Affected && Kind == 1 ? 3 : 1;
      F.Delay_ = Duration::millis(Affected && Kind == 2 ? 2500 : 1);
      return F;
    });
    Fleet.propose("one");
    Fleet.run(Duration::millis(300));
    CHECK(HoldAll(*Fleet.propose("two")));
  }
  SECTION("after the crash of its source") {
    VmId Source = Fleet.at("z2-001").Feed_.source();
    Fleet.crash(Source);
    Fleet.run(Second * 4);
    CHECK(HoldAll(*Fleet.propose("change")));
  }
  SECTION("that is cut off from its source in one direction") {
    VmId Vm("z2-001");
    VmId Source = Fleet.at(Vm.str()).Feed_.source();
    bool Sends = GENERATE(true, false);
    if (Sends)
      Fleet.cutLink(Source, Vm);
    else
      Fleet.cutLink(Vm, Source);
    CHECK(HoldAll(*Fleet.propose("change")));
  }
  SECTION("in a zone that was cut off, after the network heals") {
    Fleet.cutZone(ZoneId("z3"));
    Fleet.run(Second * 8);
    Revision R = *Fleet.propose("change");
    Fleet.run(Second * 8);
    CHECK(Fleet.at("z3-001").Store_.revision() < R);
    Fleet.healAll();
    CHECK(HoldAll(R));
  }
  SECTION("that restarts after 700 changes") {
    VmId Vm = GENERATE(VmId("z2-000"), VmId("z2-001"));
    Fleet.crash(Vm);
    for (int Count = 0; Count < 700; ++Count)
      Fleet.propose("change " + std::to_string(Count));
    Fleet.run(Second);
    Fleet.start(Vm);
    CHECK(HoldAll(Revision(Fleet.Log_.size())));
    CHECK(Fleet.runUntil([&] { return Fleet.allReady(); }, PropagationTarget));
  }
  SECTION("whose state is wrong, by a snapshot") {
    ControlVm &V = Fleet.at("z3-002");
    V.Store_.Hash_ ^= 1;
    CHECK(Fleet.runUntil([&] { return V.Feed_.repairs() == 1; },
                         PropagationTarget));
    CHECK(V.Store_.digest() == Fleet.at("z1-000").Store_.digest());
  }
}

TEST_CASE("The only VM of a zone replaces a source that doesn't answer") {
  ControlFleet Fleet(4, 1);
  REQUIRE(startUp(Fleet));
  VmId Source = Fleet.at("z4-000").Feed_.source();
  REQUIRE(Fleet.isVoter(Source));
  Fleet.cutLink(Source, VmId("z4-000"));
  Revision R = *Fleet.propose("change");
  // Less time than membership takes to detect the failure of the source.
  Duration Limit =
      FeedOptions().SourceTimeout_ + FeedOptions().PullInterval_ * 4;
  CHECK(Fleet.runUntil([&] { return Fleet.allAtRevision(R); }, Limit));
  CHECK(Fleet.at("z4-000").Feed_.source() != Source);
}

TEST_CASE("A restarted VM") {
  ControlFleet Fleet(3, 3);
  REQUIRE(startUp(Fleet));
  VmId Vm("z2-001");

  SECTION("is not ready before it has the revision in force") {
    Fleet.crash(Vm);
    Revision R = *Fleet.propose("change");
    Fleet.run(Second);
    Fleet.start(Vm);
    Fleet.OnStep_ = [&] {
      ControlVm &V = Fleet.at(Vm.str());
      if (V.Feed_.readiness() != Readiness::NotReady)
        CHECK(V.Store_.revision() >= R);
    };
    Fleet.run(Second * 8);
    CHECK(Fleet.at(Vm.str()).Feed_.readiness() == Readiness::ByProof);
  }
  SECTION("of a zone that is cut off") {
    Fleet.cutZone(ZoneId("z2"));
    Fleet.run(Second * 8);

    SECTION("becomes ready by its zone peers") {
      Fleet.crash(Vm);
      Fleet.run(Second);
      Fleet.start(Vm);
      ControlVm &V = Fleet.at(Vm.str());
      CHECK(Fleet.runUntil([&] { return Fleet.allReady(); }, Second * 15));
      CHECK(V.Feed_.readiness() == Readiness::ByZonePeers);
      CHECK(V.Store_.revision() == Revision(1));
    }
    SECTION("without peers is ready only with a state on disk") {
      for (const char *Id : {"z2-000", "z2-001", "z2-002"})
        Fleet.crash(VmId(Id));
      bool Disk = GENERATE(true, false);
      Fleet.start(Vm, Disk);
      Fleet.run(Second * 20);
      ControlVm &V = Fleet.at(Vm.str());
      CHECK(V.Feed_.readiness() ==
            (Disk ? Readiness::ByDiskCache : Readiness::NotReady));
      CHECK(V.Feed_.whyNotReady(Fleet.Now_).empty() == Disk);
    }
  }
}

TEST_CASE("A feed that gets an answer from a peer of its zone") {
  const VmId Self("b"), Peer("a");
  Time Now(1000);
  fakes::FakeStore Store;
  Store.apply({Revision(0), Revision(3), "abc"});
  FeedOptions Options;
  Options.Self_ = Self;
  Options.Zone_ = ZoneId("z1");
  Options.Incarnation_ = Incarnation(7);
  Feed F(Options, Store, Now);
  F.setPeers({{Self, Options.Zone_, true, false, false},
              {Peer, Options.Zone_, true, false, true}},
             VmId(), Now);
  FeedUpdate Update;
  Update.RequesterIncarnation_ = Options.Incarnation_;
  Update.Ready_ = true;
  Update.Revision_ = Revision(3);
  auto Deliver = [&] {
    Update.SentAt_ = Now - Time();
    F.receive({Peer, Self, Channel::Dissemination, "\2" + encode(Update)}, Now);
    F.tick(Now);
  };

  SECTION("becomes ready after the proof time-out if the peer is not ahead") {
    Deliver();
    CHECK(F.readiness() == Readiness::NotReady);
    Now = Now + Options.ProofTimeout_;
    Deliver();
    CHECK(F.readiness() == Readiness::ByZonePeers);
  }
  SECTION("stays not ready if the peer is ahead") {
    Update.Revision_ = Revision(4);
    Now = Now + Options.ProofTimeout_;
    Deliver();
    CHECK(F.readiness() == Readiness::NotReady);
  }
  SECTION("keeps its state if the answer is older") {
    fakes::FakeStore Older;
    Older.apply({Revision(0), Revision(2), "ab"});
    Update.Snapshots_ = {Older.snapshot()};
    Update.Deltas_ = {{Revision(2), Revision(3), "c"}};
    Deliver();
    CHECK(Store.revision() == Revision(3));
    CHECK(F.snapshotsTaken() == 0);
  }
  SECTION("keeps its state and counts an unreadable snapshot") {
    Update.Snapshots_ = {{Revision(9), "garbage"}};
    Deliver();
    CHECK(Store.revision() == Revision(3));
    CHECK(F.refusedBodies() == 1);
  }
  SECTION("accepts a proof only once it has the revision") {
    Update.HasProof_ = true;
    Update.ProofRevision_ = Revision(4);
    Deliver();
    CHECK_FALSE(F.keyFreshness(Contact::Connected, Now).ProvedAt_);
    Update.Deltas_ = {{Revision(3), Revision(4), "d"}};
    Deliver();
    CHECK(F.keyFreshness(Contact::Connected, Now).ProvedAt_ == Now);
  }
  SECTION("ignores a proof for an earlier process of its VM") {
    Update.HasProof_ = true;
    Update.RequesterIncarnation_ = Incarnation(6);
    Deliver();
    CHECK_FALSE(F.keyFreshness(Contact::Connected, Now).ProvedAt_);
  }
  SECTION("dates a proof from the request, less the age of the proof") {
    Update.HasProof_ = true;
    Update.ProofAge_ = Duration::millis(300);
    Update.SentAt_ = Now - Time();
    F.receive({Peer, Self, Channel::Dissemination, "\2" + encode(Update)},
              Now + Second);
    CHECK(F.keyFreshness(Contact::Connected, Now + Second).ProvedAt_ ==
          Now - Duration::millis(300));
  }
}

TEST_CASE("The error for a malformed feed message names the sender") {
  ControlFleet Fleet(1, 2);
  std::string Body = GENERATE(std::string(), std::string("\1garbage"),
                              std::string("\2"), std::string("\7"));
  try {
    Fleet.at("z1-000").Feed_.receive(
        {VmId("z1-001"), VmId("z1-000"), Channel::Dissemination, Body},
        Fleet.Now_);
    FAIL("malformed message accepted");
  } catch (const CodecError &E) {
    CHECK(E.peer() == "z1-001");
  }
}

TEST_CASE("No ready VM's revision decreases under random faults") {
  auto Seed = GENERATE(range(1, 21));
  Random Rng(static_cast<unsigned>(Seed));
  ControlFleet Fleet(3, 3);
  REQUIRE(startUp(Fleet));
  bool Faulty = true;
  Fleet.Net_.setHook([&](std::uint64_t, const Envelope &) {
    MessageOutcome F;
    F.Lost_ = Faulty && Rng() % 5 == 0;
    F.Copies_ = 1 + (Faulty && Rng() % 10 == 0);
    F.Delay_ = Duration::millis(Faulty ? Rng() % 600 : 1);
    return F;
  });
  std::map<VmId, Revision> Served;
  Fleet.OnStep_ = [&] {
    for (auto &[Vm, V] : Fleet.Vms_) {
      Readiness R = V->Feed_.readiness();
      if (R == Readiness::NotReady)
        continue;
      if (R != Readiness::ByZonePeers && V->Store_.revision() < Served[Vm])
        FAIL(Vm << " reverted to revision " << V->Store_.revision());
      Served[Vm] = std::max(Served[Vm], V->Store_.revision());
    }
  };
  std::vector<VmId> Ids;
  for (const auto &[Vm, Zone] : Fleet.DeclaredVms_)
    Ids.push_back(Vm);
  for (int Round = 0; Round < 60; ++Round) {
    VmId Vm = Ids[Rng() % Ids.size()];
    switch (Rng() % 7) {
    case 0:
      Fleet.crash(Vm);
      break;
    case 1:
    case 2:
      if (!Fleet.isUp(Vm))
        Fleet.start(Vm, Rng() % 2 == 0);
      break;
    case 3:
      Fleet.cutZone(Fleet.DeclaredVms_[Vm]);
      break;
    case 4:
      Fleet.cutLink(Vm, Ids[Rng() % Ids.size()]);
      break;
    case 5:
      Fleet.healAll();
      break;
    default:
      for (std::uint64_t Count = Rng() % 40; Count > 0; --Count)
        Fleet.propose("change");
    }
    Fleet.run(Duration::millis(Rng() % 2500));
  }
  Faulty = false;
  Fleet.healAll();
  for (const VmId &Vm : Ids)
    if (!Fleet.isUp(Vm))
      Fleet.start(Vm);
  Fleet.run(Second * 12);
  REQUIRE(Fleet.propose("last"));
  CHECK(Fleet.runUntil(
      [&] { return Fleet.allAtRevision(Revision(Fleet.Log_.size())); },
      PropagationTarget));
  for (auto &[Vm, V] : Fleet.Vms_)
    CHECK(V->Store_.digest() == Fleet.at("z1-000").Store_.digest());
  CHECK(invariantViolations() == 0);
}
