#include "fakes/ExampleDeclarations.h"
#include "lagoonpoint/Steering"

#include <catch2/catch.hpp>

using namespace lagoonpoint;

namespace {

const ServiceId Tellimus("tellimus");
const RegionId Tallinn("tallinn"), Tartu("tartu");
const Flow F{Tellimus, Tallinn};

} // namespace

TEST_CASE("A call's region is drawn by its flow's shares") {
  Random Source(3);
  SteeringView View;
  View.Usable_ = {{Tellimus, Tallinn}, {Tellimus, Tartu}};
  std::map<RegionId, RegionCredit> Credits{{Tallinn, {}}, {Tartu, {}}};
  CallBytes Bytes{500, 2000};
  RegionShares Row{{Tallinn, 0.75}, {Tartu, 0.25}};
  auto Choose = [&] {
    return chooseRegion(F, Row, View, Credits, Bytes, Tallinn, Source);
  };

  SECTION("as often as the shares say") {
    int Far = 0;
    for (int I = 0; I < 4000; ++I)
      Far += Choose().Region_ == Tartu;
    CHECK(Far == Approx(1000).margin(100));
  }
  SECTION("and refused there, never sent past the cap of the shift") {
    RefusalReason Reason = RefusalReason::Internal;
    SECTION("when the region fails") {
      View.Usable_.erase({Tellimus, Tartu});
      Reason = RefusalReason::NoUpstream;
    }
    SECTION("when it grants nothing") {
      Credits[Tartu].Requests_ = 0.5;
      Reason = RefusalReason::NoCapacity;
    }
    SECTION("when it was never heard from") {
      Credits.erase(Tartu);
      Reason = RefusalReason::NoCapacity;
    }
    SECTION("when the link there is at its cap") {
      Credits[Tartu].BytesTo_ = 400;
      Reason = RefusalReason::LinkFull;
    }
    SECTION("when the link back is at its cap") {
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
  SECTION("and its own region needs no link") {
    Row = {{Tallinn, 1}};
    Credits[Tallinn].BytesTo_ = 0;
    Credits[Tallinn].BytesFrom_ = 0;
    CHECK(!Choose().Refused_);
    Credits[Tallinn].Requests_ = 0;
    CHECK(Choose().Refused_ == RefusalReason::NoCapacity);
  }
  SECTION("and nowhere without shares") {
    Row.clear();
    CHECK(Choose().Refused_ == RefusalReason::NoUpstream);
  }
}

TEST_CASE("A client counts among the callers of one zone, whoever is asked") {
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

TEST_CASE("Where there is too little, teams are refused fairly") {
  FairRateLimiter Gate;
  std::map<std::string, double> Passed;
  const double Rate = 100;
  /// Each team asks evenly at its rate for ten seconds.
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
  SECTION("a modest team gets all it asks for beside a greedy one") {
    Run({{"greedy", {1000, 1}}, {"modest", {30, 1}}});
    CHECK(Passed["modest"] >= 290);
    CHECK(Passed["greedy"] >= 680);
    CHECK(Passed["greedy"] + Passed["modest"] <= 1000 + Rate);
  }
  SECTION("equals get the same, whatever they ask for") {
    Run({{"a", {400, 1}}, {"b", {100, 1}}});
    CHECK(Passed["a"] == Approx(500).margin(40));
    CHECK(Passed["b"] == Approx(500).margin(40));
  }
  SECTION("weights count") {
    Run({{"a", {400, 3}}, {"b", {400, 1}}});
    CHECK(Passed["a"] == Approx(750).margin(40));
  }
  SECTION("and what is enough for all is refused to nobody") {
    Run({{"a", {40, 1}}, {"b", {40, 1}}});
    CHECK(Passed["a"] + Passed["b"] >= 798);
  }
}
