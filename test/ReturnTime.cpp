#include "lagoonpoint/Retry"
#include "lagoonpoint/src/Gateway/FleetCall.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace lagoonpoint;

namespace {

constexpr Duration ms(std::int64_t Count) { return Duration::millis(Count); }

/// A service with a fixed number of calls per second, of which each caller
/// that is refused returns once.
struct Burst {
  int Capacity_ = 10; ///< calls served in 100 ms
  int Slots_ = 60;    ///< spans of 100 ms that are simulated

  /// \param Demand first requests in each span of 100 ms
  /// \param Delay Retry-After of the n-th refused call, in spans
  /// \returns requests that were refused twice
  template <class Function>
  int refusedTwice(int From, int To, int Demand, const Function &Delay) const {
    std::vector<int> Returning(static_cast<std::size_t>(Slots_) + 100, 0);
    int Twice = 0;
    int Number = 0;
    for (int Slot = 0; Slot < Slots_; ++Slot) {
      int First = Slot >= From && Slot < To ? Demand : Capacity_ / 2;
      int Again = Returning[static_cast<std::size_t>(Slot)];
      int Served = std::min(Capacity_, First + Again);
      int ServedAgain = Served * Again / std::max(First + Again, 1);
      Twice += Again - ServedAgain;
      for (int N = 0; N < First - (Served - ServedAgain); ++N)
        ++Returning[static_cast<std::size_t>(Slot + Delay(Number++))];
    }
    return Twice;
  }
};

} // namespace

TEST_CASE("A refused caller is told when to return") {
  ReturnQuery Q{ms(300), ms(6000), ms(1000), ms(1000)};

  SECTION("in time for the objective, if that is possible") {
    CHECK(returnDelay(Q, 0) == ms(300));
    CHECK(returnDelay(Q, 1) == ms(500)); // half of it is left to be served
    Q.Earliest_ = ms(500);
    CHECK(returnDelay(Q, 0) == ms(500));
  }
  SECTION("else late in the time for which it obeys") {
    Q.ObjectiveLeft_ = ms(700);
    CHECK(returnDelay(Q, 0) == ms(1000));
    CHECK(returnDelay(Q, 1) == ms(2000));
    CHECK(returnDelay(Q, 0.5) == ms(1500));
    SECTION("but not before the cause can have ended") {
      Q.Earliest_ = ms(1800);
      CHECK(returnDelay(Q, 0) == ms(1800));
    }
    SECTION("which is named even if it will not obey") {
      Q.Earliest_ = ms(5000);
      for (double Spread : {0.0, 0.5, 1.0})
        CHECK(returnDelay(Q, Spread) == ms(5000));
    }
  }
  SECTION("when it is late already, or its route has no objective") {
    Q.ObjectiveLeft_ = ms(-100);
    CHECK(returnDelay(Q, 0.5) == ms(1500));
    Q.Objective_ = Q.ObjectiveLeft_ = Duration();
    CHECK(returnDelay(Q, 0.5) == ms(1500));
  }
  SECTION("after the refusal's own time, if its deadline is unknown") {
    Q.TimeLeft_ = Duration();
    CHECK(returnDelay(Q, 0.7) == ms(300));
  }
  SECTION("never at once") {
    CHECK(returnDelay({}, 0) == ms(1));
    CHECK(returnDelay({Duration(), ms(1), ms(1), ms(1)}, 0) == ms(1));
  }
}

// Fails if callers that were refused in a burst or an outage return into it.
TEST_CASE("Callers that are refused in a burst are served when they return") {
  Burst B;
  ReturnQuery Q{ms(300), ms(6000), ms(800), ms(400)};
  auto Constant = [](int) { return 3; };
  auto Advised = [&](int Number) {
    double Spread = (Number * 37 % 100) / 100.0;
    return static_cast<int>(returnDelay(Q, Spread).count() / 100);
  };
  SECTION("after a burst of a second") {
    int Before = B.refusedTwice(10, 20, 20, Constant);
    CHECK(Before > 0);
    CHECK(B.refusedTwice(10, 20, 20, Advised) * 2 < Before);
  }
  SECTION("after an outage of a second") {
    auto Lost = [&](const auto &Delay) {
      // All calls of a second are refused; those that return to it are, too.
      int Count = 0;
      for (int Slot = 0; Slot < 10; ++Slot)
        for (int N = 0; N < 10; ++N)
          Count += Slot + Delay(Slot * 10 + N) < 10 ? 1 : 0;
      return Count;
    };
    CHECK(Lost(Constant) == 70);
    CHECK(Lost(Advised) == 0);
  }
}

// Fails if callers whose request ids are alike return together.
TEST_CASE("A refusal names a return time of its own for each call") {
  MetricRegistry Metrics;
  const Time Now(10'000);
  FleetCallAdmission A;
  A.Arrived_ = Now;
  A.Objective_ = ms(300);
  A.StatedDeadline_ = Now + ms(6000);
  Refusal Full(RefusalReason::NoCapacity, Ran::No, "call.dispatch", "full",
               ms(300));
  auto ReturnOf = [&](int Number) {
    A.Request_ = RequestId("req-" + std::to_string(Number));
    return withReturnTime(Full, A, Ran::No, Metrics, Now).retryAfter();
  };
  SECTION("spread over the time for which callers obey") {
    std::vector<int> Tenths(10, 0);
    for (int Number = 1000; Number < 1100; ++Number)
      ++Tenths[static_cast<std::size_t>((ReturnOf(Number) - ms(1000)).count() /
                                        101)];
    for (int Count : Tenths)
      CHECK(Count > 0);
  }
  SECTION("but its own if the caller states no deadline") {
    A.StatedDeadline_.reset();
    CHECK(ReturnOf(1) == ms(300));
  }
  SECTION("and none after a run or where a retry is of no use") {
    CHECK(withReturnTime(Full, A, Ran::Unknown, Metrics, Now).retryAfter() ==
          ms(300));
    Refusal NoRoute(RefusalReason::NoSuchRoute, Ran::No, "call.admit", "none");
    CHECK(withReturnTime(NoRoute, A, Ran::No, Metrics, Now).retryAfter() ==
          Duration());
  }
}
