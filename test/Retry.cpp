#include "lagoonpoint/Retry"
#include "lagoonpoint/src/Gateway/RetryShare.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace lagoonpoint;

namespace {

const std::vector<RouteKind> Kinds{RouteKind::Plain, RouteKind::Repeatable,
                                   RouteKind::Once};
const std::vector<TryResult> Ends{
    TryResult::Answered,  TryResult::NotConnected, TryResult::NothingSent,
    TryResult::Shed,      TryResult::TimedOut,     TryResult::Broken,
    TryResult::CallerLeft};

constexpr Time Start(1000);
constexpr RetryBudgetLimits Limits;

/// Records one try of a call that has enough time and budget.
RetryDecision recordTestTry(RetryState &State, const TryOutcome &Outcome,
                            Duration Left = Duration::seconds(1)) {
  RetryBudget Budget{5, Start};
  return recordTry(State, Outcome, Left, Budget, Limits, Start);
}

} // namespace

TEST_CASE("A request that may have run is retried only if repeatable") {
  // All combinations of route kind, result, bytes written and response started.
  for (RouteKind Kind : Kinds)
    for (TryResult End : Ends)
      for (std::int64_t Sent : {0, 1, 5000})
        for (bool Started : {false, true}) {
          RetryState State{.Kind_ = Kind};
          TryOutcome Outcome{End, Sent, Started};
          RetryDecision Decision = recordTestTry(State, Outcome);
          CAPTURE(int(Kind), int(End), Sent, Started, int(Decision));
          bool Retried = Decision == RetryDecision::Retry;
          bool Reached = Sent > 0 && End != TryResult::Shed;
          if (Reached && Kind != RouteKind::Repeatable)
            CHECK_FALSE(Retried);
          if (Started || End == TryResult::Answered ||
              End == TryResult::CallerLeft)
            CHECK_FALSE(Retried);
          if (Reached)
            CHECK(ranOf(State) == Ran::Unknown);
          CHECK(State.Finished_ == !Retried);
        }
}

TEST_CASE("A try is followed by another one") {
  RetryState State;
  SECTION("after a refused connection") {
    CHECK(recordTestTry(State, {TryResult::NotConnected}) ==
          RetryDecision::Retry);
    CHECK(ranOf(State) == Ran::No);
  }
  SECTION("after a write that sent no byte") {
    CHECK(recordTestTry(State, {TryResult::NothingSent}) ==
          RetryDecision::Retry);
  }
  SECTION("after a shed request, also on plain and once routes") {
    State.Kind_ = GENERATE(RouteKind::Plain, RouteKind::Once);
    CHECK(recordTestTry(State, {TryResult::Shed, 300}) == RetryDecision::Retry);
    CHECK(ranOf(State) == Ran::No);
  }
  SECTION("after a broken exchange if repeatable, reported as unknown") {
    State.Kind_ = RouteKind::Repeatable;
    CHECK(recordTestTry(State, {TryResult::Broken, 300}) ==
          RetryDecision::Retry);
    CHECK(recordTestTry(State, {TryResult::Shed, 300}) == RetryDecision::Retry);
    CHECK(ranOf(State) == Ran::Unknown);
  }
  SECTION("unless the deadline is too near") {
    CHECK(recordTestTry(State, {TryResult::Shed, 1}, Duration::millis(1)) ==
          RetryDecision::DeadlineTooNear);
  }
  SECTION("unless the call has reached its limit of tries") {
    CHECK(recordTestTry(State, {TryResult::Shed, 1}) == RetryDecision::Retry);
    CHECK(recordTestTry(State, {TryResult::Shed, 1}) == RetryDecision::Retry);
    CHECK(recordTestTry(State, {TryResult::Shed, 1}) ==
          RetryDecision::TooManyTries);
    CHECK_THROWS_AS(recordTestTry(State, {TryResult::Shed, 1}),
                    InvariantViolation);
  }
}

// Fails if a try that was ended before the call's deadline ends the call, or if
// such tries are repeated without limit.
TEST_CASE("A try that timed out") {
  RetryState State{.Kind_ = RouteKind::Repeatable};
  TryOutcome Outcome{TryResult::TimedOut, 300};
  RetryBudget Budget{1, Start};
  auto Record = [&](Duration Left) {
    return recordTry(State, Outcome, Left, Budget, Limits, Start);
  };
  SECTION("before the call's deadline is repeated within the retry budget") {
    CHECK(Record(Duration::millis(500)) == RetryDecision::Retry);
    CHECK(ranOf(State) == Ran::Unknown);
    CHECK(Budget.Balance_ == 0);
    CHECK(Record(Duration::millis(400)) == RetryDecision::BudgetExhausted);
  }
  SECTION("before the call's deadline counts as one of the call's tries") {
    Budget.Balance_ = 5;
    State.MaxTries_ = 2;
    CHECK(Record(Duration::millis(500)) == RetryDecision::Retry);
    CHECK(Record(Duration::millis(400)) == RetryDecision::TooManyTries);
  }
  SECTION("at the call's deadline ends the call and uses no budget") {
    Duration Left = GENERATE(Duration::millis(-1), Duration::millis(0),
                             MinTimeForRetry - Duration::millis(1));
    CHECK(Record(Left) == RetryDecision::DeadlineTooNear);
    CHECK(Budget.Balance_ == 1);
  }
  SECTION("is not repeated on other routes") {
    State.Kind_ = GENERATE(RouteKind::Plain, RouteKind::Once);
    CHECK(Record(Duration::millis(500)) == RetryDecision::MayHaveRun);
    CHECK(Budget.Balance_ == 1);
  }
  SECTION("after the response has begun is not repeated") {
    Outcome.ResponseStarted_ = true;
    CHECK(Record(Duration::millis(500)) == RetryDecision::ResponseStarted);
    CHECK(Budget.Balance_ == 1);
  }
}

TEST_CASE("A route can have a lower limit of tries") {
  RetryState State{.MaxTries_ = 2};
  CHECK(recordTestTry(State, {TryResult::Shed, 1}) == RetryDecision::Retry);
  SECTION("which counts tries that reached an upstream") {
    CHECK(recordTestTry(State, {TryResult::Shed, 1}) ==
          RetryDecision::TooManyTries);
  }
  SECTION("which does not count tries that reached none") {
    CHECK(recordTestTry(State, {TryResult::NotConnected}) ==
          RetryDecision::Retry);
    CHECK(recordTestTry(State, {TryResult::NothingSent}) ==
          RetryDecision::Retry);
    CHECK(recordTestTry(State, {TryResult::NotConnected}) ==
          RetryDecision::TooManyTries);
  }
}

TEST_CASE("A try that reached no upstream uses no retry budget") {
  RetryState State;
  RetryBudget Budget{0, Start};
  auto End = [&](TryResult How, std::int64_t Sent) {
    return recordTry(State, {How, Sent}, Duration::seconds(1), Budget, {},
                     Start);
  };
  CHECK(End(TryResult::NotConnected, 0) == RetryDecision::Retry);
  CHECK(End(TryResult::Shed, 300) == RetryDecision::BudgetExhausted);
}

TEST_CASE("Retries are limited to a fraction of the requests") {
  RetryBudget Budget{1, Start};

  SECTION("to a tenth if every request fails") {
    int Retries = 0;
    for (int Request = 0; Request < 1000; ++Request) {
      countRequest(Budget, Limits, Start);
      Retries += takeRetry(Budget, Limits, Start);
    }
    CHECK(Retries >= 100);
    CHECK(Retries <= 101);
  }
  SECTION("and the balance never exceeds the capacity") {
    for (int Request = 0; Request < 10'000; ++Request)
      countRequest(Budget, Limits, Start);
    CHECK(Budget.Balance_ == Limits.Capacity_);
  }
  SECTION("but a team with few requests gets one every ten seconds") {
    CHECK(takeRetry(Budget, Limits, Start));
    CHECK_FALSE(takeRetry(Budget, Limits, Start + Duration::seconds(9)));
    CHECK(takeRetry(Budget, Limits, Start + Duration::seconds(11)));
  }
  SECTION("for any order of requests, retries and clock steps") {
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
          Allowed += Limits.RetriesPerRequest_;
        } else if (Step == 1) {
          Taken += takeRetry(B, Limits, Now);
        } else {
          Now = Now + Duration::millis(500);
          Allowed += 0.5 * Limits.RetriesPerSecond_;
        }
        RC_ASSERT(Taken <= Allowed + 1e-9);
        RC_ASSERT(B.Balance_ >= 0 && B.Balance_ <= Limits.Capacity_);
      }
    }));
  }
}

// Guards against VMs that each use the whole fleet's slack just after their
// start.
TEST_CASE("Entry VMs together use no more than the fleet's retry budget") {
  FleetSettings S;
  S.RetryRatio_ = 0.2;
  S.RetrySlack_ = 58;
  S.RetryWindow_ = Duration::seconds(10);
  SECTION("if they know each other") {
    RetryBudgetLimits Share = retryShare(S, 9);
    CHECK(9 * (Share.RetriesPerSecond_ * 10 + Share.Capacity_) <= 58);
    CHECK(Share.RetriesPerRequest_ <= 0.2);
    CHECK(Share.RetriesPerSecond_ > 0);
  }
  SECTION("if they don't yet") {
    RetryBudgetLimits Share = retryShare(S, 0);
    CHECK(Share.RetriesPerSecond_ == 0);
    CHECK(Share.Capacity_ == 1); // a new budget holds one
    CHECK(Share.RetriesPerRequest_ == retryShare(S, 9).RetriesPerRequest_);
  }
}
