#include "fakes/ExampleDeclarations.h"
#include "lagoonpoint/Steering"

#include <catch2/catch.hpp>

using namespace lagoonpoint;

namespace {

const ServiceId Tellimus("tellimus");
const RegionId Tallinn("tallinn"), Tartu("tartu");
const Flow F{Tellimus, Tallinn};

} // namespace

TEST_CASE("The region of a call is drawn by the shares of its flow") {
  Random Source(3);
  SteeringView View;
  View.Usable_ = {{Tellimus, Tallinn}, {Tellimus, Tartu}};
  std::map<RegionId, RegionCredit> Credits{{Tallinn, {}}, {Tartu, {}}};
  CallBytes Bytes{500, 2000};
  RegionShares Row{{Tallinn, 0.75}, {Tartu, 0.25}};
  auto Choose = [&] {
    return chooseRegion(F, Row, View, Credits, Bytes, Tallinn, Source);
  };

  SECTION("in proportion to the shares") {
    int Remote = 0;
    for (int I = 0; I < 4000; ++I)
      Remote += Choose().Region_ == Tartu;
    CHECK(Remote == Approx(1000).margin(100));
  }
  SECTION("and a call its region can't take is refused, not sent elsewhere") {
    RefusalReason Reason = RefusalReason::Internal;
    SECTION("because the region has failed") {
      View.Usable_.erase({Tellimus, Tartu});
      Reason = RefusalReason::NoUpstream;
    }
    SECTION("because it grants no requests") {
      Credits[Tartu].Requests_ = 0.5;
      Reason = RefusalReason::NoCapacity;
    }
    SECTION("because nothing is known of its credit") {
      Credits.erase(Tartu);
      Reason = RefusalReason::NoCapacity;
    }
    SECTION("because the link to the region is at its cap") {
      Credits[Tartu].BytesTo_ = 400;
      Reason = RefusalReason::LinkFull;
    }
    SECTION("because the link from the region is at its cap") {
      Credits[Tartu].BytesFrom_ = 1999;
      Reason = RefusalReason::LinkFull;
    }
    int Refused = 0;
    for (int I = 0; I < 4000; ++I) {
      RegionDecision Decision = Choose();
      CHECK(Decision.Refused_.has_value() == (Decision.Region_ == Tartu));
      if (Decision.Refused_) {
        ++Refused;
        REQUIRE(*Decision.Refused_ == Reason);
      }
    }
    CHECK(Refused == Approx(1000).margin(100));
  }
  SECTION("and the VM's own region needs no link") {
    Row = {{Tallinn, 1}};
    Credits[Tallinn].BytesTo_ = 0;
    Credits[Tallinn].BytesFrom_ = 0;
    CHECK(!Choose().Refused_);
    Credits[Tallinn].Requests_ = 0;
    CHECK(Choose().Refused_ == RefusalReason::NoCapacity);
  }
  SECTION("and a call is refused if there are no shares") {
    Row.clear();
    CHECK(Choose().Refused_ == RefusalReason::NoUpstream);
  }
}

TEST_CASE("The home zone of a client depends only on its address") {
  Declarations D = fakes::loadExampleDeclarations("tussock-ridge");
  BlockTable Table = buildBlockTable(D.Blocks_);
  CHECK(homeZoneOf(Table, D, "100.64.3.4") == ZoneId("waikato-a"));
  CHECK(homeZoneOf(Table, D, "100.64.100.4") == ZoneId("canterbury-a"));
  CHECK(homeZoneOf(Table, D, "8.8.8.8") == ZoneId("canterbury-a"));
  std::erase_if(D.Blocks_,
                [](const BlockDecl &B) { return B.Cidr_ == "0.0.0.0/0"; });
  Table = buildBlockTable(D.Blocks_);
  std::set<ZoneId> Picked;
  for (int I = 0; I < 100; ++I) {
    std::string Unknown = "8.8.8." + std::to_string(I);
    Picked.insert(homeZoneOf(Table, D, Unknown));
    CHECK(homeZoneOf(Table, D, Unknown) == homeZoneOf(Table, D, Unknown));
  }
  CHECK(Picked.size() == D.Zones_.size());
}

TEST_CASE("Under scarcity, teams are limited by max-min fairness") {
  FairRateLimiter Gate;
  std::map<std::string, double> Passed;
  const double Rate = 100;
  /// Each team requests units evenly at its rate for ten seconds.
  auto Run =
      [&](const std::map<std::string, std::pair<double, double>> &Teams) {
        std::map<std::string, double> Due;
        for (int Ms = 0; Ms < 10000; ++Ms)
          for (const auto &[Team, Ask] : Teams) {
            Due[Team] += Ask.first / 1000;
            for (; Due[Team] >= 1; Due[Team] -= 1)
              Passed[Team] += tryTakeFairShare(Gate, TeamId(Team), Ask.second,
                                               1, Rate, Time(Ms));
          }
      };
  SECTION("a team below its fair share gets all that it requests") {
    Run({{"greedy", {1000, 1}}, {"modest", {30, 1}}});
    CHECK(Passed["modest"] >= 290);
    CHECK(Passed["greedy"] >= 680);
    CHECK(Passed["greedy"] + Passed["modest"] <= 1000 + Rate);
  }
  SECTION("teams of equal weight get the same rate") {
    Run({{"a", {400, 1}}, {"b", {100, 1}}});
    CHECK(Passed["a"] == Approx(500).margin(40));
    CHECK(Passed["b"] == Approx(500).margin(40));
  }
  SECTION("shares are proportional to the weights") {
    Run({{"a", {400, 3}}, {"b", {400, 1}}});
    CHECK(Passed["a"] == Approx(750).margin(40));
  }
  SECTION("no calls are refused if the rate suffices for all") {
    Run({{"a", {40, 1}}, {"b", {40, 1}}});
    CHECK(Passed["a"] + Passed["b"] >= 798);
  }
}
