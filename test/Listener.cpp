#include "lagoonpoint/src/Http/util/Listener.h"
#include "fakes/RawSocket.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <thread>

using namespace lagoonpoint;
using fakes::RawSocket;

TEST_CASE("A listener starts threads as requests need them") {
  constexpr unsigned Most = 5;
  SystemClock Clock;
  std::mutex Lock;
  std::condition_variable Changed;
  unsigned Serving = 0;
  bool Answer = false;
  internal::ListenerOptions Options;
  Options.Listen_ = {"127.0.0.1", 0};
  Options.Threads_ = Most;
  Options.HeadTimeout_ = Options.IdleTimeout_ = Duration::seconds(60);
  Options.DrainLimit_ = Duration::seconds(10);
  Options.Name_ = "test";
  internal::Listener L(
      Options, Clock,
      [&](internal::Connection &C, internal::RequestHead &) {
        std::unique_lock Guard(Lock);
        ++Serving;
        Changed.notify_all();
        Changed.wait(Guard, [&] { return Answer; });
        C.Wire_.shutdownSend();
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
  for (unsigned Count = 1; Count <= Most; ++Count) {
    Call();
    std::unique_lock Guard(Lock);
    Changed.wait(Guard, [&] { return Serving == Count; });
    CHECK(L.threads() <= Count);
  }
  CHECK(L.threads() == Most);
  Call(); // waits for a thread
  {
    std::lock_guard Guard(Lock);
    Answer = true;
    Changed.notify_all();
  }
  for (auto &Caller : Callers)
    CHECK(Caller->readAll().empty());
  CHECK(L.threads() == Most);
  L.stop();
}
