// Guards against requests that are carried out after their client has given
// them up, for example because this process was suspended meanwhile.
#include "lagoonpoint/src/Http/util/JsonService.h"
#include "fakes/FakeCallerPort.h"
#include "fakes/RawSocket.h"

#include <catch2/catch.hpp>

#include <future>

using namespace lagoonpoint;
using Catch::Matchers::StartsWith;
using fakes::RawSocket;
using internal::BufferedRequest;
using internal::JsonService;

namespace {

std::string request(const std::string &Path, const std::string &Body = "{}") {
  return "POST " + Path + " HTTP/1.1\r\nHost: vm\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

TEST_CASE("A request that waits behind a slow one") {
  SystemClock Clock;
  Settings S = fakes::CallerServerFixture::makeSettings();
  std::promise<void> FirstArrived;
  std::promise<void> Release;
  std::shared_future<void> Released = Release.get_future().share();
  std::atomic<int> Handled{0};
  std::atomic<bool> Left{false};
  JsonService Service(S.Operators_, S, Clock, "test", nullptr,
                      [&](const BufferedRequest &Request) {
                        if (Request.Path_ == "/first") {
                          FirstArrived.set_value();
                          Released.wait();
                          Left = Request.ClientLeft_();
                        } else {
                          ++Handled;
                        }
                        return internal::jsonResponse(200, "{}");
                      });
  Service.start();
  RawSocket Client(Service.port());
  REQUIRE(Client.send(request("/first") + request("/second")));
  FirstArrived.get_future().wait();

  SECTION("is handled while its client waits") {
    Release.set_value();
    CHECK_THAT(Client.readMessage(), StartsWith("HTTP/1.1 200 "));
    CHECK_THAT(Client.readMessage(), StartsWith("HTTP/1.1 200 "));
    CHECK(Handled == 1);
    CHECK_FALSE(Left);
  }
  SECTION("is dropped once its client has closed the connection") {
    bool Resets = GENERATE(false, true);
    if (Resets)
      Client.reset();
    else
      Client.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Release.set_value();
    Service.stop();
    CHECK(Handled == 0);
    CHECK(Left);
  }
}
