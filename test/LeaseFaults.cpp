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

/// A run with steps at which a matrix can strike: idle VMs that set floors
/// aside, a flood at one VM, one at all, a new leader, a move of all callers.
struct Story {
  using Strike = std::function<void(LeaseFleet &, std::int64_t Millis)>;

  LeaseFleet Fleet_{threeZones()};
  Strike Strike_ = [](LeaseFleet &, std::int64_t) {};

  void play() {
    advance(1500);
    Fleet_.electSilently(vm(0));
    learnAll();
    advance(4500);
    flood({1});
    advance(700);
    flood({0, 1, 2, 3});
    advance(300);
    Fleet_.loseLeader();
    advance(520);
    Fleet_.electSilently(vm(2));
    learnAll();
    flood({3});
    advance(4000);
    Fleet_.clearLoads();
    advance(2500);
    flood({0, 1, 2, 3});
    advance(500);
  }

private:
  void flood(std::vector<int> At) {
    Fleet_.clearLoads();
    for (int I : At)
      Fleet_.offerLater(vm(I), Team, 400.0 / static_cast<double>(At.size()));
  }
  void learnAll() {
    for (const VmId &Id : Fleet_.ids())
      Fleet_.learnLeader(Id);
  }
  void advance(int Millis) {
    for (int I = 0; I < Millis; ++I) {
      Strike_(Fleet_, Elapsed_++);
      Fleet_.run(Duration::millis(1));
    }
  }
  std::int64_t Elapsed_ = 0;
};

std::uint64_t messagesOfStory() {
  Story S;
  S.play();
  CHECK(S.Fleet_.overspend() <= 0);
  // The burst and what two seconds earn: enough for any excess to show.
  CHECK(S.Fleet_.taken(Team) > 60 + 2 * 100);
  return S.Fleet_.network().sent();
}

Fate lost() { return {.Lost_ = true}; }
Fate late() { return {.Delay_ = Duration::millis(3200)}; }
Fate doubled() { return {.Copies_ = 2, .Delay_ = Duration::millis(240)}; }
Fate overtaken() { return {.Delay_ = Duration::millis(90)}; }

/// Crashes a VM at a time and restarts it some time later.
Story::Strike restartAt(VmId Id, std::int64_t At, std::int64_t For) {
  return [=](LeaseFleet &Fleet, std::int64_t Millis) {
    if (Millis == At)
      Fleet.crash(Id);
    if (Millis == At + For)
      Fleet.restart(Id);
  };
}

/// Strikes at random: messages, processes, links, leaders, clocks, callers.
class Chaos {
public:
  explicit Chaos(std::uint64_t Seed) : Random_(Seed), Fleet_(threeZones()) {
    for (const VmId &Id : Fleet_.ids())
      Fleet_.setClockRate(Id, 1 + (drawn(1001) / 500.0 - 1) * MaxClockDrift);
    Fleet_.network().setHook(
        [this](std::uint64_t, const Envelope &) { return fate(); });
  }

  double run(int Seconds) {
    for (int I = 0; I < Seconds * 20; ++I) {
      strike();
      Fleet_.run(Duration::millis(50));
      if (Fleet_.leader().empty() && ++Leaderless_ > 11)
        elect();
    }
    return Fleet_.overspend();
  }

  int taken() { return Fleet_.taken(Team); }

private:
  std::uint64_t drawn(std::uint64_t Below) { return Random_() % Below; }
  VmId anyVm() { return vm(drawn(4)); }

  Fate fate() {
    if (drawn(100) < 5)
      return lost();
    Fate F{.Delay_ = Duration::millis(1 + drawn(5))};
    if (drawn(100) < 10)
      F.Delay_ = Duration::millis(drawn(4000));
    F.Copies_ = drawn(100) < 10 ? 2 : 1;
    return F;
  }

  void elect() {
    VmId Id = anyVm();
    if (!Fleet_.vm(Id).Up_)
      return;
    Leaderless_ = 0;
    Fleet_.electSilently(Id);
  }

  /// Moves floors: another part of the whole, or a VM more or less.
  void declare() {
    Declarations D = threeZones(drawn(2) ? 0.3 : 0.9);
    D.Vms_[anyVm()].Entry_ = drawn(2);
    Fleet_.declare(D);
  }

  void strike() {
    Fleet_.learnLeader(anyVm());
    if (drawn(4) == 0)
      Fleet_.learn(anyVm());
    Fleet_.settleIfLearnt();
    switch (drawn(60)) {
    case 0:
      return Fleet_.loseLeader();
    case 1:
      return Fleet_.crash(anyVm());
    case 2:
    case 3:
      return restartIfDown(anyVm());
    case 4:
      return Fleet_.network().cut(anyVm(), anyVm());
    case 5:
      return Fleet_.cutOff("z" + std::to_string(drawn(3)));
    case 6:
    case 7:
      return Fleet_.heal();
    case 8:
    case 9:
      return Fleet_.clearLoads();
    case 10:
    case 11:
    case 12:
      return Fleet_.offerLater(anyVm(), Team, 50.0 + drawn(400));
    case 13:
      return giveBack(anyVm());
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

  void giveBack(const VmId &Id) {
    if (Fleet_.vm(Id).Up_)
      for (auto &[Number, Shard] : Fleet_.vm(Id).Shards_)
        Shard->giveBackAll(Fleet_.localNow(Id));
  }

  Random Random_;
  LeaseFleet Fleet_;
  int Leaderless_ = 0;
};

} // namespace

TEST_CASE("No team gets more than its rate and burst") {
  std::uint64_t Before = invariantViolations();
  std::uint64_t Messages = messagesOfStory();
  REQUIRE(Messages > 100);

  SECTION("whichever message is lost, late, doubled or overtaken") {
    for (auto What : {lost, late, doubled, overtaken})
      for (std::uint64_t At = 0; At < Messages; ++At) {
        Story S;
        S.Fleet_.network().setHook([&](std::uint64_t Number, const Envelope &) {
          return Number == At ? What() : Fate();
        });
        S.play();
        INFO("message " << At);
        CHECK(S.Fleet_.overspend() <= 0);
      }
  }
  SECTION("whichever VM is restarted, and when") {
    for (int Vm = 0; Vm < 4; ++Vm)
      for (std::int64_t At = 1500; At < 14000; At += 97)
        for (std::int64_t For : {1, 2900}) {
          Story S;
          S.Strike_ = restartAt(vm(Vm), At, For);
          S.play();
          INFO("vm" << Vm << " at " << At << " for " << For);
          CHECK(S.Fleet_.overspend() <= 0);
        }
  }
  SECTION("under pairs of a restart and a disturbed message") {
    Random Draw(7);
    for (int I = 0; I < 400; ++I) {
      Story S;
      std::uint64_t At = Draw() % Messages;
      std::uint64_t Kind = Draw() % 4;
      S.Fleet_.network().setHook([&](std::uint64_t N, const Envelope &) {
        Fate Kinds[] = {lost(), late(), doubled(), overtaken()};
        return N == At ? Kinds[Kind] : Fate();
      });
      S.Strike_ = restartAt(vm(Draw() % 4), 1500 + Draw() % 12500, 5);
      S.play();
      INFO("pair " << I);
      CHECK(S.Fleet_.overspend() <= 0);
    }
  }
  SECTION("when any zone is cut off, both ways or one way") {
    for (std::int64_t At = 1500; At < 14000; At += 250)
      for (int Zone = 0; Zone < 6; ++Zone) {
        Story S;
        S.Strike_ = [&](LeaseFleet &Fleet, std::int64_t Millis) {
          if (Millis == At && Zone < 3)
            Fleet.cutOff("z" + std::to_string(Zone));
          if (Millis == At && Zone >= 3)
            for (int I = 0; I < 4; ++I)
              Fleet.network().cut(vm(Zone - 3), vm(I));
          if (Millis == At + 3500)
            Fleet.heal();
        };
        S.play();
        INFO("zone " << Zone << " at " << At);
        CHECK(S.Fleet_.overspend() <= 0);
      }
  }
  CHECK(invariantViolations() == Before);
}

TEST_CASE("No team gets more under random faults") {
  std::uint64_t Before = invariantViolations();
  int Taken = 0;
  for (std::uint64_t Seed = 1; Seed <= 150; ++Seed) {
    Chaos C(Seed);
    INFO("seed " << Seed);
    CHECK(C.run(60) <= 0);
    Taken += C.taken();
  }
  // Each run spends more than the burst: an excess would show.
  CHECK(Taken > 150 * 60);
  CHECK(invariantViolations() == Before);
}
