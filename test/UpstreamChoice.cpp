#include "fakes/ExampleDeclarations.h"
#include "lagoonpoint/Steering"

#include <catch2/catch.hpp>

#include <map>

using namespace lagoonpoint;

namespace {

const ZoneId Here("here"), There("there");
constexpr unsigned Slots = 3;

/// The upstreams of one service on a virtual clock.
struct Simulation {
  UpstreamGroup G_;
  Time Now_{1000};
  Random Source_{5};
  std::map<UpstreamId, int> Placed_;

  void announce(const std::string &Id, std::optional<double> Load,
                ZoneId Zone = Here, bool Leaving = false) {
    UpstreamAnnouncement Announced{
        UpstreamId(Id), Zone,    {"10.0.0.1", 80},    Slots, 400, Load,
        Duration(),     Leaving, Duration::seconds(5)};
    applyAnnouncement(G_, Announced, Slots, Now_);
  }
  void announceAll(int Count, std::optional<double> Load = 0.5) {
    for (int I = 0; I < Count; ++I)
      announce("u" + std::to_string(I), Load);
  }
  void advanceTime(Duration Span) { Now_ = Now_ + Span; }
  /// Advances the clock past the slow start while the upstreams announce.
  void warmUp(int Count) {
    for (int I = 0; I < 8; ++I) {
      announceAll(Count);
      advanceTime(Duration::seconds(4));
    }
    announceAll(Count);
  }
  Upstream &at(const std::string &Id) {
    for (Upstream &U : G_.Upstreams_)
      if (U.Id_ == UpstreamId(Id))
        return U;
    throw std::out_of_range(Id);
  }
  Upstream *tryPlace(const Placement &P) { return place(G_, P, Now_, Source_); }
  /// Places a call and ends it at once.
  UpstreamId call(UpstreamOutcome End = UpstreamOutcome::Answered,
                  Duration Spent = Duration::millis(10)) {
    Upstream *U = tryPlace({Here, {}, true});
    REQUIRE(U);
    UpstreamId Id = U->Id_;
    ++Placed_[Id];
    finish(G_, Id, End, Spent, Now_);
    return Id;
  }
  /// Makes calls that time out at one upstream and are answered by the others.
  void callWithFailingUpstream(const std::string &Bad, int Count,
                               Duration Apart) {
    for (int I = 0; I < Count; ++I, advanceTime(Apart)) {
      Upstream *U = tryPlace({Here, {}, true});
      REQUIRE(U);
      bool IsBad = U->Id_ == UpstreamId(Bad);
      ++Placed_[U->Id_];
      finish(G_, U->Id_,
             IsBad ? UpstreamOutcome::TimedOut : UpstreamOutcome::Answered,
             Duration::millis(IsBad ? 2000 : 10), Now_);
    }
  }
};

const Placement AnyCall{Here, {}, true};

} // namespace

TEST_CASE("Calls go to free upstreams and never exceed their slots") {
  Simulation S;
  S.warmUp(2);
  int Placed = 0;
  while (S.tryPlace(AnyCall))
    ++Placed;
  CHECK(Placed == 2 * Slots);
  finish(S.G_, UpstreamId("u1"), UpstreamOutcome::Answered, Duration(5),
         S.Now_);
  Upstream *Freed = S.tryPlace(AnyCall);
  REQUIRE(Freed);
  CHECK(Freed->Id_ == UpstreamId("u1"));
  CHECK_THROWS_AS(
      [&] {
        for (unsigned I = 0; I <= Slots; ++I)
          finish(S.G_, UpstreamId("u0"), UpstreamOutcome::Answered, Duration(),
                 S.Now_);
      }(),
      InvariantViolation);
}

TEST_CASE("A call is not placed") {
  Simulation S;
  S.warmUp(1);

  SECTION("at an upstream that was already tried") {
    CHECK(!S.tryPlace({Here, {UpstreamId("u0")}, true}));
  }
  SECTION("at a leaving upstream, even after a late older announcement") {
    S.announce("u0", 0.1, Here, true);
    S.announce("u0", 0.1);
    CHECK(!S.tryPlace(AnyCall));
    CHECK(assignedSlots(S.G_, S.Now_) == 0);
    SECTION("until it returns after its lease has ended") {
      S.advanceTime(Duration::seconds(6));
      S.announce("u0", 0.1);
      CHECK(S.tryPlace(AnyCall));
    }
  }
  SECTION("at an upstream whose lease has ended, which is then removed") {
    S.advanceTime(Duration::seconds(5));
    CHECK(!S.tryPlace(AnyCall));
    forgetExpired(S.G_, S.Now_);
    CHECK(S.G_.Upstreams_.empty());
  }
  SECTION("at an upstream without slots for this VM") {
    S.at("u0").AssignedSlots_ = 0;
    CHECK(!S.tryPlace(AnyCall));
  }
  SECTION("at an upstream that has just shed a call") {
    S.call(UpstreamOutcome::Shed);
    CHECK(!S.tryPlace(AnyCall));
    S.advanceTime(Duration::millis(60));
    CHECK(S.tryPlace(AnyCall));
  }
  SECTION("in another zone while its own has free slots") {
    S.announce("far", 0.0, There);
    S.at("far").SlowStartAt_ = Time(0);
    for (unsigned I = 0; I < Slots; ++I)
      CHECK(S.tryPlace(AnyCall)->Id_ == UpstreamId("u0"));
    CHECK(S.tryPlace(AnyCall)->Id_ == UpstreamId("far"));
  }
}

TEST_CASE("A new upstream gets few calls during its slow start") {
  Simulation S;
  S.warmUp(3);
  S.announce("cold", 0.0);
  for (int I = 0; I < 600; ++I)
    S.call();
  CHECK(S.Placed_[UpstreamId("cold")] < 60);
  CHECK(S.tryPlace(
      {Here, {UpstreamId("u0"), UpstreamId("u1"), UpstreamId("u2")}, true}));
  CHECK(!S.tryPlace({Here,
                     {UpstreamId("u0"), UpstreamId("u1"), UpstreamId("u2")},
                     true})); // one slot while cold
  for (int I = 0; I < 5; ++I) {
    S.advanceTime(Duration::seconds(3));
    S.announce("cold", 0.0);
  }
  CHECK(slowStartFactor(S.at("cold"), S.G_.Options_, S.Now_) == Approx(0.5));
  S.announceAll(3);
  S.announce("cold", 0.0);
  CHECK(assignedSlots(S.G_, S.Now_) == 4 * Slots);
}

TEST_CASE("The estimated load discounts old and missing reports") {
  Simulation S;
  S.warmUp(2);
  S.announce("u0", 0.1);
  S.announce("u1", 0.9);
  const ChoiceOptions &Rules = S.G_.Options_;

  SECTION("a fresh report is used as it is") {
    CHECK(estimatedLoad(S.at("u0"), Rules, S.Now_) == Approx(0.1));
    for (int I = 0; I < 100; ++I)
      S.call();
    CHECK(S.Placed_[UpstreamId("u0")] > 90);
  }
  SECTION("a report ten seconds old counts no better than none") {
    S.advanceTime(Duration::seconds(10));
    CHECK(estimatedLoad(S.at("u0"), Rules, S.Now_) == Rules.DefaultLoad_);
    CHECK(estimatedLoad(S.at("u1"), Rules, S.Now_) == Approx(0.9));
  }
  SECTION("a missing report never counts as zero") {
    S.announce("new", std::nullopt);
    CHECK(estimatedLoad(S.at("new"), Rules, S.Now_) == Rules.DefaultLoad_);
  }
  SECTION("the load of this VM's own calls is the lower bound") {
    S.at("u0").InFlight_ = 3;
    CHECK(estimatedLoad(S.at("u0"), Rules, S.Now_) == 1);
  }
}

TEST_CASE("An upstream that reports zero load but times out is avoided") {
  Simulation S;
  S.warmUp(4);
  for (int Round = 0; Round < 40; ++Round) {
    S.announceAll(4);
    S.announce("u0", 0.0);
    S.callWithFailingUpstream("u0", 50, Duration::millis(20));
  }
  CHECK(S.Placed_[UpstreamId("u0")] < 20); // of 2000

  SECTION("and gets its share again a minute after it recovers") {
    auto CallFor = [&](int Seconds) {
      for (int I = 0; I < Seconds * 50; ++I) {
        if (I % 100 == 0)
          S.announceAll(4);
        S.call();
        S.advanceTime(Duration::millis(20));
      }
    };
    CallFor(60);
    S.Placed_.clear();
    CallFor(20);
    CHECK(S.Placed_[UpstreamId("u0")] > 150); // of 1000; its share is a quarter
  }
}

TEST_CASE("An upstream is ejected after consecutive failures") {
  Simulation S;
  S.warmUp(4);
  Placement OnlyU0{
      Here, {UpstreamId("u1"), UpstreamId("u2"), UpstreamId("u3")}, true};
  for (int I = 0; I < 3; ++I) {
    REQUIRE(S.tryPlace(OnlyU0));
    finish(S.G_, UpstreamId("u0"), UpstreamOutcome::Refused, Duration(1),
           S.Now_);
  }
  CHECK(!S.tryPlace(OnlyU0));
  S.advanceTime(Duration::millis(2100));

  SECTION("and readmitted with a slow start when a probe is answered") {
    CHECK(S.call() == UpstreamId("u0"));
    CHECK(S.at("u0").Phase_ == UpstreamPhase::Serving);
    CHECK(slowStartFactor(S.at("u0"), S.G_.Options_, S.Now_) == Approx(0.1));
  }
  SECTION("and probed once at a time, with a longer ejection on failure") {
    CHECK(S.tryPlace(OnlyU0));
    CHECK(!S.tryPlace(OnlyU0));
    finish(S.G_, UpstreamId("u0"), UpstreamOutcome::Broken, Duration(1),
           S.Now_);
    S.announceAll(4);
    S.advanceTime(Duration::millis(2100));
    CHECK(!S.tryPlace(OnlyU0));
    S.advanceTime(Duration::millis(2000));
    CHECK(S.tryPlace(OnlyU0));
  }
  SECTION("and not probed by a call that must not run twice") {
    OnlyU0.MayProbe_ = false;
    CHECK(!S.tryPlace(OnlyU0));
  }
}

TEST_CASE("No more than half of the upstreams are ejected") {
  Simulation S;
  S.warmUp(6);
  for (int I = 0; I < 200; ++I)
    S.call(UpstreamOutcome::Broken);
  auto Serving = std::count_if(
      S.G_.Upstreams_.begin(), S.G_.Upstreams_.end(),
      [](const Upstream &U) { return U.Phase_ == UpstreamPhase::Serving; });
  CHECK(Serving == 3);

  SECTION("and a timeout by a caller's short deadline is no failure") {
    Simulation Short;
    Short.announceAll(1);
    Short.call();
    for (int I = 0; I < 50; ++I)
      Short.call(UpstreamOutcome::TimedOut, Duration::millis(5));
    CHECK(Short.at("u0").FailureRate_ == 0);
  }
}

TEST_CASE("divideSlots() assigns each slot of an upstream to one VM") {
  std::set<VmId> Vms{VmId("a"), VmId("b"), VmId("c"), VmId("d")};
  std::map<VmId, unsigned> Total;
  for (int I = 0; I < 400; ++I) {
    UpstreamId Id("u" + std::to_string(I));
    unsigned Sum = 0;
    for (const VmId &Vm : Vms) {
      unsigned Part = divideSlots(Id, Slots, Vms, Vm);
      Sum += Part;
      Total[Vm] += Part;
    }
    REQUIRE(Sum == Slots);
  }
  for (const auto &[Vm, Sum] : Total)
    CHECK(Sum == Approx(300).margin(45));
  CHECK(divideSlots(UpstreamId("u"), Slots, Vms, VmId("afar")) == 0);
}

TEST_CASE("The slots of a VM out of contact stay reserved for a while") {
  Declarations D = fakes::loadExampleDeclarations("kaasik");
  SlotSharers State;
  const VmId Self("ta1"), Other("ta2");
  std::set<VmId> All{Self, Other, VmId("ta3")};
  auto Sharers = [&](const std::set<VmId> &Ready, int Second) {
    return slotSharers(State, D, ZoneId("tallinn-a"), Ready, Self,
                       Time(0) + Duration::seconds(Second));
  };
  std::set<VmId> Both{Self, Other}, Alone{Self};
  CHECK(Sharers(All, 0) == Both); // ta3 is in another zone
  CHECK(Sharers(Alone, 4) == Both);
  CHECK(Sharers(Alone, 5) == Alone);
  CHECK(Sharers(All, 6) == Both);
  CHECK(Sharers({}, 10) == Both);

  SECTION("also if it was never in contact") {
    State = SlotSharers();
    CHECK(Sharers(Alone, 20) == Both);
    CHECK(Sharers(Alone, 25) == Alone);
  }
}

TEST_CASE("Random runs never exceed slots or use unavailable upstreams") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    Simulation S;
    S.Source_.seed(Seed);
    std::vector<UpstreamId> Running;
    std::uint64_t Before = invariantViolations();
    Random Faults(Seed + 100);
    int Placed = 0;
    for (int Step = 0; Step < 20000; ++Step) {
      S.advanceTime(Duration::millis(static_cast<std::int64_t>(Faults() % 20)));
      std::string Id = "u" + std::to_string(Faults() % 8);
      if (Faults() % 10 == 0)
        S.announce(Id,
                   Faults() % 3 ? std::optional(double(Faults() % 3))
                                : std::nullopt,
                   Faults() % 2 ? Here : There, Faults() % 30 == 0);
      if (Faults() % 50 == 0)
        forgetExpired(S.G_, S.Now_);
      if (Faults() % 2) {
        Upstream *U = S.tryPlace({Here, {}, Faults() % 2 == 0});
        if (U) {
          ++Placed;
          REQUIRE(!U->Leaving_);
          REQUIRE(U->LeaseUntil_ > S.Now_);
          REQUIRE(U->InFlight_ <= Slots);
          REQUIRE(U->Phase_ != UpstreamPhase::Ejected);
          Running.push_back(U->Id_);
        }
      } else if (!Running.empty()) {
        std::swap(Running[Faults() % Running.size()], Running.back());
        finish(S.G_, Running.back(), static_cast<UpstreamOutcome>(Faults() % 6),
               Duration::millis(static_cast<std::int64_t>(Faults() % 500)),
               S.Now_);
        Running.pop_back();
      }
    }
    CHECK(Placed > 1000);
    CHECK(invariantViolations() == Before);
  }
}
