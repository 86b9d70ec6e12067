#include "fakes/RandomRun.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

TEST_CASE("Random runs under faults keep every invariant") {
  constexpr std::uint64_t FirstSeed = 1;
  constexpr std::uint64_t Seeds = 150;
  std::uint64_t Faults = 0;
  std::uint64_t Changes = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed) {
    RandomRun Run({.Seed_ = Seed});
    std::string Wrong = Run.run();
    INFO("seed " << Seed << "\n" << Run.trace());
    REQUIRE(Wrong == "");
    Faults += Run.faults();
    Changes += Run.changes();
  }

  SECTION("and the runs did meet faults and changes") {
    CHECK(Faults > Seeds * 10);
    CHECK(Changes > Seeds * 10);
  }
}
