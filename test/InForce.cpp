// Guards against a decision by an outdated configuration that passes a check
// of newer state: a withdrawn key that is accepted, or a new route that is not
// found, while the configuration is exchanged between the two.
#include "lagoonpoint/src/Gateway/InForce.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace lagoonpoint;

TEST_CASE("A call is decided by a configuration that stays in force") {
  auto Old = std::make_shared<const int>(1);
  auto New = std::make_shared<const int>(2);
  std::shared_ptr<const int> InForce = Old;
  int Evaluations = 0;
  auto Current = [&] { return InForce; };
  Refusal Unknown(RefusalReason::NoSuchRoute, Ran::No, "test", "no route");

  SECTION("at once if nothing changes") {
    CHECK(evaluateInForce(Current, [&](const auto &Now) {
            ++Evaluations;
            return *Now;
          }) == 1);
    CHECK(Evaluations == 1);
  }
  SECTION("not by the old one, which allows it") {
    CHECK(evaluateInForce(Current, [&](const auto &Now) {
            InForce = New;
            return *Now;
          }) == 2);
  }
  SECTION("not by the old one, which refuses it") {
    CHECK(evaluateInForce(Current, [&](const auto &Now) {
            InForce = New;
            if (Now == Old)
              throw Unknown;
            return *Now;
          }) == 2);
  }
  SECTION("by the new one, if that refuses it") {
    CHECK_THROWS_AS(evaluateInForce(Current,
                                    [&](const auto &Now) -> int {
                                      InForce = New;
                                      if (Now == New)
                                        throw Unknown;
                                      return *Now;
                                    }),
                    Refusal);
  }
}
