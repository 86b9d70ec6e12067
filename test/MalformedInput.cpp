#include "fakes/FakeCallerPort.h"
#include "fakes/FakePorts.h"
#include "fakes/ScriptedUpstream.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using Catch::Matchers::StartsWith;
using fakes::RawSocket;

namespace {

constexpr int Count = 10'000;
constexpr std::uint64_t Seed = 20261204;

const std::vector<std::string> Requests{
    "GET /v1/lookup?service=tags HTTP/1.1\r\nHost: vm\r\n\r\n",
    "POST /tags HTTP/1.1\r\nHost: vm\r\nContent-Length: 5\r\n\r\nhello",
    "POST /tags HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n0\r\n\r\n",
    "GET /tags HTTP/1.1\r\nHost: vm\r\nAuthorization: Bearer k1.s\r\n"
    "Connection: close\r\nX-Deadline-Ms: 100\r\n\r\n"};

const std::vector<std::string> Announcements{
    "POST /v1/announce HTTP/1.1\r\nHost: vm\r\nX-Api-Key: service key\r\n"
    "Content-Length: 101\r\n\r\n{\"service\":\"tags\",\"upstream\":\"t1\","
    "\"host\":\"10.0.0.1\",\"port\":80,\"slots\":3,\"connections\":400,"
    "\"load\":0.5}"};

/// Changes, drops, repeats or inserts a few bytes.
std::string mutate(std::string Text, Random &Generator) {
  const std::string Bytes = "\r\n\0 :;,0-9aF{}[]\"\\/.%\xff";
  for (std::uint64_t Changes = 1 + Generator() % 4; Changes > 0; --Changes) {
    std::size_t At = Generator() % Text.size();
    char Byte = Bytes[Generator() % Bytes.size()];
    switch (Generator() % 4) {
    case 0:
      Text[At] = Byte;
      break;
    case 1:
      Text.insert(At, 1, Byte);
      break;
    case 2:
      Text.erase(At, 1 + Generator() % 3);
      break;
    default:
      Text.insert(At, Text.substr(At / 2, Generator() % 20));
    }
    if (Text.empty())
      Text = "x";
  }
  return Text;
}

/// \param ResponseWaitMs time for a response before the sending side is closed;
/// a JSON service doesn't handle requests whose client has closed
void sendAll(unsigned short Port, const std::vector<std::string> &Texts,
             int ResponseWaitMs = 0) {
  Random Generator(Seed);
  for (int Number = 0; Number < Count; ++Number) {
    RawSocket Sender(Port);
    Sender.send(mutate(Texts[Generator() % Texts.size()], Generator));
    if (ResponseWaitMs > 0)
      Sender.waitReadable(ResponseWaitMs);
    Sender.shutdownSend();
    Sender.readAll();
  }
}

} // namespace

TEST_CASE("10,000 malformed requests leave the callers' listener working") {
  fakes::ScriptedUpstream Upstream([](RawSocket &S) {
    while (!S.readMessage().empty())
      S.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  fakes::CallerServerFixture Fixture;
  unsigned short Port = Fixture.start(Upstream.address());
  std::uint64_t Before = invariantViolations();
  sendAll(Port, Requests);
  CHECK(invariantViolations() == Before);
  RawSocket Caller(Port);
  Caller.send(Requests[0] + Requests[1]);
  CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 "));
  CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 "));
}

TEST_CASE("10,000 malformed announcements leave the listener working") {
  SystemClock Clock;
  Settings S = fakes::CallerServerFixture::makeSettings();
  fakes::FakeUpstreamPort Port;
  UpstreamServer Server(Port, S, Clock);
  Server.start();
  constexpr int ResponseWaitMs = 3;
  sendAll(Server.port(), Announcements, ResponseWaitMs);
  RawSocket Upstream(Server.port());
  Upstream.send(Announcements[0]);
  CHECK_THAT(Upstream.readMessage(), StartsWith("HTTP/1.1 200 "));
}
