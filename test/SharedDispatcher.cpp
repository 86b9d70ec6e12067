// The shares that the dispatcher of an entry VM gives the regions.
#include "lagoonpoint/src/Gateway/SharedDispatcher.h"
#include "fakes/FakeClock.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;

namespace {

const ServiceId Service("stock");
const RegionId North("north"), South("south");
constexpr Duration Tick = Duration::millis(500);

/// The dispatcher of an entry VM in the north, to which upstreams become known.
struct Vm {
  FleetSettings Settings_;
  fakes::FakeClock Clock_;
  MetricRegistry Metrics_;
  UpstreamRegistry Upstreams_;
  SharedDispatcher Dispatcher_;
  unsigned Count_ = 0;

  static FleetSettings settings() {
    FleetSettings S;
    S.Host_ = "10.0.0.1";
    S.Region_ = North;
    S.Zones_ = {{ZoneId("n"), North}, {ZoneId("s"), South}};
    S.MaxRegionShift_ = 0.15;
    return S;
  }
  Vm() : Settings_(settings()), Dispatcher_(Settings_, Clock_, Metrics_) {
    Clock_.set(Time(1'000'000));
  }

  void announce(const char *Zone, int Upstreams) {
    for (int N = 0; N < Upstreams; ++N) {
      UpstreamNotice U;
      U.Id_ = UpstreamId("u" + std::to_string(++Count_));
      U.StartedAtMs_ = 1;
      U.Sequence_ = 1;
      U.Service_ = Service;
      U.Address_ = "10.0.1.1:80";
      U.Zone_ = ZoneId(Zone);
      U.Slots_ = 4;
      applyNotice(Upstreams_, U, Clock_.now());
    }
    Dispatcher_.update({Upstreams_, {}, {}, {}, Clock_.now()});
  }
  void tick(const std::map<std::string, RateMap> &Rates = {}) {
    Clock_.set(Clock_.now() + Tick);
    Dispatcher_.rebalance(Rates, Tick);
  }
  /// \returns the part of the own region's calls that stays there.
  double kept() {
    return Dispatcher_.placedServices({})[Service].Shares_[North];
  }
};

} // namespace

// Guards against a wait, or a run in another region, where a call's regions are
// not among those of the fleet.
TEST_CASE("A call is placed only in regions that may serve it") {
  Vm V;
  V.announce("n", 2);
  V.tick();
  auto Place = [&](const std::vector<std::vector<RegionId>> &Restrictions) {
    SharedDispatchRequest Call;
    Call.Service_ = Service;
    Call.WaitUntil_ = V.Clock_.now();
    Call.Deadline_ = V.Clock_.now() + Duration::seconds(1);
    for (const std::vector<RegionId> &Stated : Restrictions)
      Call.Regions_.restrictTo(Stated);
    return V.Dispatcher_.acquire(Call);
  };
  auto ReasonFor = [&](const std::vector<std::vector<RegionId>> &Restrictions) {
    try {
      Place(Restrictions);
    } catch (const Refusal &R) {
      return R.reason();
    }
    FAIL("the call was placed");
    return RefusalReason::Internal;
  };
  SECTION("without a restriction, in any") {
    CHECK(Place({}).Region_ == North);
    CHECK(Place({{}, {}}).Region_ == North);
  }
  SECTION("where all restrictions allow it") {
    CHECK(Place({{}, {North}}).Region_ == North);
    CHECK(Place({{North, South}, {North}}).Region_ == North);
    CHECK(ReasonFor({{South}}) == RefusalReason::NoUpstream);
  }
  SECTION("in none if the restrictions have no region in common") {
    CHECK(ReasonFor({{North}, {South}}) == RefusalReason::NoRegionAllowed);
    CHECK(ReasonFor({{North}, {South}, {North}}) ==
          RefusalReason::NoRegionAllowed);
  }
  SECTION("in none if the fleet has none of them") {
    CHECK(ReasonFor({{RegionId("west")}}) == RefusalReason::NoRegionAllowed);
  }
}

// At the start of a fleet the upstreams of the own zone are known first. Shares
// that follow slowly from there send most calls to the few upstreams of the own
// region for half a minute.
TEST_CASE("Upstreams become known one after the other") {
  Vm V;
  V.announce("n", 1);
  V.tick();
  REQUIRE(V.kept() == 1);
  SECTION("before there are calls: shares follow at once") {
    V.announce("s", 9);
    V.tick();
    CHECK(V.kept() == Approx(0.2)); // a tenth of the slots, half of the demand
  }
  SECTION("after calls have come: a window of two seconds moves the permitted "
          "part at most") {
    SECTION("to this VM") {
      SharedDispatchRequest Call{Service,
                                 "object",
                                 {},
                                 {},
                                 0,
                                 V.Clock_.now(),
                                 V.Clock_.now() + Duration::seconds(1)};
      V.Dispatcher_.acquire(Call);
      V.announce("s", 9);
      for (int N = 0; N < 4; ++N)
        V.tick();
    }
    SECTION("to others") {
      V.tick({{"south", {{Service.str(), 10.0}}}});
      V.announce("s", 9);
      for (int N = 0; N < 4; ++N)
        V.tick();
    }
    CHECK(V.kept() < 1);
    CHECK(V.kept() >= 1 - 0.15);
  }
}
