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
