#include "lagoonpoint/Retry"

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
    SECTION("nor after the time for which it obeys") {
      Q.Earliest_ = ms(5000);
      for (double Spread : {0.0, 0.5, 1.0})
        CHECK(returnDelay(Q, Spread) == ms(2000));
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
    Burst Outage;
    Outage.Capacity_ = 20;
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
