#include "fakes/RawSocket.h"
#include "platform/Run.h"
#include "platform/Servers.h"
#include "platform/Wire.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using namespace lagoonpoint::platform;
using Catch::Contains;

namespace {

const std::string PatchBody =
    R"({"upsert":{"routes":{"columns":["name","host","pathPrefix","routeType",)"
    R"("timeout","targetLatency","priority","trafficSplit","maxAttempts",)"
    R"("allowAnonymous","sessionAffinity","allowedRegions","version","service"],)"
    R"("rows":[["r1","a.example","/x/","safe","1200ms","500ms",2,)"
    R"([{"service":"s1","weight":90},{"service":"s2","weight":10}],2,false,)"
    R"(true,["north"],7,null],["r2","a.example","/y/","unsafe","1.5s","600ms",)"
    R"(1,null,2,true,false,[],7,"s1"]]},"tenants":{"columns":["name","apiKeys",)"
    R"("priority","ratePerS","burst","allowedRegions","version"],"rows":)"
    R"([["t1",["k1","k2"],1,67,6.5,[],7]]},"services":{"columns":["name",)"
    R"("healthPath","maxConnections","protocol","tls","warmup","warmupPerS",)"
    R"("version"],"rows":[["s1","/health",390,"h1",false,"3s",2.9,7],)"
    R"(["s2","/health",390,"h1",false,"3s",2.9,7]]},"limits":)"
    R"({"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
    R"("idleTimeout":"15000ms","version":7}},"remove":{"routes":)"
    R"([{"name":"r3","version":9}]}})";

const std::string HeartbeatBody =
    R"({"service":"s1","address":"10.1.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":3,"state":"ready","warmupLeft":"1500ms","sequence":4,)"
    R"("born":1790000000000})";

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  std::size_t At = Text.find(Old);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

} // namespace

TEST_CASE("decodePatch decodes routes, teams, services and limits") {
  ItemSet Items = decodePatch(PatchBody);
  const RouteItem &R1 = Items.Routes_.at("r1").Value_;
  CHECK(R1.Idempotent_);
  CHECK(R1.SessionAffinity_);
  CHECK(R1.Split_.size() == 2);
  CHECK(R1.Split_[0].Weight_ == 90);
  CHECK(R1.Timeout_ == Duration::millis(1200));
  CHECK(R1.LatencyObjective_ == Duration::millis(500));
  CHECK(R1.Regions_ == std::vector<RegionId>{RegionId("north")});
  const RouteItem &R2 = Items.Routes_.at("r2").Value_;
  CHECK_FALSE(R2.Idempotent_);
  CHECK(R2.Open_);
  CHECK(R2.Timeout_ == Duration::millis(1500));
  CHECK(R2.Split_ == std::vector<SplitPart>{{ServiceId("s1"), 1}});
  CHECK(Items.Routes_.at("r3").Removed_);
  CHECK(Items.Routes_.at("r3").Version_ == ItemVersion(9));
  CHECK(Items.Teams_.at("t1").Value_.Burst_ == 6.5);
  CHECK(Items.Services_.at("s2").Value_.WarmupRate_ == 2.9);
  CHECK(Items.Limits_.at("limits").Value_.IdleTimeout_ ==
        Duration::seconds(15));

  SECTION("encodeItems returns the items as sent, including unused fields") {
    ItemSet Again = decodePatch(R"({"upsert":)" + encodeItems(Items) + "}");
    CHECK(encodeItems(Again) == encodeItems(Items));
    CHECK(Again.Routes_.at("r1").Value_.Split_ ==
          Items.Routes_.at("r1").Value_.Split_);
    CHECK_THAT(encodeItems(Items), Contains("protocol"));
  }
}

TEST_CASE("decodePatch rejects malformed bodies and names the field") {
  auto ErrorOf = [](const std::string &Body) -> std::string {
    try {
      decodePatch(Body);
    } catch (const WireError &E) {
      return E.what();
    }
    return "";
  };
  CHECK_FALSE(ErrorOf(PatchBody.substr(0, PatchBody.size() - 30)).empty());
  CHECK_FALSE(ErrorOf("").empty());
  CHECK_FALSE(ErrorOf("[]").empty());
  CHECK_THAT(ErrorOf(replaced(PatchBody, "\"1200ms\"", "1200")),
             Contains("timeout"));
  CHECK_THAT(ErrorOf(replaced(PatchBody, "\"1200ms\"", "\"1200\"")),
             Contains("timeout"));
  CHECK_THAT(ErrorOf(replaced(PatchBody, "\"safe\"", "\"odd\"")),
             Contains("routeType"));
  CHECK_THAT(ErrorOf(replaced(PatchBody, "7,null]", "null,null]")),
             Contains("version"));
  CHECK_THAT(ErrorOf(replaced(PatchBody, ",7,null]", ",7]")), Contains("rows"));
  CHECK_THAT(ErrorOf(replaced(PatchBody, R"({"service":"s1","weight":90})",
                              R"({"service":"s1"})")),
             Contains("weight"));
  CHECK_THAT(ErrorOf(replaced(PatchBody, R"(["k1","k2"])", R"(["k1",2])")),
             Contains("apiKeys"));
  SECTION("a name that would break a header field") {
    CHECK_THAT(ErrorOf(replaced(PatchBody, "\"t1\"", R"("t1\r\nX-Note: 1")")),
               Contains("control character"));
  }
}

TEST_CASE("decodePatch treats downloads as requests that may run again") {
  ItemSet Items =
      decodePatch(replaced(PatchBody, "\"unsafe\"", "\"download\""));
  CHECK(Items.Routes_.at("r2").Value_.Idempotent_);
  CHECK(Items.Routes_.at("r1").Value_.Idempotent_);

  SECTION("and rejects a patch with an unknown type, naming route, field and "
          "value") {
    try {
      decodePatch(replaced(PatchBody, "\"unsafe\"", "\"upload\""));
      FAIL("the patch was accepted");
    } catch (const WireError &E) {
      CHECK_THAT(E.what(), Contains("r2"));
      CHECK_THAT(E.what(), Contains("routeType"));
      CHECK_THAT(E.what(), Contains("\"upload\""));
    }
  }
}

TEST_CASE("decodeHeartbeat decodes an instance's heartbeat") {
  UpstreamNotice N = decodeHeartbeat("i1", HeartbeatBody);
  CHECK(N.Id_ == UpstreamId("i1"));
  CHECK(N.StartedAtMs_ == 1790000000000);
  CHECK(N.Phase_ == NoticePhase::Serving);
  CHECK(N.WarmupLeft_ == Duration::millis(1500));
  CHECK(decodeHeartbeat("i1", replaced(HeartbeatBody, "ready", "draining"))
            .Phase_ == NoticePhase::Leaving);

  SECTION("malformed heartbeats are rejected") {
    for (auto [Old, New] :
         {std::pair("\"ready\"", "\"dancing\""), std::pair("\"ready\"", "1"),
          std::pair("\"slots\":3", "\"slots\":\"3\""),
          std::pair("\"slots\":3", "\"slots\":-3"),
          std::pair("1790000000000", "17900000000.5"),
          std::pair("\"sequence\":4", "\"sequence\":null"),
          std::pair("\"service\":\"s1\",", ""),
          std::pair("\"1500ms\"", "\"soon\"")})
      CHECK_THROWS_AS(decodeHeartbeat("i1", replaced(HeartbeatBody, Old, New)),
                      WireError);
    CHECK_THROWS_AS(decodeHeartbeat("i1", "\xff\xfe{"), WireError);
    CHECK_THROWS_AS(decodeHeartbeat("", HeartbeatBody), WireError);
    CHECK_THROWS_AS(decodeHeartbeat("i1\r\nX-Note: 1", HeartbeatBody),
                    WireError);
  }
}

TEST_CASE("decodeDuration accepts a number with the unit ms or s") {
  CHECK(decodeDuration("1500ms", "f") == Duration::millis(1500));
  CHECK(decodeDuration("2.5s", "f") == Duration::millis(2500));
  CHECK(decodeDuration("0ms", "f") == Duration());
  for (const char *Bad : {"", "5", "ms", "-1s", "1m", "1 s", "1e99s", "nans"})
    CHECK_THROWS_AS(decodeDuration(Bad, "f"), WireError);
}

TEST_CASE("The term pressure turns auto into on") {
  auto Setting = GENERATE(
      &FleetSettings::Placement_, &FleetSettings::LoadSharing_,
      &FleetSettings::ReturnTimes_, &FleetSettings::ConcurrencyLimits_);
  FleetSettings S;
  S.*Setting = PlacementMode::Auto;
  S.Terms_ = {"calm"};
  applyTerms(S);
  CHECK(S.*Setting == PlacementMode::Auto);
  S.Terms_ = {"calm", "pressure"};
  applyTerms(S);
  CHECK(S.*Setting == PlacementMode::On);
  S.*Setting = PlacementMode::Off; // an explicit setting stays
  applyTerms(S);
  CHECK(S.*Setting == PlacementMode::Off);
}

TEST_CASE("A server for probes stops without waiting for its clients") {
  FleetSettings S;
  S.Host_ = "127.0.22.1";
  S.MetricsPort_ = 17990;
  MetricRegistry Metrics;
  // With a second for each stop, these would take twenty.
  constexpr int Stops = 20;
  constexpr Duration MaxTime = Duration::seconds(10);
  SystemClock Clock;
  Time Start = Clock.now();
  for (int Count = 0; Count < Stops; ++Count) {
    MetricsServer Server(Metrics, S);
    Server.start();
    fakes::RawSocket Client(S.Host_, 17990);
    Client.send("GET /metrics HTTP/1.1\r\nHost: vm\r\n\r\n");
    CHECK_THAT(Client.readMessage(), Contains("200 OK"));
    // The client closes only later, as one that polls once a second.
    Client.send(
        "GET /metrics HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    CHECK_THAT(Client.readMessage(), Contains("200 OK"));
    Server.stop();
  }
  CHECK(Clock.now() - Start < MaxTime);
}
