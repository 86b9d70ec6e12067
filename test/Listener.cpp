#include "lagoonpoint/src/Http/util/Listener.h"
#include "fakes/RawSocket.h"
#include "lagoonpoint/src/Http/util/JsonService.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <thread>

using namespace lagoonpoint;
using fakes::RawSocket;

TEST_CASE("A listener starts threads on demand") {
  constexpr unsigned MaxThreads = 5;
  SystemClock Clock;
  std::mutex Lock;
  std::condition_variable Changed;
  unsigned Serving = 0;
  bool MayRespond = false;
  internal::ListenerOptions Options;
  Options.Listen_ = {"127.0.0.1", 0};
  Options.Threads_ = MaxThreads;
  Options.HeadTimeout_ = Options.IdleTimeout_ = Duration::seconds(60);
  Options.DrainLimit_ = Duration::seconds(10);
  Options.Name_ = "test";
  internal::Listener L(
      Options, Clock,
      [&](internal::Connection &C, internal::RequestHead &) {
        std::unique_lock Guard(Lock);
        ++Serving;
        Changed.notify_all();
        Changed.wait(Guard, [&] { return MayRespond; });
        C.Socket_.shutdownSend();
        return false;
      },
      [](internal::Connection &, const Refusal &) {});
  L.start();
  CHECK(L.threads() == 1);

  std::vector<std::unique_ptr<RawSocket>> Callers;
  auto Call = [&] {
    Callers.push_back(std::make_unique<RawSocket>("127.0.0.1", L.port()));
    Callers.back()->send("GET / HTTP/1.1\r\nHost: vm\r\n\r\n");
  };
  for (unsigned Count = 1; Count <= MaxThreads; ++Count) {
    Call();
    std::unique_lock Guard(Lock);
    Changed.wait(Guard, [&] { return Serving == Count; });
    CHECK(L.threads() <= Count);
  }
  CHECK(L.threads() == MaxThreads);
  Call(); // stays queued, as all threads are busy
  {
    std::lock_guard Guard(Lock);
    MayRespond = true;
    Changed.notify_all();
  }
  for (auto &Caller : Callers)
    CHECK(Caller->readAll().empty());
  CHECK(L.threads() == MaxThreads);
  L.stop();
}

// Fails if only connections found in the poll set are checked against their
// limit: one whose peer keeps sending is hardly ever there, and held its thread
// and its buffers for as long as the peer liked.
TEST_CASE("A peer that keeps sending does not keep its connection open") {
  SystemClock Clock;
  internal::ListenerOptions Options;
  Options.Listen_ = {"127.0.0.1", 0};
  Options.MaxHeadBytes_ = 1 << 20;
  Options.HeadTimeout_ = Duration::seconds(1);
  Options.IdleTimeout_ = Duration::seconds(60);
  Options.DrainLimit_ = Duration::seconds(10);
  Options.Name_ = "test";
  std::atomic<unsigned> Rejected{0};
  internal::Listener L(
      Options, Clock,
      [](internal::Connection &, internal::RequestHead &Head) {
        return Head.KeepAlive_;
      },
      [&](internal::Connection &, const Refusal &) { ++Rejected; });
  L.start();
  RawSocket Peer("127.0.0.1", L.port());
  // The limits are one second each; a response that was cut short is given one
  // more to be read.
  constexpr Duration ClosedWithin = Duration::seconds(4);
  auto SendUntilClosed = [&] {
    Time Start = Clock.now();
    while (Peer.send("x")) {
      if (Clock.now() - Start > ClosedWithin)
        return false;
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    return true;
  };
  SECTION("while a request head is incomplete") {
    Peer.send("GET / HTTP/1.1\r\nX-Name: ");
    CHECK(SendUntilClosed());
    CHECK(Rejected == 1);
  }
  SECTION("while the head after a served request is incomplete") {
    Peer.send("GET / HTTP/1.1\r\nHost: vm\r\n\r\nGET / HTTP/1.1\r\nX-Name: ");
    CHECK(SendUntilClosed());
    CHECK(Rejected == 1);
  }
  SECTION("after the last response") {
    Peer.send("GET / HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
    CHECK(SendUntilClosed());
    CHECK(Rejected == 0);
  }
  L.stop();
}

TEST_CASE("Requests that wait for confirmation do not block others") {
  // Number of upstreams that leave at once when a release replaces them.
  constexpr unsigned Departures = 40;
  SystemClock Clock;
  Settings S;
  S.DrainLimit_ = Duration::seconds(10);
  std::mutex Lock;
  std::condition_variable Changed;
  unsigned Waiting = 0;
  bool Confirmed = false;
  internal::JsonService Service({"127.0.0.1", 0}, S, Clock, "test", nullptr,
                                [&](const internal::BufferedRequest &Request) {
                                  std::unique_lock Guard(Lock);
                                  if (Request.Path_ == "/depart") {
                                    ++Waiting;
                                    Changed.notify_all();
                                    Changed.wait(Guard,
                                                 [&] { return Confirmed; });
                                  }
                                  return internal::jsonResponse(200, "{}");
                                });
  Service.start();
  std::vector<std::unique_ptr<RawSocket>> Callers;
  for (unsigned Count = 0; Count < Departures; ++Count) {
    Callers.push_back(std::make_unique<RawSocket>("127.0.0.1", Service.port()));
    Callers.back()->send("GET /depart HTTP/1.1\r\nHost: vm\r\n\r\n");
  }
  {
    std::unique_lock Guard(Lock);
    CHECK(Changed.wait_for(Guard, std::chrono::seconds(20),
                           [&] { return Waiting == Departures; }));
  }
  RawSocket Other("127.0.0.1", Service.port());
  Other.send("GET /beat HTTP/1.1\r\nHost: vm\r\n\r\n");
  CHECK(Other.readMessage().find("HTTP/1.1 200 ") == 0);
  {
    std::lock_guard Guard(Lock);
    Confirmed = true;
    Changed.notify_all();
  }
  for (auto &Caller : Callers)
    CHECK(Caller->readMessage().find("HTTP/1.1 200 ") == 0);
  Service.stop();
}
