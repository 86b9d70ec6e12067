#include "fakes/OnceZone.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

namespace {

const std::string Suffix = "transfer";

MessageOutcome loseMessage() { return {.Lost_ = true}; }
MessageOutcome delayMessage() { return {.Delay_ = Duration::millis(700)}; }
MessageOutcome duplicateMessage() {
  return {.Copies_ = 2, .Delay_ = Duration::millis(90)};
}
MessageOutcome reorderMessage() { return {.Delay_ = Duration::millis(7)}; }

/// One key, called and resent at every VM, across two changes of view.
struct FaultScenario {
  using FaultInjector = std::function<void(OnceZone &, std::int64_t Millis)>;

  OnceZone Zone_{3};
  std::string Key_ = Zone_.key(Suffix);
  FaultInjector InjectFault_ = [](OnceZone &, std::int64_t) {};

  void run() {
    for (std::int64_t At = 0; At < 1600; ++At) {
      InjectFault_(Zone_, At);
      if (At % 40 == 0)
        callEverywhere(At % 80 == 0);
      if (At == 400 || At == 900)
        Zone_.decideView();
      if (At == 410 || At == 910)
        Zone_.learnView(VmId("vm0"));
      if (At == 450 || At == 950)
        for (const VmId &Vm : Zone_.vms())
          Zone_.learnView(Vm);
      if (At % 100 == 77 && Zone_.running().count(Key_))
        Zone_.completeRun(Key_);
      Zone_.run(Duration::millis(1));
    }
  }

private:
  void callEverywhere(bool Forwarded) {
    for (const VmId &Vm : Zone_.vms())
      if (Zone_.up(Vm))
        Zone_.call(Vm, Key_, "body", Forwarded);
  }
};

FaultScenario::FaultInjector restartAt(VmId Vm, std::int64_t At,
                                       std::int64_t For) {
  return [=](OnceZone &Zone, std::int64_t Millis) {
    if (Millis == At)
      Zone.crash(Vm);
    if (Millis == At + For)
      Zone.start(Vm);
  };
}

std::uint64_t messagesWithoutFaults() {
  FaultScenario S;
  S.run();
  CHECK(S.Zone_.dispatchCount(S.Key_) == 1);
  return S.Zone_.network().sent();
}

/// Many keys, with random faults in messages, processes, links and views.
class RandomFaults {
public:
  explicit RandomFaults(std::uint64_t Seed) : Random_(Seed) {
    Zone_.network().setHook([this](std::uint64_t, const Envelope &) {
      if (randomBelow(100) < 10)
        return loseMessage();
      MessageOutcome F{.Delay_ = Duration::millis(1 + randomBelow(4))};
      if (randomBelow(100) < 20)
        F.Delay_ = Duration::millis(randomBelow(2000));
      F.Copies_ = randomBelow(100) < 15 ? 2 : 1;
      return F;
    });
  }

  void run(int Steps) {
    for (int I = 0; I < Steps; ++I) {
      injectFault();
      Zone_.run(Duration::millis(5));
    }
  }

  int maxDispatchCount() const {
    int Most = 0;
    for (const auto &[Key, Runs] : Zone_.dispatchCounts())
      Most = std::max(Most, Runs);
    return Most;
  }
  int falseNotRun() const { return Zone_.falseNotRunCount(); }
  std::size_t ran() const { return Zone_.dispatchCounts().size(); }

private:
  std::uint64_t randomBelow(std::uint64_t Below) { return Random_() % Below; }
  VmId anyVm() { return VmId("vm" + std::to_string(randomBelow(3))); }

  void injectFault() {
    if (Keys_.empty() || randomBelow(8) == 0)
      Keys_.push_back(Zone_.key(std::to_string(Keys_.size())));
    VmId Vm = anyVm();
    std::size_t Recent = std::min<std::size_t>(Keys_.size(), 12);
    const std::string &Key = Keys_[Keys_.size() - 1 - randomBelow(Recent)];
    if (Zone_.up(Vm))
      Zone_.call(Vm, Key, "body", randomBelow(2));
    if (!Zone_.running().empty() && randomBelow(4) == 0)
      Zone_.completeRun(Zone_.running().begin()->first);
    switch (randomBelow(50)) {
    case 0:
      return Zone_.crash(anyVm());
    case 1:
    case 2:
      if (!Zone_.up(Vm))
        Zone_.start(Vm);
      return;
    case 3:
      return Zone_.restart(Vm);
    case 4:
      return Zone_.network().cut(anyVm(), anyVm());
    case 5:
    case 6:
      return Zone_.network().healAll();
    case 7:
      // A VM may be left out of the view while it keeps running.
      return Zone_.decideView({anyVm()});
    case 8:
      return Zone_.decideView();
    case 9:
    case 10:
    case 11:
      return Zone_.learnView(anyVm());
    default:
      return;
    }
  }

  Random Random_;
  OnceZone Zone_{3};
  std::vector<std::string> Keys_;
};

} // namespace

TEST_CASE("A key is dispatched at most once under single faults") {
  std::uint64_t Before = invariantViolations();
  std::uint64_t Messages = messagesWithoutFaults();
  REQUIRE(Messages > 8);

  SECTION("if any one message is lost, delayed, duplicated or reordered") {
    for (auto MakeFate :
         {loseMessage, delayMessage, duplicateMessage, reorderMessage})
      for (std::uint64_t At = 0; At < Messages; ++At) {
        FaultScenario S;
        S.Zone_.network().setHook([&](std::uint64_t Number, const Envelope &) {
          return Number == At ? MakeFate() : MessageOutcome();
        });
        S.run();
        INFO("message " << At);
        CHECK(S.Zone_.dispatchCount(S.Key_) <= 1);
        CHECK(S.Zone_.falseNotRunCount() == 0);
      }
  }
  SECTION("if any VM restarts at any time") {
    for (const char *Vm : {"vm0", "vm1", "vm2"})
      for (std::int64_t At = 0; At < 1000; At += At < 20 ? 1 : 13)
        for (std::int64_t For : {0, 30, 600}) {
          FaultScenario S;
          S.InjectFault_ = restartAt(VmId(Vm), At, For);
          S.run();
          INFO(Vm << " at " << At << " for " << For);
          CHECK(S.Zone_.dispatchCount(S.Key_) <= 1);
          CHECK(S.Zone_.falseNotRunCount() == 0);
          CHECK(S.Zone_.falseNotRunCount() == 0);
        }
  }
  SECTION("if two VMs restart at random times") {
    Random Draw(3);
    for (int I = 0; I < 400; ++I) {
      FaultScenario S;
      auto First = restartAt(VmId("vm" + std::to_string(Draw() % 3)),
                             Draw() % 900, Draw() % 60);
      auto Second = restartAt(VmId("vm" + std::to_string(Draw() % 3)),
                              Draw() % 900, Draw() % 60);
      S.InjectFault_ = [&](OnceZone &Zone, std::int64_t Millis) {
        First(Zone, Millis);
        Second(Zone, Millis);
      };
      S.run();
      INFO("pair " << I);
      CHECK(S.Zone_.dispatchCount(S.Key_) <= 1);
      CHECK(S.Zone_.falseNotRunCount() == 0);
    }
  }
  SECTION("if any VM is isolated while the others continue") {
    for (const char *Vm : {"vm0", "vm1", "vm2"})
      for (std::int64_t At = 0; At < 1000; At += At < 20 ? 1 : 37) {
        FaultScenario S;
        S.InjectFault_ = [&](OnceZone &Zone, std::int64_t Millis) {
          for (const VmId &Other : Zone.vms()) {
            if (Millis == At)
              Zone.network().cut(VmId(Vm), Other);
            if (Millis == At && At % 2)
              Zone.network().cut(Other, VmId(Vm));
          }
          if (Millis == At + 500)
            Zone.network().healAll();
        };
        S.run();
        INFO(Vm << " at " << At);
        CHECK(S.Zone_.dispatchCount(S.Key_) <= 1);
        CHECK(S.Zone_.falseNotRunCount() == 0);
      }
  }
  CHECK(invariantViolations() == Before);
}

TEST_CASE("A delayed release does not free a newer claim of its owner") {
  OnceZone Zone(3);
  const VmId Home = Zone.homeOf(Suffix);
  const std::string Key = Zone.key(Suffix);
  const VmId ConfirmingVm = Zone.otherThan(Home);
  VmId UnreachableVm;
  for (const VmId &Vm : Zone.vms())
    if (Vm != Home && Vm != ConfirmingVm)
      UnreachableVm = Vm;

  Zone.network().cut(Home, UnreachableVm);
  Zone.call(Home, Key);
  Zone.run(Duration::millis(900));
  // The release and its resends reach ConfirmingVm only after the next claim.
  Zone.network().setHook([](std::uint64_t, const Envelope &) {
    return MessageOutcome{.Delay_ = Duration::millis(2000)};
  });
  Zone.run(Duration::millis(150));
  Zone.network().setHook(
      [](std::uint64_t, const Envelope &) { return MessageOutcome(); });
  Zone.network().healAll();
  Zone.call(Home, Key);
  Zone.run(Duration::millis(500));
  REQUIRE(Zone.dispatchCount(Key) == 1);
  Zone.run(Duration::millis(3000));
  Zone.decideView({Home, UnreachableVm});
  Zone.learnView(ConfirmingVm);
  Zone.call(ConfirmingVm, Key, "body", true);
  Zone.run(Duration::millis(50));
  CHECK(Zone.dispatchCount(Key) == 1);
}

TEST_CASE("Each key is dispatched at most once under random faults") {
  std::uint64_t Before = invariantViolations();
  std::size_t Ran = 0;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    RandomFaults C(Seed);
    C.run(2000);
    INFO("seed " << Seed);
    CHECK(C.maxDispatchCount() <= 1);
    CHECK(C.falseNotRun() == 0);
    Ran += C.ran();
  }
  // On average more than one key is dispatched per run, so that a second
  // dispatch would be visible.
  CHECK(Ran > 200);
  CHECK(invariantViolations() == Before);
}
