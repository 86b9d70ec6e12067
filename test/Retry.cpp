#include "lagoonpoint/Retry"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace lagoonpoint;

namespace {

const std::vector<RouteKind> Kinds{RouteKind::Plain, RouteKind::Repeatable,
                                   RouteKind::Once};
const std::vector<TryEnd> Ends{
    TryEnd::Answered, TryEnd::NotConnected, TryEnd::NothingSent, TryEnd::Shed,
    TryEnd::TimedOut, TryEnd::Broken,       TryEnd::CallerLeft};

constexpr Time Start(1000);
constexpr RetryBudgetLimits Limits;

/// Ends one try of a call that has time and budget.
RetryVerdict endTry(RetryState &State, const TryOutcome &Outcome,
                    Duration Left = Duration::seconds(1)) {
  RetryBudget Budget{5, Start};
  return tryEnded(State, Outcome, Left, Budget, Limits, Start);
}

} // namespace

TEST_CASE("A request that may have run is repeated only if declared so") {
  // The whole table: route, end, bytes written, answer begun.
  for (RouteKind Kind : Kinds)
    for (TryEnd End : Ends)
      for (std::int64_t Sent : {0, 1, 5000})
        for (bool Begun : {false, true}) {
          RetryState State{.Kind_ = Kind};
          TryOutcome Outcome{End, Sent, Begun};
          RetryVerdict Verdict = endTry(State, Outcome);
          CAPTURE(int(Kind), int(End), Sent, Begun, int(Verdict));
          bool Again = Verdict == RetryVerdict::Again;
          bool Reached = Sent > 0 && End != TryEnd::Shed;
          if (Reached && Kind != RouteKind::Repeatable)
            CHECK_FALSE(Again);
          if (Begun || End == TryEnd::Answered || End == TryEnd::CallerLeft)
            CHECK_FALSE(Again);
          if (Reached)
            CHECK(ranOf(State) == Ran::Unknown);
          CHECK(State.Over_ == !Again);
        }
}

TEST_CASE("What is repeated") {
  RetryState State;
  SECTION("a refused connection") {
    CHECK(endTry(State, {TryEnd::NotConnected}) == RetryVerdict::Again);
    CHECK(ranOf(State) == Ran::No);
  }
  SECTION("a write that took no byte") {
    CHECK(endTry(State, {TryEnd::NothingSent}) == RetryVerdict::Again);
  }
  SECTION("a shed request, of any route") {
    State.Kind_ = GENERATE(RouteKind::Plain, RouteKind::Once);
    CHECK(endTry(State, {TryEnd::Shed, 300}) == RetryVerdict::Again);
    CHECK(ranOf(State) == Ran::No);
  }
  SECTION("a broken exchange of a repeatable route, then reported as unknown") {
    State.Kind_ = RouteKind::Repeatable;
    CHECK(endTry(State, {TryEnd::Broken, 300}) == RetryVerdict::Again);
    CHECK(endTry(State, {TryEnd::Shed, 300}) == RetryVerdict::Again);
    CHECK(ranOf(State) == Ran::Unknown);
  }
  SECTION("not without time") {
    CHECK(endTry(State, {TryEnd::Shed, 1}, Duration::millis(1)) ==
          RetryVerdict::NoTime);
  }
  SECTION("not more often than allowed") {
    CHECK(endTry(State, {TryEnd::Shed, 1}) == RetryVerdict::Again);
    CHECK(endTry(State, {TryEnd::Shed, 1}) == RetryVerdict::Again);
    CHECK(endTry(State, {TryEnd::Shed, 1}) == RetryVerdict::TooMany);
    CHECK_THROWS_AS(endTry(State, {TryEnd::Shed, 1}), InvariantViolation);
  }
}

TEST_CASE("A route may allow fewer tries") {
  RetryState State{.MaxTries_ = 2};
  CHECK(endTry(State, {TryEnd::Shed, 1}) == RetryVerdict::Again);
  SECTION("which count where they reached an upstream") {
    CHECK(endTry(State, {TryEnd::Shed, 1}) == RetryVerdict::TooMany);
  }
  SECTION("and not where none could be reached") {
    CHECK(endTry(State, {TryEnd::NotConnected}) == RetryVerdict::Again);
    CHECK(endTry(State, {TryEnd::NothingSent}) == RetryVerdict::Again);
    CHECK(endTry(State, {TryEnd::NotConnected}) == RetryVerdict::TooMany);
  }
}

TEST_CASE("A try that reached no upstream costs nothing of the budget") {
  RetryState State;
  RetryBudget Budget{0, Start};
  auto End = [&](TryEnd How, std::int64_t Sent) {
    return tryEnded(State, {How, Sent}, Duration::seconds(1), Budget, {},
                    Start);
  };
  CHECK(End(TryEnd::NotConnected, 0) == RetryVerdict::Again);
  CHECK(End(TryEnd::Shed, 300) == RetryVerdict::NoBudget);
}

TEST_CASE("Retries stay within a share of the requests") {
  RetryBudget Budget{1, Start};

  SECTION("a tenth when everything fails") {
    int Retries = 0;
    for (int Request = 0; Request < 1000; ++Request) {
      countRequest(Budget, Limits, Start);
      Retries += takeRetry(Budget, Limits, Start);
    }
    CHECK(Retries >= 100);
    CHECK(Retries <= 101);
  }
  SECTION("saved up no further than the limit") {
    for (int Request = 0; Request < 10'000; ++Request)
      countRequest(Budget, Limits, Start);
    CHECK(Budget.Held_ == Limits.MostHeld_);
  }
  SECTION("a team with few requests gets one every ten seconds") {
    CHECK(takeRetry(Budget, Limits, Start));
    CHECK_FALSE(takeRetry(Budget, Limits, Start + Duration::seconds(9)));
    CHECK(takeRetry(Budget, Limits, Start + Duration::seconds(11)));
  }
  SECTION("whatever the order of requests, retries and clock steps") {
    CHECK(rc::check([] {
      RetryBudget B{1, Start};
      auto Steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
      double Allowed = 1;
      double Taken = 0;
      Time Now = Start;
      for (int Step : Steps) {
        if (Step == 0) {
          countRequest(B, Limits, Now);
          Allowed += Limits.Share_;
        } else if (Step == 1) {
          Taken += takeRetry(B, Limits, Now);
        } else {
          Now = Now + Duration::millis(500);
          Allowed += 0.5 * Limits.PerSecond_;
        }
        RC_ASSERT(Taken <= Allowed + 1e-9);
        RC_ASSERT(B.Held_ >= 0 && B.Held_ <= Limits.MostHeld_);
      }
    }));
  }
}
