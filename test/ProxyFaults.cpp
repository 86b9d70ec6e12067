#include "fakes/FakeCallerPort.h"
#include "fakes/ScriptedUpstream.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

using namespace lagoonpoint;
using Catch::Matchers::Contains;
using Catch::Matchers::EndsWith;
using Catch::Matchers::StartsWith;
using fakes::RawSocket;
using fakes::ScriptedUpstream;

namespace {

const std::string Get = "GET /tags/7 HTTP/1.1\r\nHost: vm\r\n\r\n";
const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string Shed =
    "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy";
constexpr std::size_t LongBytes = 200'000; ///< more than is buffered

void sleepMillis(int Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

/// Waits until a condition holds, for at most ten seconds.
template <class Condition> bool eventually(Condition Holds) {
  for (int Step = 0; Step < 1000; ++Step) {
    if (Holds())
      return true;
    sleepMillis(10);
  }
  return false;
}

/// An upstream that responds to each request with the next of the given texts
/// and closes after the last. An empty text closes without a response.
class SequencedUpstream {
public:
  explicit SequencedUpstream(std::vector<std::string> Texts)
      : Responses_(std::move(Texts)), Upstream_([this](RawSocket &S) {
          while (Next_ < Responses_.size() && !Upstream_.receive(S).empty()) {
            std::string Text = Responses_[Next_++];
            if (Text.empty())
              break;
            S.send(Text);
          }
          S.close();
        }) {}

  ScriptedUpstream *operator->() { return &Upstream_; }

private:
  std::vector<std::string> Responses_;
  std::atomic<std::size_t> Next_{0};
  ScriptedUpstream Upstream_;
};

TryReport onlyReport(const fakes::CallerServerFixture &Fixture) {
  auto Reports = Fixture.Port_.reports();
  REQUIRE(Reports.size() == 1);
  return Reports[0];
}

} // namespace

TEST_CASE(
    "A truncated or malformed response is never passed on as a short 200") {
  std::string Text = GENERATE(
      as<std::string>(), "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0"
      "\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n"
      "\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
      "HTTP/1.1 200 OK\r\n\r\nno framing at all", "HTTP/1.1 200 OK\r\nCont",
      "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-A : 1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 101 Switching\r\nContent-Length: 0\r\n\r\n", "");
  CAPTURE(Text);
  SequencedUpstream Upstream({Text});
  fakes::CallerServerFixture Fixture;
  RawSocket Caller(Fixture.start(Upstream->address()));
  Caller.send(Get);
  std::string Response = Caller.readMessage();
  CHECK_THAT(Response, StartsWith("HTTP/1.1 502 "));
  CHECK_THAT(Response, Contains("\"upstream_failed\",\"ran\":\"unknown\""));
  CHECK(onlyReport(Fixture).Result_ == TryResult::Broken);
}

// Guards against a status that is three digits but no status, passed on or
// taken for an interim response that the real one would follow.
TEST_CASE("A response whose status is out of range fails the try at once") {
  std::string Status =
      GENERATE(as<std::string>(), "000", "001", "099", "600", "999");
  CAPTURE(Status);
  std::atomic<bool> LostConnection{false};
  ScriptedUpstream Upstream([&](RawSocket &S) {
    Upstream.receive(S);
    S.send("HTTP/1.1 " + Status + " X\r\nContent-Length: 2\r\n\r\nno");
    LostConnection = Upstream.receive(S).empty();
  });
  fakes::CallerServerFixture Fixture;
  RawSocket Caller(Fixture.start(Upstream.address()));
  Caller.send(Get);
  std::string Response = Caller.readMessage();
  CHECK_THAT(Response, StartsWith("HTTP/1.1 502 "));
  CHECK_THAT(Response, Contains("\"upstream_failed\",\"ran\":\"unknown\""));
  CHECK(onlyReport(Fixture).Result_ == TryResult::Broken);
  CHECK(eventually([&] { return LostConnection.load(); }));
}

TEST_CASE("A response truncated after its start never looks complete") {
  std::string Head = "HTTP/1.1 200 OK\r\n";
  std::string Body(LongBytes, 'x');
  fakes::CallerServerFixture Fixture;
  SECTION("with a length") {
    SequencedUpstream Upstream(
        {Head + "Content-Length: 300000\r\n\r\n" + Body});
    RawSocket Caller(Fixture.start(Upstream->address()));
    Caller.send(Get);
    std::string Response = Caller.readAll();
    CHECK(Caller.closed());
    CHECK(Response.size() < 300'000);
  }
  SECTION("in chunks") {
    SequencedUpstream Upstream(
        {Head + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + Body + "\r\n"});
    RawSocket Caller(Fixture.start(Upstream->address()));
    Caller.send(Get);
    CHECK_THAT(Caller.readAll(), !EndsWith("0\r\n\r\n"));
    CHECK(Caller.closed());
  }
  SECTION("to an HTTP/1.0 caller, where closing ends the body") {
    SequencedUpstream Upstream(
        {Head + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + Body + "\r\n"});
    RawSocket Caller(Fixture.start(Upstream->address()));
    Caller.send("GET / HTTP/1.0\r\n\r\n");
    Caller.readAll();
    CHECK(Caller.wasReset());
  }
  TryReport Report = onlyReport(Fixture);
  CHECK(Report.Result_ == TryResult::Broken);
  CHECK(Report.ResponseStarted_);
}

TEST_CASE("A long or slow response is passed on completely") {
  std::string Body(LongBytes, 'x');
  fakes::CallerServerFixture Fixture;
  SECTION("with a length") {
    SequencedUpstream Upstream(
        {"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + Body});
    RawSocket Caller(Fixture.start(Upstream->address()));
    Caller.send(Get);
    CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\n" + Body));
  }
  SECTION("in chunks, after an interim response") {
    SequencedUpstream Upstream({"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" +
                                Body + "\r\n0\r\nX-Trailer: 1\r\n\r\n"});
    RawSocket Caller(Fixture.start(Upstream->address()));
    Caller.send(Get);
    std::string Response = Caller.readUntil("\r\n0\r\n\r\n");
    CHECK_THAT(Response, StartsWith("HTTP/1.1 200 OK\r\n"));
    CHECK(std::count(Response.begin(), Response.end(), 'x') >= 200'000);
  }
  SECTION("as it arrives") {
    std::atomic<bool> Received{false};
    ScriptedUpstream Upstream([&](RawSocket &S) {
      S.readMessage();
      S.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
      eventually([&] { return Received.load(); });
      S.send("cd");
    });
    RawSocket Caller(Fixture.start(Upstream.address()));
    Caller.send(Get);
    CHECK_THAT(Caller.readUntil("\r\n\r\nab"), EndsWith("ab"));
    Received = true;
    CHECK(Caller.readBytes(2) == "cd");
  }
  SECTION("to HEAD, with the length but no body") {
    SequencedUpstream Upstream(
        {"HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n", Ok});
    RawSocket Caller(Fixture.start(Upstream->address()));
    Caller.send("HEAD / HTTP/1.1\r\nHost: vm\r\n\r\n" + Get);
    CHECK_THAT(Caller.readUntil("\r\n\r\n"), Contains("Content-Length: 70"));
    CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
  }
}

TEST_CASE("A truncated request body is not forwarded as complete") {
  SequencedUpstream Upstream({Ok});
  fakes::CallerServerFixture Fixture;
  RawSocket Caller(Fixture.start(Upstream->address()));
  std::string Head = "POST /tags HTTP/1.1\r\nHost: vm\r\n";

  SECTION("A short one reaches no upstream") {
    std::string Body = GENERATE(
        as<std::string>(), "Content-Length: 10\r\n\r\nshort",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\nhello\r\n0\r\n\r\n");
    CAPTURE(Body);
    Caller.send(Head + Body);
    Caller.shutdownSend();
    std::string Response = Caller.readAll();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 400 "));
    CHECK_THAT(Response, Contains("\"ran\":\"no\""));
    CHECK(Upstream->connections() == 0);
  }
  SECTION("A long one closes the upstream's connection early") {
    Caller.send(Head + "Content-Length: 300000\r\n\r\n" +
                std::string(LongBytes, 'x'));
    Caller.shutdownSend();
    CHECK(eventually([&] { return Fixture.Port_.reports().size() == 1; }));
    CHECK(onlyReport(Fixture).Result_ == TryResult::CallerLeft);
    CHECK(eventually([&] { return Upstream->requests() == 1; }));
    CHECK(Upstream->receivedBytes().size() < 300'000);
  }
}

// Guards against a caller that waits for a response and finds its connection
// closed.
TEST_CASE("A request body that can't be completed is answered") {
  std::atomic<bool> LostConnection{false};
  ScriptedUpstream Upstream([&](RawSocket &S) {
    S.readUntil("\r\n\r\n");
    S.readAll();
    LostConnection = true;
  });
  fakes::CallerServerFixture Fixture;
  Fixture.Port_.Deadline_ = Duration::millis(600);
  RawSocket Caller(Fixture.start(Upstream.address()));
  std::string Head = "POST /tags HTTP/1.1\r\nHost: vm\r\n";
  std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  std::string LongChunk = "30d40\r\n" + std::string(LongBytes, 'x') + "\r\n";
  SECTION("if it is short and late, as not run") {
    Caller.send(Head + "Content-Length: 10\r\n\r\nshort");
    CHECK_THAT(Caller.readMessage(),
               StartsWith("HTTP/1.1 504 ") &&
                   Contains("\"deadline_passed\",\"ran\":\"no\""));
    CHECK(Upstream.connections() == 0);
  }
  SECTION("if it is streamed") {
    SECTION("and late") {
      Caller.send(Head + "Content-Length: 300000\r\n\r\n" +
                  std::string(LongBytes, 'x'));
      CHECK_THAT(Caller.readMessage(),
                 StartsWith("HTTP/1.1 504 ") &&
                     Contains("\"deadline_passed\",\"ran\":\"unknown\""));
    }
    SECTION("and malformed") {
      Caller.send(Chunked + LongChunk + "zz\r\n");
      CHECK_THAT(Caller.readMessage(),
                 StartsWith("HTTP/1.1 400 ") &&
                     Contains("\"bad_request\",\"ran\":\"unknown\""));
    }
    CHECK(onlyReport(Fixture).Result_ == TryResult::CallerLeft);
    CHECK(eventually([&] { return LostConnection.load(); }));
  }
  CHECK(Caller.closed());
}

TEST_CASE("A long request body is streamed") {
  fakes::CallerServerFixture Fixture;
  SECTION("completely") {
    SequencedUpstream Upstream({Ok});
    RawSocket Caller(Fixture.start(Upstream->address()));
    Caller.send("POST /tags HTTP/1.1\r\nHost: vm\r\nContent-Length: 200000"
                "\r\n\r\n" +
                std::string(LongBytes, 'x'));
    CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
    std::string Received = Upstream->receivedBytes();
    CHECK(std::count(Received.begin(), Received.end(), 'x') == 200'000);
  }
  SECTION("until the upstream responds early") {
    ScriptedUpstream Upstream([&](RawSocket &S) {
      S.readUntil("\r\n\r\n");
      S.send("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
      S.readAll();
    });
    RawSocket Caller(Fixture.start(Upstream.address()));
    Caller.send("POST /tags HTTP/1.1\r\nHost: vm\r\nContent-Length: 900000"
                "\r\n\r\n" +
                std::string(LongBytes, 'x'));
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 413 "));
    CHECK(Caller.closed());
  }
}

TEST_CASE("A late response reaches no caller") {
  std::atomic<int> Number{0};
  ScriptedUpstream Upstream([&](RawSocket &S) {
    while (!S.readMessage().empty()) {
      if (Number++ == 0) {
        sleepMillis(300);
        S.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
      } else {
        S.send(Ok);
      }
    }
  });
  fakes::CallerServerFixture Fixture;
  RawSocket Caller(Fixture.start(Upstream.address()));
  Caller.send("GET /1 HTTP/1.1\r\nHost: vm\r\nX-Deadline-Ms: 100\r\n\r\n");
  std::string First = Caller.readMessage();
  CHECK_THAT(First, StartsWith("HTTP/1.1 504 "));
  CHECK_THAT(First, Contains("\"deadline_passed\",\"ran\":\"unknown\""));
  CHECK(onlyReport(Fixture).Result_ == TryResult::TimedOut);
  for (int Count = 0; Count < 5; ++Count) {
    Caller.send(Get);
    CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
    sleepMillis(100);
  }
  CHECK(Upstream.connections() == 2);
}

TEST_CASE("An upstream connection that is out of sync is not reused") {
  fakes::CallerServerFixture Fixture;
  SECTION("after more than the response arrived") {
    SequencedUpstream Upstream(
        {Ok + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", Ok});
    RawSocket Caller(Fixture.start(Upstream->address()));
    for (int Count = 0; Count < 2; ++Count) {
      Caller.send(Get);
      CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
      sleepMillis(20);
    }
    CHECK(Upstream->connections() == 2);
  }
  SECTION("after the upstream closed it") {
    std::atomic<int> Closed{0};
    ScriptedUpstream Upstream([&](RawSocket &S) {
      Upstream.receive(S);
      S.send(Ok);
      S.close();
      ++Closed;
    });
    RawSocket Caller(Fixture.start(Upstream.address()));
    for (int Count = 1; Count <= 3; ++Count) {
      Caller.send(Get);
      CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
      CHECK(eventually([&] { return Closed == Count; }));
    }
  }
  SECTION("after a response with Connection: close") {
    SequencedUpstream Upstream({"HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                "Content-Length: 2\r\n\r\nok",
                                Ok});
    RawSocket Caller(Fixture.start(Upstream->address()));
    Caller.send(Get + Get);
    CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
    CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
    CHECK(Upstream->connections() == 2);
  }
}

TEST_CASE("A failed try") {
  SequencedUpstream Second({Ok, Ok});
  fakes::CallerServerFixture Fixture;
  auto SetTargets = [&](const Address &First) {
    Fixture.Port_.Targets_ = {{UpstreamId("u1"), VmId(), First},
                              {UpstreamId("u2"), VmId(), Second->address()}};
  };
  Address Unreachable{"127.0.0.1", 1};

  SECTION("before anything was sent is refused as not run") {
    RawSocket Caller(Fixture.start(Unreachable));
    Caller.send(Get);
    std::string Response = Caller.readMessage();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 503 "));
    CHECK_THAT(Response, Contains("\"no_upstream\",\"ran\":\"no\""));
    CHECK(onlyReport(Fixture).Result_ == TryResult::NotConnected);
  }
  SECTION("before anything was sent is retried if CallerPort allows it") {
    Fixture.Port_.Retry_ = true;
    SetTargets(Unreachable);
    RawSocket Caller(Fixture.start());
    Caller.send(Get);
    CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
  }
  SECTION("because the upstream shed it is refused as not run") {
    SequencedUpstream First({Shed});
    RawSocket Caller(Fixture.start(First->address()));
    Caller.send(Get);
    std::string Response = Caller.readMessage();
    CHECK_THAT(Response, Contains("\"no_capacity\",\"ran\":\"no\""));
    CHECK(onlyReport(Fixture).Result_ == TryResult::Shed);
  }
  SECTION("because the upstream shed it is retried with its body") {
    SequencedUpstream First({Shed});
    Fixture.Port_.Retry_ = true;
    Fixture.Port_.Route_.Kind_ = GENERATE(RouteKind::Plain, RouteKind::Once);
    SetTargets(First->address());
    RawSocket Caller(Fixture.start());
    Caller.send(
        "POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: 5\r\n\r\nhello");
    CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
    CHECK_THAT(Second->receivedBytes(), EndsWith("\r\n\r\nhello"));
  }
  SECTION("with a 503 without X-Not-Run is an ordinary response") {
    SequencedUpstream First({"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"});
    RawSocket Caller(Fixture.start(First->address()));
    Caller.send(Get);
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 503 "));
    CHECK(onlyReport(Fixture).Result_ == TryResult::Answered);
  }
  SECTION("after bytes were sent") {
    SequencedUpstream First({""});
    Fixture.Port_.Retry_ = true;
    SetTargets(First->address());
    std::uint64_t Before = invariantViolations();
    SECTION("is retried on a repeatable route") {
      Fixture.Port_.Route_.Kind_ = RouteKind::Repeatable;
      RawSocket Caller(Fixture.start());
      Caller.send(Get);
      CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
    }
    SECTION("is not retried otherwise, even if CallerPort allows it") {
      Fixture.Port_.Route_.Kind_ = GENERATE(RouteKind::Plain, RouteKind::Once);
      RawSocket Caller(Fixture.start());
      Caller.send(Get);
      std::string Response = Caller.readMessage();
      CHECK_THAT(Response, Contains("\"internal\",\"ran\":\"unknown\""));
      CHECK(Second->connections() == 0);
      CHECK(invariantViolations() == Before + 1);
    }
  }
  SECTION("after an earlier one that may have run is refused as unknown") {
    SequencedUpstream First({""});
    Fixture.Port_.Retry_ = true;
    Fixture.Port_.Route_.Kind_ = RouteKind::Repeatable;
    Fixture.Port_.Targets_ = {{UpstreamId("u1"), VmId(), First->address()},
                              {UpstreamId("u2"), VmId(), Unreachable}};
    RawSocket Caller(Fixture.start());
    Caller.send(Get);
    CHECK_THAT(Caller.readMessage(), Contains("\"ran\":\"unknown\""));
  }
}

TEST_CASE("A caller that leaves") {
  std::atomic<bool> Cancelled{false};
  std::atomic<bool> Finish{false};
  ScriptedUpstream Upstream([&](RawSocket &S) {
    Upstream.receive(S);
    if (!Finish) {
      Cancelled = S.closed();
      return;
    }
    sleepMillis(100);
    S.send(Ok);
  });
  fakes::CallerServerFixture Fixture;
  auto Leave = [&](unsigned short Port, const std::string &Request) {
    RawSocket Caller(Port);
    Caller.send(Request);
    CHECK(eventually([&] { return Upstream.requests() == 1; }));
    Caller.close();
  };

  SECTION("cancels its call at the upstream") {
    Leave(Fixture.start(Upstream.address()), Get);
    CHECK(eventually([&] { return Cancelled.load(); }));
    CHECK(eventually([&] { return Fixture.Port_.reports().size() == 1; }));
    CHECK(onlyReport(Fixture).Result_ == TryResult::CallerLeft);
  }
  SECTION("gets the stored response when it resends a once-request") {
    Finish = true;
    Fixture.Port_.Route_.Kind_ = RouteKind::Once;
    std::string Request = "POST /move HTTP/1.1\r\nHost: vm\r\n"
                          "Idempotency-Key: a-1-9-x\r\n\r\n";
    unsigned short Port = Fixture.start(Upstream.address());
    Leave(Port, Request);
    CHECK(eventually([&] { return Fixture.Port_.reports().size() == 1; }));
    RawSocket Again(Port);
    Again.send(Request);
    std::string Response = Again.readMessage();
    CHECK_THAT(Response, EndsWith("\r\n\r\nok"));
    CHECK_THAT(Response, Contains("Idempotent-Replayed: true\r\n"));
    CHECK(Upstream.requests() == 1);
  }
}

TEST_CASE("A call is forwarded to the home VM of its idempotency key") {
  SequencedUpstream Upstream({Ok});
  fakes::CallerServerFixture Home;
  fakes::CallerServerFixture Entry;
  Address HomeAddress{"127.0.0.1", Home.start(Upstream->address())};
  Entry.Port_.Targets_ = {{UpstreamId(), VmId("e2"), HomeAddress}};
  std::string Request = "POST /move HTTP/1.1\r\nHost: vm\r\n"
                        "Authorization: Bearer k1.secret\r\n"
                        "Idempotency-Key: a-1-9-x\r\n\r\n";

  SECTION("with key, client address and hop field; upstreams get no key and no "
          "hop") {
    RawSocket Caller(Entry.start());
    Caller.send(Request);
    CHECK_THAT(Caller.readMessage(), EndsWith("\r\n\r\nok"));
    Call First = Entry.Port_.calls().at(0);
    Call Second = Home.Port_.calls().at(0);
    CHECK_FALSE(First.Forwarded_);
    CHECK(Second.Forwarded_);
    CHECK(Second.Key_ == "k1.secret");
    CHECK(Second.IdempotencyKey_ == "a-1-9-x");
    CHECK(Second.Request_ == First.Request_);
    CHECK(Second.ClientAddress_ == First.ClientAddress_);
    CHECK_THAT(Upstream->receivedBytes(), !Contains("secret"));
    CHECK_THAT(Upstream->receivedBytes(), !Contains("Hop"));
  }
  SECTION("but not from a VM of another cluster") {
    Entry.Settings_.ClusterSecret_ = "other";
    RawSocket Caller(Entry.start());
    Caller.send(Request);
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 400 "));
    CHECK(Upstream->requests() == 0);
  }
}

TEST_CASE("A stop under load truncates and refuses no call") {
  std::atomic<int> Ran{0};
  ScriptedUpstream Upstream([&](RawSocket &S) {
    while (!S.readMessage().empty()) {
      sleepMillis(5);
      ++Ran;
      S.send(Ok);
    }
  });
  fakes::CallerServerFixture Fixture;
  Fixture.Settings_.CallerThreads_ = 16; // allows one team ten call slots
  unsigned short Port = Fixture.start(Upstream.address());
  std::atomic<int> Complete{0};
  std::atomic<int> Other{0};
  std::atomic<int> Connected{0};
  std::vector<std::thread> Callers;
  for (int Number = 0; Number < 6; ++Number)
    Callers.emplace_back([&] {
      RawSocket Caller(Port);
      ++Connected;
      while (Caller.send(Get)) {
        std::string Response = Caller.readMessage();
        if (Response.empty())
          break;
        bool IsComplete = Response.starts_with("HTTP/1.1 200") &&
                          Response.ends_with("\r\n\r\nok");
        ++(IsComplete ? Complete : Other);
        if (Response.find("Connection: close") != std::string::npos)
          break;
      }
    });
  CHECK(eventually([&] { return Connected == 6 && Complete > 50; }));
  Fixture.Port_.Draining_ = true;
  Fixture.Server_->stop();
  for (std::thread &T : Callers)
    T.join();
  CHECK(Other == 0);
  CHECK(Ran == Complete);
  for (const TryReport &Report : Fixture.Port_.reports())
    CHECK(Report.Result_ == TryResult::Answered);
}
