#include "lagoonpoint/Admission"

#include <catch2/catch.hpp>

#include <deque>

using namespace lagoonpoint;

namespace {

constexpr Duration ms(std::int64_t Count) { return Duration::millis(Count); }

/// Upstreams that run calls in the order of arrival, and callers that wait for
/// a fixed time. A call that times out is run nevertheless.
struct QueueingUpstreams {
  double PerSecond_ = 100; ///< runs that are completed
  Duration Run_ = ms(1000);
  Duration Deadline_ = ms(3000);

  struct Sent {
    Time At_;
    Time EndsAt_;
  };

  /// Sends calls at a rate, unless the limit refuses them.
  /// \returns calls that were answered in time
  int serve(double Rate, int Seconds, bool Limited) {
    int Answered = 0;
    for (double Due = 0; Due < Seconds * 1000; Due += 1000 / Rate) {
      Time Now = Start_ + ms(static_cast<std::int64_t>(Due));
      Answered += finish(Now);
      if (Limited && !hasRoom(Limit_))
        continue;
      recordStart(Limit_);
      FreeAt_ = std::max(FreeAt_, double(Now.count())) + 1000 / PerSecond_;
      Time Ends(static_cast<std::int64_t>(FreeAt_) + Run_.count());
      Sent_.push_back({Now, Ends});
    }
    Start_ = Start_ + Duration::seconds(Seconds);
    return Answered;
  }

  int finish(Time Now) {
    int Answered = 0;
    while (!Sent_.empty()) {
      Sent First = Sent_.front();
      bool InTime = First.EndsAt_ <= First.At_ + Deadline_;
      Time End = InTime ? First.EndsAt_ : First.At_ + Deadline_;
      if (End > Now)
        break;
      recordEnd(Limit_, (End - First.At_).inSeconds() / Deadline_.inSeconds(),
                Options_, End);
      Answered += InTime ? 1 : 0;
      Sent_.pop_front();
    }
    return Answered;
  }

  ConcurrencyLimitOptions Options_;
  ConcurrencyLimit Limit_;
  Time Start_ = Time(1'000'000);
  double FreeAt_ = 0;
  std::deque<Sent> Sent_;
};

} // namespace

// Guards against a service that answers hardly any call while it gets more than
// it can run: all calls then wait until their deadlines.
TEST_CASE("Calls to upstreams that get more than they can run") {
  QueueingUpstreams Without, With;
  const int Capacity = 40 * 100;
  SECTION("time out at twice of that, unless those in progress are limited") {
    CHECK(Without.serve(200, 40, false) < 0.2 * Capacity);
    CHECK(With.serve(200, 40, true) > 0.75 * Capacity);
  }
  SECTION("are nearly all answered at a little more than that") {
    CHECK(With.serve(120, 40, true) > 0.9 * Capacity);
  }
  SECTION("are all admitted again after the overload") {
    With.serve(200, 40, true);
    With.serve(50, 10, true);
    CHECK(With.serve(50, 10, true) >= 0.99 * 10 * 50);
  }
}

TEST_CASE("Calls in progress are not limited") {
  ConcurrencyLimit L;
  ConcurrencyLimitOptions Options;
  Time Now(5000);
  auto Call = [&](std::optional<double> Part) {
    recordStart(L);
    recordEnd(L, Part, Options, Now);
    Now = Now + ms(200);
  };
  SECTION("because of a few that timed out") {
    for (int N = 0; N < 3; ++N)
      Call(1);
    CHECK_FALSE(L.Limit_);
    Call(1);
    REQUIRE(L.Limit_);
    CHECK(*L.Limit_ == Options.MinLimit_);
    CHECK(hasRoom(L)); // some calls show when there is room again
  }
  SECTION("while they take less than the target") {
    for (int N = 0; N < 100; ++N)
      Call(N % 4 == 0 ? 1 : 0.4);
    CHECK_FALSE(L.Limit_);
  }
  SECTION("because of those that broke off") {
    for (int N = 0; N < 100; ++N)
      Call(std::nullopt);
    CHECK_FALSE(L.Limit_);
    CHECK(L.InProgress_ == 0);
  }
}
