#include "fakes/RandomRun.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

TEST_CASE("Random runs under faults keep every invariant") {
  constexpr std::uint64_t FirstSeed = 1;
  constexpr std::uint64_t Seeds = 150;
  std::uint64_t Faults = 0;
  std::uint64_t Changes = 0;
  std::int64_t AcceptedDeclarations = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed) {
    RandomRun Run({.Seed_ = Seed});
    std::string Violations = Run.run();
    INFO("seed " << Seed << "\n" << Run.trace());
    REQUIRE(Violations == "");
    Faults += Run.faults();
    Changes += Run.changes();
    AcceptedDeclarations += Run.acceptedDeclarations();
  }

  SECTION("and the runs include faults and changes") {
    CHECK(Faults > Seeds * 10);
    CHECK(Changes > Seeds * 10);
    CHECK(AcceptedDeclarations > static_cast<std::int64_t>(Seeds));
  }
}

TEST_CASE("At most one lease is valid with clock rates at the limit") {
  constexpr std::uint64_t Seeds = 40;
  constexpr double Slow = 0.952;
  constexpr double Fast = 1.047;
  std::uint64_t SlowLeaders = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ReplicaCluster C(3, 3, Seed);
    C.Delay_ = Duration::millis(1);
    C.Step_ = Duration::millis(2);
    C.node("a").ClockRate_ = Slow;
    C.node("b").ClockRate_ = Fast;
    C.node("c").ClockRate_ = Fast;
    for (int Isolations = 0; Isolations < 10; ++Isolations) {
      settle(C, 0);
      if (C.leader() == nullptr)
        continue;
      SlowLeaders += C.leader()->ClockRate_ == Slow;
      C.isolate(C.leader()->Id_);
      C.run(Duration::seconds(4));
    }
    INFO("seed " << Seed);
    REQUIRE(C.Checks_.report() == "");
  }
  CHECK(SlowLeaders > Seeds);
}
