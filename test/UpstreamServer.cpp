#include "fakes/FakeCallerPort.h"
#include "fakes/FakePorts.h"
#include "fakes/RawSocket.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
using fakes::RawSocket;

namespace {

const std::string Valid =
    "{\"service\":\"tags\",\"upstream\":\"t1\",\"host\":\"10.0.0.1\","
    "\"port\":8080,\"slots\":3,\"connections\":400,\"load\":0.5}";

std::string announcement(const std::string &Body,
                         const std::string &Key = "service key",
                         const std::string &Line = "POST /v1/announce") {
  return Line + " HTTP/1.1\r\nHost: vm\r\nX-Api-Key: " + Key +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

std::string validWith(const std::string &Old, const std::string &New) {
  std::string Body = Valid;
  return Body.replace(Body.find(Old), Old.size(), New);
}

} // namespace

TEST_CASE("Announcements of upstreams") {
  SystemClock Clock;
  Settings S = fakes::CallerServerFixture::makeSettings();
  fakes::FakeUpstreamPort Port;
  UpstreamServer Server(Port, S, Clock);
  Server.start();
  RawSocket Upstream(Server.port());

  SECTION("The response to a valid announcement holds its lease") {
    Upstream.send(announcement(Valid));
    std::string Response = Upstream.readMessage();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 200 "));
    CHECK_THAT(Response,
               Contains("{\"lease_ms\":3000,\"renew_every_ms\":1000}"));
    CHECK(Port.LastAnnouncement_.Service_ == ServiceId("tags"));
    CHECK(Port.LastAnnouncement_.Upstream_ == UpstreamId("t1"));
    CHECK(toString(Port.LastAnnouncement_.Address_) == "10.0.0.1:8080");
    CHECK(Port.LastAnnouncement_.Slots_ == 3);
    CHECK(Port.LastAnnouncement_.Connections_ == 400);
    CHECK(Port.LastAnnouncement_.LoadReported_);
    CHECK(Port.LastAnnouncement_.Load_ == 0.5);
    CHECK_FALSE(Port.LastAnnouncement_.Leaving_);
  }
  SECTION("A leaving upstream may omit its load") {
    Upstream.send(announcement(validWith("\"load\":0.5", "\"leaving\":true")));
    CHECK_THAT(Upstream.readMessage(), StartsWith("HTTP/1.1 200 "));
    CHECK(Port.LastAnnouncement_.Leaving_);
    CHECK_FALSE(Port.LastAnnouncement_.LoadReported_);
  }
  SECTION("An invalid announcement is refused") {
    std::string Status = "400";
    std::string Sent;
    SECTION("with another key") {
      Sent = announcement(Valid, "other");
      Status = "401";
    }
    SECTION("on another path") {
      Sent = announcement(Valid, "service key", "POST /v1/apply");
      Status = "404";
    }
    SECTION("by another method") {
      Sent = announcement(Valid, "service key", "PUT /v1/announce");
    }
    SECTION("without a body") { Sent = announcement(""); }
    SECTION("with an invalid field") {
      auto [Old, New] = GENERATE(table<std::string, std::string>(
          {{"\"port\":8080", "\"port\":0"},
           {"\"port\":8080", "\"port\":65536"},
           {"\"port\":8080", "\"port\":\"80\""},
           {"\"port\":8080", "\"port\":80.5"},
           {"\"port\":8080,", ""},
           {"\"slots\":3", "\"slots\":0"},
           {"\"slots\":3", "\"slots\":-1"},
           {"\"slots\":3", "\"slots\":99999999999999999999"},
           {"10.0.0.1", "upstream.example"},
           {"10.0.0.1", "0.0.0.0"},
           {"\"tags\"", "\"\""},
           {"\"tags\"", "null"},
           {"\"tags\"", "\"a\\nb\""},
           {"\"load\":0.5", "\"load\":1.5"},
           {"\"load\":0.5", "\"load\":\"low\""},
           {"\"load\":0.5", "\"leaving\":1"}}));
      Sent = announcement(validWith(Old, New));
    }
    Upstream.send(Sent);
    std::string Response = Upstream.readMessage();
    CAPTURE(Sent);
    CHECK_THAT(Response, StartsWith("HTTP/1.1 " + Status + " "));
    CHECK(Port.AnnouncementCount_ == 0);
  }
}
