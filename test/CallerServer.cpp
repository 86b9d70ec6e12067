#include "fakes/FakeCallerPort.h"
#include "fakes/ScriptedUpstream.h"
#include "lagoonpoint/src/Http/util/BodyReader.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
using fakes::RawSocket;
using fakes::ScriptedUpstream;

namespace {

const std::string Get = "GET /tags/7 HTTP/1.1\r\nHost: vm\r\n";

/// Responds to every request on a connection with "ok".
ScriptedUpstream::Script respondOk(ScriptedUpstream *&Self) {
  return [&Self](RawSocket &S) {
    while (!Self->receive(S).empty())
      S.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  };
}

} // namespace

TEST_CASE("A lookup returns the VMs that a caller can use") {
  fakes::CallerServerFixture Fixture;
  Fixture.Port_.Reply_ = {{{VmId("e1"), ZoneId("a"), {"10.0.0.1", 80}, 0.75}},
                          Duration::seconds(5),
                          Revision(7),
                          "a-1-9-"};
  RawSocket Caller(Fixture.start());

  SECTION("The response holds revision, time to live, key prefix and VMs") {
    Caller.send("GET /v1/lookup?service=tags HTTP/1.1\r\nHost: vm\r\n\r\n");
    std::string Response = Caller.readMessage();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 200 OK\r\n"));
    CHECK_THAT(Response, Contains("{\"revision\":7,\"ttl_ms\":5000,"
                                  "\"once_prefix\":\"a-1-9-\",\"vms\":[{"
                                  "\"vm\":\"e1\",\"zone\":\"a\",\"address\":"
                                  "\"10.0.0.1:80\",\"weight\":0.75}]}"));
  }
  SECTION("An invalid lookup is refused in the documented format") {
    std::string Target = "/v1/lookup";
    std::string Status = "400";
    SECTION("without a service") {}
    SECTION("with an unknown parameter") { Target += "?service=tags&x=1"; }
    SECTION("with a key in the URL") { Target += "?service=tags&api_key=k"; }
    SECTION("for an unknown service") {
      Target += "?service=none";
      Status = "404";
    }
    SECTION("on another reserved path") {
      Target = "/v1/apply";
      Status = "404";
    }
    Caller.send("GET " + Target + " HTTP/1.1\r\nHost: vm\r\n\r\n");
    std::string Response = Caller.readMessage();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 " + Status + " "));
    CHECK_THAT(Response, Contains("\"ran\":\"no\",\"message\":\""));
    CHECK_THAT(Response, Contains("\"request_id\":\""));
  }
  SECTION("Each of several pipelined lookups gets a response") {
    std::string Request =
        "GET /v1/lookup?service=tags HTTP/1.1\r\nHost: vm\r\n\r\n";
    Caller.send(Request + Request + Request);
    for (int Count = 0; Count < 3; ++Count)
      CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 OK\r\n"));
  }
}

TEST_CASE("A call is forwarded to the upstream") {
  ScriptedUpstream *Self = nullptr;
  ScriptedUpstream Upstream(respondOk(Self));
  Self = &Upstream;
  fakes::CallerServerFixture Fixture;
  RawSocket Caller(Fixture.start(Upstream.address()));

  SECTION("The response is returned to the caller") {
    Caller.send(Get + "\r\n");
    std::string Response = Caller.readMessage();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 200 OK\r\n"));
    CHECK_THAT(Response, Contains("X-Request-Id: "));
    CHECK_THAT(Response, Catch::Matchers::EndsWith("\r\n\r\nok"));
    CHECK(Fixture.Port_.reports().at(0).Result_ == TryResult::Answered);
  }
  SECTION("Consecutive calls reuse one connection") {
    for (int Count = 0; Count < 5; ++Count) {
      Caller.send(Get + "\r\n");
      CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 OK"));
    }
    CHECK(Upstream.connections() == 1);
    CHECK(Upstream.requests() == 5);
  }
  SECTION("The key is removed, whatever the header's case or count") {
    SECTION("as a bearer token") {
      Caller.send(Get + "aUTHORIZATION: bearer k1.secret\r\n\r\n");
    }
    SECTION("as an API key") {
      Caller.send(Get + "x-aPi-KEY: k1.secret\r\n\r\n");
    }
    SECTION("in several headers") {
      Caller.send(Get + "Authorization: Bearer k1.secret\r\n"
                        "X-API-KEY: k1.secret\r\nX-Api-Key:k1.secret\r\n\r\n");
    }
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 OK"));
    CHECK(Fixture.Port_.calls().at(0).Key_ == "k1.secret");
    CHECK_THAT(Upstream.receivedBytes(), !Contains("secret"));
  }
  SECTION("A request that would reveal the key to the upstream is refused") {
    std::string Key = "X-Api-Key: k1.secret\r\n";
    SECTION("in the URL") {
      Caller.send("GET /tags?q=k1.secret HTTP/1.1\r\nHost: vm\r\n" + Key +
                  "\r\n");
    }
    SECTION("in another header") {
      Caller.send(Get + Key + "X-Note: k1.secret\r\n\r\n");
    }
    SECTION("with two different keys") {
      Caller.send(Get + Key + "Authorization: Bearer k2.other\r\n\r\n");
    }
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 400 "));
    CHECK(Upstream.requests() == 0);
  }
  SECTION("Hop-by-hop fields are removed, deadline and request id are added") {
    Caller.send(Get + "Connection: X-Private\r\nX-Private: 1\r\nTE: gzip\r\n"
                      "X-Deadline-Ms: 3000\r\nX-Request-Id: mine\r\n"
                      "X-Lagoonpoint-Other: 1\r\nX-Kept: yes\r\n\r\n");
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 OK"));
    std::string Received = Upstream.receivedBytes();
    for (const char *Removed : {"Private", "TE:", "gzip", "mine", "Other"})
      CHECK_THAT(Received, !Contains(Removed));
    CHECK_THAT(Received, Contains("X-Kept: yes\r\n"));
    CHECK_THAT(Received, Contains("X-Request-Id: "));
    std::size_t At = Received.find("X-Deadline-Ms: ");
    REQUIRE(At != std::string::npos);
    int Remaining = std::stoi(Received.substr(At + 15));
    CHECK(Remaining > 0);
    CHECK(Remaining <= 3000);
  }
  SECTION("The body is forwarded with new framing") {
    std::string Head = "POST /tags HTTP/1.1\r\nHost: vm\r\n";
    SECTION("with a length") {
      Caller.send(Head + "Content-Length: 5\r\n\r\nhello");
    }
    SECTION("in chunks") {
      Caller.send(Head + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n"
                         "3\r\nllo\r\n0\r\nX-Trailer: 1\r\n\r\n");
    }
    SECTION("after 100 Continue") {
      Caller.send(Head + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n");
      CHECK(Caller.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
      Caller.send("hello");
    }
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 OK"));
    CHECK_THAT(Upstream.receivedBytes(),
               Contains("Content-Length: 5\r\n\r\nhello"));
  }
  SECTION("A refusal by CallerPort is returned and the connection stays open") {
    Fixture.Port_.AdmitRefusal_ =
        Refusal(RefusalReason::OverRate, Ran::No, "fake", "over rate",
                Duration::millis(1500));
    Caller.send("POST /tags HTTP/1.1\r\nHost: vm\r\nContent-Length: 5\r\n\r\n"
                "hello" +
                Get + "\r\n");
    std::string Response = Caller.readMessage();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 429 "));
    CHECK_THAT(Response, Contains("Retry-After: 2\r\n"));
    CHECK_THAT(Response, Contains("{\"reason\":\"over_rate\",\"ran\":\"no\""));
    CHECK_THAT(Response, Contains("\"retry_after_ms\":1500"));
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 429 "));
  }
}

TEST_CASE("Ambiguous or malformed requests are refused and reach no upstream") {
  ScriptedUpstream *Self = nullptr;
  ScriptedUpstream Upstream(respondOk(Self));
  Self = &Upstream;
  fakes::CallerServerFixture Fixture;
  RawSocket Caller(Fixture.start(Upstream.address()));

  std::string Head = "POST /tags HTTP/1.1\r\nHost: vm\r\n";
  std::string Bad = GENERATE(
      as<std::string>(), "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: -1\r\n",
      "Content-Length: 3x\r\n", "Content-Length: 3, 3\r\n",
      "Content-Length: \r\n", "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: xchunked\r\n", "X-A: 1\r\n folded\r\n",
      "X-Api-Key : k1.secret\r\n", "X-A: 1\nX-B: 2\r\n", "X-A: a\rb\r\n",
      "X-A\r\n", ": empty\r\n", "Host: other\r\n", "Expect: more\r\n",
      "X-Deadline-Ms: -4\r\n", "X-Deadline-Ms: 1\r\nX-Deadline-Ms: 2\r\n",
      "X-Lagoonpoint-Hop: e2 10.0.0.9 00\r\nX-Request-Id: a\r\n");
  CAPTURE(Bad);
  Caller.send(Head + Bad + "\r\nGET /smuggled HTTP/1.1\r\nHost: vm\r\n\r\n");
  std::string All = Caller.readAll();
  CHECK_THAT(All, StartsWith("HTTP/1.1 400 "));
  CHECK_THAT(All, Contains("{\"reason\":\"bad_request\",\"ran\":\"no\""));
  CHECK(All.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(Upstream.requests() == 0);
}

TEST_CASE("A path that an upstream could interpret differently is refused") {
  fakes::CallerServerFixture Fixture;
  RawSocket Caller(Fixture.start({"127.0.0.1", 1}));
  std::string Path = GENERATE(
      as<std::string>(), "/open/../keyed", "/open/./keyed", "/open/%2e%2e/k",
      "/%6beyed", "/a%2fb", "/a%5cb", "//keyed", "/a//b", "/a\\b", "/a/..;x/b",
      "/a%0d%0ab", "/a%", "/a%zz", "http://vm/keyed", "*", "/a#b");
  CAPTURE(Path);
  Caller.send("GET " + Path + " HTTP/1.1\r\nHost: vm\r\n\r\n");
  CHECK_THAT(Caller.readAll(), StartsWith("HTTP/1.1 400 "));
  CHECK(Fixture.Port_.calls().empty());
}

// Guards against the end of a long body that is read as the connection's next
// request: it ran, and the caller's next request got its answer.
TEST_CASE("A request behind a long body is read as it was sent") {
  ScriptedUpstream Upstream([](RawSocket &S) {
    for (;;) {
      std::string Message = S.readMessage();
      if (Message.empty())
        return;
      if (Message.find("chunked") != std::string::npos)
        S.readUntil("\r\n0\r\n\r\n");
      S.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  fakes::CallerServerFixture Fixture;
  RawSocket Caller(Fixture.start(Upstream.address()));
  std::size_t First = GENERATE(60'000U, 65'535U, 65'536U, 65'537U);
  std::size_t Rest = GENERATE(1U, 2U, 9'142U, 40'000U);
  bool Chunked = GENERATE(false, true);
  INFO(First << " and " << Rest << " bytes, chunked " << Chunked);
  std::string Inner = "POST /tags/9 HTTP/1.1\r\nHost: vm\r\n"
                      "Content-Length: 0\r\n\r\n";
  std::string End = Inner.substr(0, Rest);
  End.resize(Rest, 'q');
  std::string Head = "POST /tags/7 HTTP/1.1\r\nHost: vm\r\n";
  if (Chunked)
    Caller.send(Head + "Transfer-Encoding: chunked\r\n\r\n" +
                internal::encodeChunk(std::string(First, 'p')));
  else
    Caller.send(Head + "Content-Length: " + std::to_string(First + Rest) +
                "\r\n\r\n" + std::string(First, 'p'));
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  std::string Next = "GET /tags/8 HTTP/1.1\r\nHost: vm\r\n\r\n";
  Caller.send((Chunked ? internal::encodeChunk(End) + "0\r\n\r\n" : End) +
              Next);
  CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 "));
  CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 "));
  CHECK(Fixture.Port_.calls().size() == 2);
  CHECK(Fixture.Port_.calls().back().Path_ == "/tags/8");
}

TEST_CASE("Limits of the callers' listener") {
  fakes::CallerServerFixture Fixture;
  Fixture.Settings_.MaxBodyBytes_ = 1000;
  Fixture.Settings_.HeaderTimeout_ = Duration::millis(200);
  Fixture.Settings_.BodyTimeout_ = Duration::millis(200);
  Fixture.Settings_.CallerThreads_ = 1;

  SECTION("A head over the limit is refused") {
    RawSocket Caller(Fixture.start());
    Caller.send("GET /" + std::string(9000, 'a') + " HTTP/1.1\r\n");
    CHECK_THAT(Caller.readAll(), StartsWith("HTTP/1.1 413 "));
  }
  SECTION("A body over the limit is refused") {
    RawSocket Caller(Fixture.start());
    Caller.send("POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: 1001\r\n\r\n");
    CHECK_THAT(Caller.readAll(), StartsWith("HTTP/1.1 413 "));
  }
  SECTION("Chunks over the limit in total are refused") {
    RawSocket Caller(Fixture.start());
    Caller.send("POST / HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: chunked"
                "\r\n\r\n3e9\r\n" +
                std::string(1001, 'x') + "\r\n0\r\n\r\n");
    CHECK_THAT(Caller.readAll(), StartsWith("HTTP/1.1 413 "));
  }
  SECTION("An incomplete head occupies no thread and times out") {
    unsigned short Port = Fixture.start();
    RawSocket Slow(Port);
    Slow.send("GET / HTTP/1.1\r\nHo");
    RawSocket Caller(Port);
    Caller.send("GET /v1/lookup?service=tags HTTP/1.1\r\nHost: vm\r\n\r\n");
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 "));
    CHECK_THAT(Slow.readAll(), StartsWith("HTTP/1.1 400 "));
  }
  SECTION("An incomplete body times out") {
    RawSocket Caller(Fixture.start());
    Caller.send("POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: 10\r\n\r\nx");
    CHECK_THAT(Caller.readAll(), StartsWith("HTTP/1.1 400 "));
    CHECK(Fixture.Port_.reports().empty());
  }
  SECTION("Busy connections do not starve others") {
    Fixture.Settings_.CallerThreads_ = GENERATE(1U, 2U);
    unsigned short Port = Fixture.start();
    std::string Request =
        "GET /v1/lookup?service=tags HTTP/1.1\r\nHost: vm\r\n\r\n";
    std::atomic<bool> Ended{false};
    std::vector<std::thread> Busy;
    for (int Number = 0; Number < 4; ++Number)
      Busy.emplace_back([&] {
        RawSocket Caller(Port);
        while (!Ended && Caller.send(Request + Request))
          Caller.readMessage();
      });
    RawSocket Caller(Port);
    for (int Count = 0; Count < 20; ++Count) {
      Caller.send(Request);
      CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 "));
    }
    Ended = true;
    for (std::thread &T : Busy)
      T.join();
  }
  SECTION("Connections and the listener's own refusals are counted") {
    MetricRegistry Metrics;
    CallerServer Server(Fixture.Port_, Fixture.Settings_, Fixture.Clock_,
                        &Metrics);
    Server.start();
    RawSocket Caller(Server.port());
    RawSocket Other(Server.port());
    Caller.send("GET /v1/apply HTTP/1.1\r\nHost: vm\r\n\r\n");
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 404 "));
    Caller.send("GET /v1/lookup?service=x HTTP/1.1\r\nHost: vm\r\n\r\n");
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 404 "));
    Caller.send("nonsense\r\n\r\n");
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 400 "));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    std::string Text = Metrics.text();
    std::string Series = "lagoonpoint_refusals_total{team=\"none\",reason=";
    CHECK_THAT(Text, Contains(Series + "\"no_such_route\",ran=\"no\"} 1\n"));
    CHECK_THAT(Text, Contains(Series + "\"bad_request\",ran=\"no\"} 1\n"));
    CHECK_THAT(Text, Contains("lagoonpoint_connections{listener=\"callers\"}"));
  }
  SECTION("One team's slow calls do not block other teams or lookups") {
    std::atomic<bool> Ended{false};
    ScriptedUpstream Upstream([&](RawSocket &S) {
      bool Slow = S.readMessage().find("/slow") != std::string::npos;
      while (Slow && !Ended)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      S.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    Fixture.Settings_.CallerThreads_ = 8;
    unsigned short Port = Fixture.start(Upstream.address());
    // Sent one at a time: calls that are still arriving occupy slots too.
    constexpr std::size_t Admitted = 5;
    constexpr std::size_t Sent = 8;
    std::vector<RawSocket> Slow;
    std::size_t Refused = 0;
    for (std::size_t Number = 1; Number <= Sent; ++Number) {
      Slow.emplace_back(Port);
      Slow.back().send("GET /slow HTTP/1.1\r\nHost: vm\r\n"
                       "X-Api-Key: large.s\r\n\r\n");
      if (Number > Admitted)
        Refused += Slow.back().readMessage().starts_with("HTTP/1.1 503 ");
      for (int Step = 0; Step < 2000 && Number <= Admitted; ++Step) {
        if (Upstream.connections() >= static_cast<int>(Number))
          break;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    }
    CHECK(Refused == Sent - Admitted);
    RawSocket Small(Port);
    Small.send(Get + "X-Api-Key: small.s\r\n\r\n");
    CHECK_THAT(Small.readMessage(), StartsWith("HTTP/1.1 200 "));
    Small.send("GET /v1/lookup?service=tags HTTP/1.1\r\nHost: vm\r\n\r\n");
    CHECK_THAT(Small.readMessage(), StartsWith("HTTP/1.1 200 "));
    Ended = true;
    for (std::size_t Number = 0; Number < Admitted; ++Number)
      CHECK_THAT(Slow[Number].readMessage(), StartsWith("HTTP/1.1 200 "));
  }
  SECTION("The connection that is idle longest is closed to accept a new one") {
    Fixture.Settings_.MaxCallerConnections_ = 2;
    unsigned short Port = Fixture.start();
    RawSocket First(Port);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    RawSocket Second(Port);
    RawSocket Third(Port);
    Third.send("GET /v1/lookup?service=tags HTTP/1.1\r\nHost: vm\r\n\r\n");
    CHECK_THAT(Third.readMessage(), StartsWith("HTTP/1.1 200 "));
    CHECK(First.closed());
  }
}
