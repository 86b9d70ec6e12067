#include "lagoonpoint/src/Gateway/StopPlan.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;

namespace {

constexpr Time Signal = Time(10'000);

Time after(std::int64_t Millis) { return Signal + Duration::millis(Millis); }

} // namespace

TEST_CASE("A planned stop has one deadline, counted from the signal") {
  StopPlan Plan =
      makeStopPlan(Signal, Duration::seconds(6), Duration::seconds(2));
  CHECK(Plan.LookupsExpireAt_ == after(2500));
  CHECK(Plan.CallsEndBy_ == after(5000));

  SECTION("calls of callers with an earlier look-up are accepted") {
    CHECK(acceptsCall(Plan, after(0), after(2500)));
    CHECK(acceptsCall(Plan, after(2499), after(9000)));
  }
  SECTION("later calls are accepted only if they end in time") {
    CHECK(acceptsCall(Plan, after(3500), after(5000)));
    CHECK_FALSE(acceptsCall(Plan, after(3500), after(5001)));
    CHECK_FALSE(acceptsCall(Plan, after(5001), after(6000)));
  }
  SECTION("a long time for look-ups leaves half of a short grace time for "
          "calls") {
    StopPlan Short =
        makeStopPlan(Signal, Duration::seconds(3), Duration::seconds(5));
    CHECK(Short.LookupsExpireAt_ == after(1500));
    CHECK(Short.CallsEndBy_ == after(2500));
  }
}
