// Guards against header fields that are checked in one form and sent in
// another: a caller that writes line breaks as an encoded word (RFC 2047) could
// add fields and whole requests to what upstreams receive.
#include "fakes/FakeCallerPort.h"
#include "fakes/ScriptedUpstream.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
using fakes::RawSocket;
using fakes::ScriptedUpstream;

namespace {

const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string Get = "GET /tags/7 HTTP/1.1\r\nHost: vm\r\n";
const std::string EncodedLineBreaks =
    "=?utf-8?Q?=0D=0AX-Team:_other=0D=0A=0D=0APOST_/tags?=";

} // namespace

TEST_CASE(
    "A header value that is an encoded word is passed on as it was sent") {
  std::string Value = GENERATE(
      as<std::string>(), EncodedLineBreaks, "=?iso-8859-1?Q?K=E4esik?=",
      "=?UTF-8?B?DQpYLVRlYW06IG90aGVyDQo=?=", "a =?utf-8?Q?b?= c",
      "=?bad?=", "\xc3\xa4 \xff", "\"quoted, =?utf-8?Q?x?=\"",
      std::string(7000, 'v'));
  std::string Line = "X-Note: " + Value + "\r\n";
  std::string Response = Ok;
  ScriptedUpstream Upstream([&](RawSocket &S) {
    while (!Upstream.receive(S).empty())
      S.send(Response);
  });
  fakes::CallerServerFixture Fixture;
  Fixture.Dialect_.Team_ = "X-Team";
  RawSocket Caller(Fixture.start(Upstream.address()));

  SECTION("from a caller to the upstream") {
    Caller.send(Get + "X-Api-Key: rangers.s\r\n" + Line + "\r\n");
    CHECK_THAT(Caller.readMessage(), StartsWith("HTTP/1.1 200 "));
    CHECK(Upstream.requests() == 1);
    std::string Received = Upstream.receivedBytes();
    CHECK_THAT(Received, Contains("\r\n" + Line));
    CHECK_THAT(Received, Contains("\r\nX-Team: rangers\r\n"));
    CHECK_THAT(Received, !Contains("X-Team: other"));
  }
  SECTION("from the upstream to the caller") {
    Response = "HTTP/1.1 200 OK\r\n" + Line + "Content-Length: 2\r\n\r\nok";
    Caller.send(Get + "\r\n");
    std::string Received = Caller.readMessage();
    CHECK_THAT(Received, Contains("\r\n" + Line));
    CHECK_THAT(Received, Catch::Matchers::EndsWith("\r\n\r\nok"));
  }
}

TEST_CASE("A field that this VM adds can't change a message's framing") {
  // Guards against ids that reach a head by another way than a parsed head.
  ScriptedUpstream Upstream([&](RawSocket &S) {
    while (!Upstream.receive(S).empty())
      S.send(Ok);
  });
  fakes::CallerServerFixture Fixture;
  Fixture.Dialect_.Target_ = "X-Target";
  Fixture.Port_.Targets_ = {
      {UpstreamId("u1\r\nX-Team: other"), VmId(), Upstream.address()}};
  RawSocket Caller(Fixture.start());
  Caller.send(Get + "\r\n");
  std::string Response = Caller.readMessage();
  CHECK_THAT(Response, StartsWith("HTTP/1.1 500 "));
  CHECK_THAT(Response, Contains("\"ran\":\"no\""));
  CHECK(Upstream.requests() == 0);
}
