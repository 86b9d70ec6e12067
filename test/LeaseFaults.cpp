#include "fakes/LeaseFleet.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

namespace {

const QuantityId Team = teamRate(TeamId("big"));

VmId vm(std::uint64_t Number) { return VmId("vm" + std::to_string(Number)); }

Declarations threeZones(double FloorShare = 0.3) {
  Declarations D;
  D.Fleet_.FloorShare_ = FloorShare;
  for (int I = 0; I < 4; ++I) {
    ZoneId Zone("z" + std::to_string(I % 3));
    D.Zones_[Zone] = {Zone, RegionId("r"), false};
    VmDecl Vm;
    Vm.Id_ = vm(I);
    Vm.Zone_ = Zone;
    D.Vms_[Vm.Id_] = Vm;
  }
  LeaseFleet::addTeam(D, "big", 100, 60);
  return D;
}

/// A fixed sequence into which faults can be injected at any millisecond: idle
/// VMs that cede floors, overload at one VM, overload at all VMs, a change of
/// leader, and all callers moving to another VM.
struct FaultScenario {
  using FaultInjector = std::function<void(LeaseFleet &, std::int64_t Millis)>;

  LeaseFleet Fleet_{threeZones()};
  FaultInjector InjectFault_ = [](LeaseFleet &, std::int64_t) {};

  void run() {
    advance(1500);
    Fleet_.electUnannounced(vm(0));
    learnAll();
    advance(4500);
    setLoadAt({1});
    advance(700);
    setLoadAt({0, 1, 2, 3});
    advance(300);
    Fleet_.expireLeadership();
    advance(520);
    Fleet_.electUnannounced(vm(2));
    learnAll();
    setLoadAt({3});
    advance(4000);
    Fleet_.clearLoads();
    advance(2500);
    setLoadAt({0, 1, 2, 3});
    advance(500);
  }

private:
  void setLoadAt(std::vector<int> At) {
    Fleet_.clearLoads();
    for (int I : At)
      Fleet_.addLoad(vm(I), Team, 400.0 / static_cast<double>(At.size()));
  }
  void learnAll() {
    for (const VmId &Id : Fleet_.ids())
      Fleet_.learnLeader(Id);
  }
  void advance(int Millis) {
    for (int I = 0; I < Millis; ++I) {
      InjectFault_(Fleet_, Elapsed_++);
      Fleet_.run(Duration::millis(1));
    }
  }
  std::int64_t Elapsed_ = 0;
};

std::uint64_t messagesWithoutFaults() {
  FaultScenario S;
  S.run();
  CHECK(S.Fleet_.worstOverspend() <= 0);
  // More than the burst and two seconds of the rate, so that any excess is
  // visible.
  CHECK(S.Fleet_.taken(Team) > 60 + 2 * 100);
  return S.Fleet_.network().sent();
}

MessageOutcome loseMessage() { return {.Lost_ = true}; }
MessageOutcome delayMessage() { return {.Delay_ = Duration::millis(3200)}; }
MessageOutcome duplicateMessage() {
  return {.Copies_ = 2, .Delay_ = Duration::millis(240)};
}
MessageOutcome reorderMessage() { return {.Delay_ = Duration::millis(90)}; }

/// Crashes a VM at \p At and restarts it \p For milliseconds later.
FaultScenario::FaultInjector restartAt(VmId Id, std::int64_t At,
                                       std::int64_t For) {
  return [=](LeaseFleet &Fleet, std::int64_t Millis) {
    if (Millis == At)
      Fleet.crash(Id);
    if (Millis == At + For)
      Fleet.restart(Id);
  };
}

/// Injects random faults into messages, processes, links, leaders, clocks and
/// load.
class RandomFaults {
public:
  explicit RandomFaults(std::uint64_t Seed)
      : Random_(Seed), Fleet_(threeZones()) {
    for (const VmId &Id : Fleet_.ids())
      Fleet_.setClockRate(Id,
                          1 + (randomBelow(1001) / 500.0 - 1) * MaxClockDrift);
    Fleet_.network().setHook(
        [this](std::uint64_t, const Envelope &) { return randomOutcome(); });
  }

  double run(int Seconds) {
    for (int I = 0; I < Seconds * 20; ++I) {
      injectFault();
      Fleet_.run(Duration::millis(50));
      if (Fleet_.leader().empty() && ++LeaderlessSteps_ > 11)
        elect();
    }
    return Fleet_.worstOverspend();
  }

  int taken() { return Fleet_.taken(Team); }

private:
  std::uint64_t randomBelow(std::uint64_t Below) { return Random_() % Below; }
  VmId anyVm() { return vm(randomBelow(4)); }

  MessageOutcome randomOutcome() {
    if (randomBelow(100) < 5)
      return loseMessage();
    MessageOutcome F{.Delay_ = Duration::millis(1 + randomBelow(5))};
    if (randomBelow(100) < 10)
      F.Delay_ = Duration::millis(randomBelow(4000));
    F.Copies_ = randomBelow(100) < 10 ? 2 : 1;
    return F;
  }

  void elect() {
    VmId Id = anyVm();
    if (!Fleet_.vm(Id).Up_)
      return;
    LeaderlessSteps_ = 0;
    Fleet_.electUnannounced(Id);
  }

  /// Changes floors by another floor share, or by adding or removing a VM.
  void declare() {
    Declarations D = threeZones(randomBelow(2) ? 0.3 : 0.9);
    D.Vms_[anyVm()].Entry_ = randomBelow(2);
    Fleet_.declare(D);
  }

  void injectFault() {
    Fleet_.learnLeader(anyVm());
    if (randomBelow(4) == 0)
      Fleet_.learn(anyVm());
    Fleet_.settleIfConfirmed();
    switch (randomBelow(60)) {
    case 0:
      return Fleet_.expireLeadership();
    case 1:
      return Fleet_.crash(anyVm());
    case 2:
    case 3:
      return restartIfDown(anyVm());
    case 4:
      return Fleet_.network().cut(anyVm(), anyVm());
    case 5:
      return Fleet_.cutOff("z" + std::to_string(randomBelow(3)));
    case 6:
    case 7:
      return Fleet_.heal();
    case 8:
    case 9:
      return Fleet_.clearLoads();
    case 10:
    case 11:
    case 12:
      return Fleet_.addLoad(anyVm(), Team, 50.0 + randomBelow(400));
    case 13:
      return releaseLeases(anyVm());
    case 14:
      return declare();
    default:
      return;
    }
  }

  void restartIfDown(const VmId &Id) {
    if (!Fleet_.vm(Id).Up_)
      Fleet_.restart(Id);
  }

  void releaseLeases(const VmId &Id) {
    if (Fleet_.vm(Id).Up_)
      for (auto &[Number, Shard] : Fleet_.vm(Id).Shards_)
        Shard->releaseAll(Fleet_.localNow(Id));
  }

  Random Random_;
  LeaseFleet Fleet_;
  int LeaderlessSteps_ = 0;
};

} // namespace

TEST_CASE("A team never exceeds its rate and burst") {
  std::uint64_t Before = invariantViolations();
  std::uint64_t Messages = messagesWithoutFaults();
  REQUIRE(Messages > 100);

  SECTION("if any one message is lost, delayed, duplicated or reordered") {
    for (auto MakeFate :
         {loseMessage, delayMessage, duplicateMessage, reorderMessage})
      for (std::uint64_t At = 0; At < Messages; ++At) {
        FaultScenario S;
        S.Fleet_.network().setHook([&](std::uint64_t Number, const Envelope &) {
          return Number == At ? MakeFate() : MessageOutcome();
        });
        S.run();
        INFO("message " << At);
        CHECK(S.Fleet_.worstOverspend() <= 0);
      }
  }
  SECTION("if any VM restarts at any time") {
    for (int Vm = 0; Vm < 4; ++Vm)
      for (std::int64_t At = 1500; At < 14000; At += 97)
        for (std::int64_t For : {1, 2900}) {
          FaultScenario S;
          S.InjectFault_ = restartAt(vm(Vm), At, For);
          S.run();
          INFO("vm" << Vm << " at " << At << " for " << For);
          CHECK(S.Fleet_.worstOverspend() <= 0);
        }
  }
  SECTION("under a restart combined with a message fault") {
    Random Draw(7);
    for (int I = 0; I < 400; ++I) {
      FaultScenario S;
      std::uint64_t At = Draw() % Messages;
      std::uint64_t Kind = Draw() % 4;
      S.Fleet_.network().setHook([&](std::uint64_t N, const Envelope &) {
        MessageOutcome Kinds[] = {loseMessage(), delayMessage(),
                                  duplicateMessage(), reorderMessage()};
        return N == At ? Kinds[Kind] : MessageOutcome();
      });
      S.InjectFault_ = restartAt(vm(Draw() % 4), 1500 + Draw() % 12500, 5);
      S.run();
      INFO("pair " << I);
      CHECK(S.Fleet_.worstOverspend() <= 0);
    }
  }
  SECTION("if any zone is isolated in both directions or in one") {
    for (std::int64_t At = 1500; At < 14000; At += 250)
      for (int Zone = 0; Zone < 6; ++Zone) {
        FaultScenario S;
        S.InjectFault_ = [&](LeaseFleet &Fleet, std::int64_t Millis) {
          if (Millis == At && Zone < 3)
            Fleet.cutOff("z" + std::to_string(Zone));
          if (Millis == At && Zone >= 3)
            for (int I = 0; I < 4; ++I)
              Fleet.network().cut(vm(Zone - 3), vm(I));
          if (Millis == At + 3500)
            Fleet.heal();
        };
        S.run();
        INFO("zone " << Zone << " at " << At);
        CHECK(S.Fleet_.worstOverspend() <= 0);
      }
  }
  CHECK(invariantViolations() == Before);
}

TEST_CASE("A team never exceeds its rate and burst under random faults") {
  std::uint64_t Before = invariantViolations();
  int Taken = 0;
  for (std::uint64_t Seed = 1; Seed <= 150; ++Seed) {
    RandomFaults C(Seed);
    INFO("seed " << Seed);
    CHECK(C.run(60) <= 0);
    Taken += C.taken();
  }
  // On average, runs use more than the burst, so that an excess would be
  // visible.
  CHECK(Taken > 150 * 60);
  CHECK(invariantViolations() == Before);
}
