#include "fakes/ControlFleet.h"
#include "lagoonpoint/Dissemination"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using fakes::ControlFleet;
using fakes::MessageOutcome;

namespace {

const Duration Second = Duration::seconds(1);
const Duration Hour = Second * 3600;
const KeyId Key("k1");

/// How long after the commit of a withdrawal a VM with a valid proof may still
/// accept the key.
const Duration AcceptanceBound = leaseExpiryBound(FeedOptions().KeyLease_);

void startUp(ControlFleet &Fleet) {
  Fleet.run(Second * 3);
  Fleet.propose("first");
  REQUIRE(Fleet.runUntil([&] { return Fleet.allReady(); }, Second * 15));
  Fleet.run(Second * 2);
}

bool allVerdictsAre(ControlFleet &Fleet, KeyVerdict Verdict) {
  return std::all_of(Fleet.Vms_.begin(), Fleet.Vms_.end(), [&](auto &E) {
    return Fleet.verdict(E.first, Key, Hour) == Verdict;
  });
}

} // namespace

TEST_CASE("The verdict on a known key") {
  WithdrawnKeys None({.Self_ = VmId("a")});
  KeyFreshness C{.ProvedAt_ = Time(1000),
                 .Lease_ = Second * 5,
                 .Contact_ = Contact::Connected,
                 .ZoneExpired_ = false};
  auto At = [&](Time Now) { return keyVerdict(C, None, Key, Hour, Now); };
  Time Expiry = Time(1000) + C.Lease_;

  SECTION("is Ok until the proof expires") {
    CHECK(At(Expiry - Duration::millis(1)) == KeyVerdict::Ok);
    CHECK(At(Expiry) == KeyVerdict::NotCurrent);
  }
  SECTION("stays Ok for the declared time if the whole zone's proofs expired") {
    C.ZoneExpired_ = true;
    C.Contact_ = Contact::ZoneCutOff;
    CHECK(At(Expiry) == KeyVerdict::Ok);
    CHECK(At(Time(1000) + Hour) == KeyVerdict::NotCurrent);
    CHECK(keyVerdict(C, None, Key, Duration(), Expiry) ==
          KeyVerdict::NotCurrent);
  }
  SECTION("is NotCurrent on a VM without contact") {
    C.ZoneExpired_ = true;
    C.Contact_ = Contact::Alone;
    CHECK(At(Expiry) == KeyVerdict::NotCurrent);
  }
  SECTION("is NotCurrent without any proof") {
    C.ProvedAt_.reset();
    CHECK(At(Time(1000)) == KeyVerdict::NotCurrent);
  }
  SECTION("is Withdrawn whatever the proof") {
    None.withdraw(Key);
    CHECK(At(Time(1000)) == KeyVerdict::Withdrawn);
  }
}

TEST_CASE("A key withdrawn at one VM is withdrawn at all") {
  ControlFleet Fleet(3, 3);
  startUp(Fleet);
  REQUIRE(allVerdictsAre(Fleet, KeyVerdict::Ok));

  SECTION("without a quorum") {
    Fleet.crash(VmId("z1-000"));
    Fleet.crash(VmId("z2-000"));
    Fleet.at("z3-002").Withdrawn_.withdraw(Key);
    CHECK(Fleet.runUntil(
        [&] { return allVerdictsAre(Fleet, KeyVerdict::Withdrawn); },
        Second * 3));
  }
  SECTION("in its cut-off zone, and elsewhere after the network heals") {
    Fleet.cutZone(ZoneId("z2"));
    Fleet.run(Second * 8);
    Fleet.at("z2-001").Withdrawn_.withdraw(Key);
    Fleet.run(Second * 3);
    for (const auto &[Vm, Zone] : Fleet.DeclaredVms_)
      CHECK(Fleet.at(Vm.str()).Withdrawn_.contains(Key) ==
            (Zone == ZoneId("z2")));
    Fleet.healAll();
    CHECK(Fleet.runUntil(
        [&] { return allVerdictsAre(Fleet, KeyVerdict::Withdrawn); },
        Second * 10));
  }
  SECTION("also on a VM that restarts without a state") {
    Fleet.at("z1-001").Withdrawn_.withdraw(Key);
    Fleet.run(Second * 2);
    Fleet.crash(VmId("z3-001"));
    Fleet.start(VmId("z3-001"));
    CHECK(Fleet.runUntil(
        [&] { return allVerdictsAre(Fleet, KeyVerdict::Withdrawn); },
        Second * 8));
  }
}

TEST_CASE("A withdrawal is gossiped at once, for a fixed number of rounds") {
  WithdrawalOptions Options{.Self_ = VmId("a")};
  WithdrawnKeys Keys(Options);
  Keys.setPeers({VmId("a"), VmId("b"), VmId("c"), VmId("d"), VmId("e")});
  Random Rng(1);
  Time Now(5000);
  Keys.tick(Rng, Now);
  Keys.takeOutbox();
  Keys.withdraw(Key);
  Keys.withdraw(Key);
  std::size_t SentCount = 0;
  for (int Step = 0; Step < 9; ++Step) {
    Keys.tick(Rng, Now);
    std::vector<Envelope> Out = Keys.takeOutbox();
    SentCount += Out.size();
    CHECK((Step > 0 || Out.size() == Options.Fanout_));
    for (const Envelope &E : Out)
      CHECK(E.To_ != Options.Self_);
    Now = Now + Duration::millis(100);
  }
  CHECK(SentCount == Options.Fanout_ * Options.Rounds_);
}

TEST_CASE("Sets of withdrawn keys are reconciled by bucket digests") {
  WithdrawnKeys A({.Self_ = VmId("a")}), B({.Self_ = VmId("b")});
  A.setPeers({VmId("b")});
  B.setPeers({VmId("a")});
  std::set<KeyId> Many;
  for (int Number = 0; Number < 1000; ++Number)
    Many.insert(KeyId("k" + std::to_string(Number)));
  A.addFromLog(Many);
  B.addFromLog(Many);
  A.addFromLog({KeyId("only-a")});
  B.addFromLog({KeyId("only-b")});
  Random Rng(1);
  A.tick(Rng, Time(5000));
  std::size_t Bytes = 0;
  for (int Hop = 0; Hop < 6; ++Hop)
    for (WithdrawnKeys *From : {&A, &B})
      for (const Envelope &E : From->takeOutbox()) {
        Bytes += E.Body_.size();
        (From == &A ? B : A).receive(E);
      }
  CHECK(A.keys() == B.keys());
  CHECK(A.keys().size() == 1002);
  CHECK(Bytes < 2000);
}

TEST_CASE("An isolated VM refuses keys once its proof has expired") {
  ControlFleet Fleet(3, 3);
  startUp(Fleet);
  VmId Vm("z2-001");
  for (const auto &[Other, Zone] : Fleet.DeclaredVms_) {
    Fleet.cutLink(Vm, Other);
    Fleet.cutLink(Other, Vm);
  }
  Fleet.propose("-k1");
  Time Committed = Fleet.Now_;
  Fleet.run(AcceptanceBound);
  Fleet.OnStep_ = [&] {
    CHECK(Fleet.verdict(Vm, Key, Hour) == KeyVerdict::NotCurrent);
  };
  Fleet.run(Second * 10);
  CHECK(Fleet.Now_ - Committed > AcceptanceBound);
}

TEST_CASE("A cut-off zone accepts known keys for the declared time") {
  ControlFleet Fleet(3, 3);
  startUp(Fleet);
  Fleet.cutZone(ZoneId("z2"));
  Fleet.OnStep_ = [&] {
    CHECK(Fleet.verdict(VmId("z2-001"), Key, Hour) == KeyVerdict::Ok);
  };
  Fleet.run(Second * 20);
  CHECK(Fleet.verdict(VmId("z2-001"), Key, Second * 10) ==
        KeyVerdict::NotCurrent);
  CHECK(Fleet.verdict(VmId("z1-001"), Key, Second * 10) == KeyVerdict::Ok);
}

TEST_CASE("No VM accepts a withdrawn key after the bound, under any faults") {
  auto Seed = GENERATE(range(1, 41));
  bool Gossip = GENERATE(true, false);
  Random Rng(static_cast<unsigned>(Seed));
  ControlFleet Fleet(3, 3);
  Fleet.GossipEnabled_ = Gossip;
  startUp(Fleet);
  Fleet.Net_.setHook([&](std::uint64_t, const Envelope &) {
    MessageOutcome F;
    F.Lost_ = Rng() % 10 == 0;
    F.Copies_ = 1 + (Rng() % 10 == 0);
    F.Delay_ = Duration::millis(Rng() % 300);
    return F;
  });
  std::vector<VmId> Ids;
  for (const auto &[Vm, Zone] : Fleet.DeclaredVms_)
    Ids.push_back(Vm);
  std::map<VmId, Time> CutSince; ///< VMs that may accept keys as a cut-off zone
  Time Committed;
  Fleet.OnStep_ = [&] {
    if (Committed == Time() || Fleet.Now_ - Committed <= AcceptanceBound)
      return;
    for (auto &[Vm, V] : Fleet.Vms_)
      if (!CutSince.count(Vm) && V->Feed_.readiness() != Readiness::NotReady)
        REQUIRE(Fleet.verdict(Vm, Key, Hour) != KeyVerdict::Ok);
  };
  for (int Round = 0; Round < 30; ++Round) {
    VmId Vm = Ids[Rng() % Ids.size()];
    switch (Rng() % 6) {
    case 0:
      if (!Fleet.isVoter(Vm))
        Fleet.crash(Vm);
      break;
    case 1:
      if (!Fleet.isUp(Vm))
        Fleet.start(Vm);
      break;
    case 2:
      if (!CutSince.empty())
        break;
      Fleet.cutZone(Fleet.DeclaredVms_[Vm]);
      for (const auto &[Other, Zone] : Fleet.DeclaredVms_)
        if (Zone == Fleet.DeclaredVms_[Vm])
          CutSince[Other] = Fleet.Now_;
      break;
    case 3:
      Fleet.healAll();
      break;
    default:
      if (Committed == Time() && Round > 8 && Fleet.propose("-k1"))
        Committed = Fleet.Now_;
    }
    Fleet.run(Duration::millis(Rng() % 2500));
  }
  Fleet.Net_.setHook({});
  Fleet.healAll();
  for (const VmId &Vm : Ids)
    if (!Fleet.isUp(Vm))
      Fleet.start(Vm);
  if (Committed != Time())
    CHECK(Fleet.runUntil(
        [&] { return allVerdictsAre(Fleet, KeyVerdict::Withdrawn); },
        Second * 15));
}
