#include "fakes/FakeCallerPort.h"
#include "fakes/FakePorts.h"
#include "fakes/RawSocket.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;
using fakes::RawSocket;

namespace {

const std::string Key = "Authorization: Bearer operator key\r\n";

std::string request(const std::string &Line, const std::string &Fields,
                    const std::string &Body = "") {
  return Line + " HTTP/1.1\r\nHost: vm\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

TEST_CASE("Requests of operators") {
  SystemClock Clock;
  Settings S = fakes::CallerServerFixture::makeSettings();
  S.MaxBodyBytes_ = 1000;
  fakes::FakeOperatorPort Port;
  auto Start = [&] {
    auto Server = std::make_unique<OperatorServer>(Port, S, Clock);
    Server->start();
    return Server;
  };

  SECTION("are served with the operators' key") {
    auto Server = Start();
    RawSocket Operator(Server->port());
    Operator.send(request("POST /v1/apply", Key, "{\"base\":3}") +
                  request("GET /v1/show", "X-Api-Key: operator key\r\n"));
    std::string Response = Operator.readMessage();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 202 "));
    CHECK_THAT(Response, Contains("\"body\":{\"base\":3}"));
    CHECK_THAT(Response, Contains("\"path\":\"/v1/apply\""));
    CHECK_THAT(Operator.readMessage(), Contains("\"path\":\"/v1/show\""));
  }
  SECTION("are refused in the documented format") {
    std::string Sent;
    std::string Status = "401";
    std::string Reason = "key_unknown";
    auto Expect = [&](const char *Code, const char *Name) {
      Status = Code;
      Reason = Name;
    };
    SECTION("without a key") {
      Sent = request("GET /v1/show", "");
      Reason = "key_missing";
    }
    SECTION("with a wrong key") {
      Sent = request("GET /v1/show", "X-Api-Key: operator kez\r\n");
    }
    SECTION("with a prefix of the key") {
      Sent = request("GET /v1/show", "X-Api-Key: operator\r\n");
    }
    SECTION("with any key if none is configured") {
      S.OperatorKey_ = "";
      Sent = request("GET /v1/show", Key);
    }
    SECTION("with the key in the URL") {
      Sent = request("GET /v1/show?operator_key=operator+key", Key);
      Expect("400", "bad_request");
    }
    SECTION("with parameters in the URL") {
      Sent = request("GET /v1/show?x=1", Key);
      Expect("400", "bad_request");
    }
    SECTION("on a path of another listener") {
      Sent = request("GET /tags/7", Key);
      Expect("404", "no_such_route");
    }
    SECTION("with a body that is not a JSON object") {
      Sent = request("POST /v1/apply", Key,
                     GENERATE(as<std::string>(), "{", "[1]", "7", "{\"a\":}",
                              "\"x\"", "nonsense"));
      Expect("400", "bad_request");
    }
    SECTION("with JSON nested too deeply") {
      Sent = request("POST /v1/apply", Key,
                     "{\"a\":" + std::string(400, '[') + std::string(400, ']') +
                         "}");
      Expect("400", "bad_request");
    }
    SECTION("with a body over the limit") {
      Sent = request("POST /v1/apply", Key, std::string(1001, ' '));
      Expect("413", "too_large");
    }
    SECTION("when OperatorPort throws an error") {
      Port.Fails_ = true;
      Sent = request("GET /v1/show", Key);
      Expect("500", "internal");
    }
    auto Server = Start();
    RawSocket Operator(Server->port());
    Operator.send(Sent);
    std::string Response = Operator.readMessage();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 " + Status + " "));
    CHECK_THAT(Response, Contains("{\"reason\":\"" + Reason + "\",\"ran\":"));
    CHECK_THAT(Response, !Contains("operator key"));
  }
  SECTION("for metrics and health need no key") {
    auto Server = Start();
    RawSocket Reader(Server->port());
    Reader.send(request("GET /metrics", "") + request("GET /healthz", ""));
    CHECK_THAT(Reader.readMessage(), Contains("\r\n\r\nlagoonpoint_x 1\n"));
    CHECK_THAT(Reader.readMessage(), Contains("{\"ready\":true}"));
    Port.Ready_ = false;
    Reader.send(request("GET /healthz", ""));
    std::string Response = Reader.readMessage();
    CHECK_THAT(Response, StartsWith("HTTP/1.1 503 "));
    CHECK_THAT(Response, Contains("\"why\":\"no declarations\""));
  }
}
