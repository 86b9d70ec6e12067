#include "lagoonpoint/src/Http/util/JsonService.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/src/Http/util/BodyReader.h"
#include "lagoonpoint/src/Http/util/PathCheck.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/SHA2Engine.h>
#include <Poco/String.h>

namespace lagoonpoint::internal {

namespace {

/// A control request or an upstream's departure occupies its thread until it is
/// confirmed, for up to a second. Threads are started on demand.
constexpr unsigned MaxThreads = 64;
constexpr unsigned MaxConnections = 1000;
constexpr int MaxJsonDepth = 16;
constexpr Duration ResponseTimeout = Duration::seconds(10);

Refusal badRequest(const std::string &Message) {
  return Refusal(RefusalReason::BadRequest, Ran::No, "http.request", Message);
}

ListenerOptions optionsOf(const Address &Listen, const Settings &S,
                          const char *Name, MetricRegistry *Metrics) {
  return {Listen,           MaxThreads,     MaxConnections, S.MaxHeaderBytes_,
          S.HeaderTimeout_, S.IdleTimeout_, S.DrainLimit_,  Name,
          Metrics};
}

std::string bearerOf(const std::string &Value) {
  constexpr std::size_t SchemeLength = 7;
  if (Poco::icompare(Value.substr(0, SchemeLength), "Bearer ") != 0)
    throw badRequest("Authorization must be \"Bearer KEY\"");
  return Poco::trim(Value.substr(SchemeLength));
}

void setKey(std::string &Key, const std::string &NewKey) {
  if (NewKey.empty())
    throw badRequest("empty key");
  if (!Key.empty() && Key != NewKey)
    throw badRequest("two different keys were sent");
  Key = NewKey;
}

} // namespace

std::string readKey(const Poco::Net::HTTPRequest &Request) {
  if (queryHoldsKey(Request.getURI()))
    throw badRequest("keys must be sent in header fields, not in the URL");
  std::string Key;
  for (const auto &[Name, Value] : Request) {
    if (Poco::icompare(Name, "Authorization") == 0)
      setKey(Key, bearerOf(Value));
    if (Poco::icompare(Name, "X-Api-Key") == 0)
      setKey(Key, Poco::trim(Value));
  }
  return Key;
}

bool equalInConstantTime(const std::string &A, const std::string &B) {
  // Digests always have the same length, so the comparison does not reveal
  // whether the texts differ in length.
  Poco::SHA2Engine First;
  Poco::SHA2Engine Second;
  First.update(A);
  Second.update(B);
  return Poco::DigestEngine::constantTimeEquals(First.digest(),
                                                Second.digest());
}

Poco::JSON::Object::Ptr parseObject(const std::string &Body) {
  if (Body.empty())
    return {};
  try {
    Poco::JSON::Parser Parser;
    Parser.setDepth(MaxJsonDepth);
    return Parser.parse(Body).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    throw badRequest("body is not a JSON object");
  }
}

JsonService::JsonService(const Address &Listen, const Settings &S,
                         const Clock &C, const char *Name,
                         MetricRegistry *Metrics, Handler OnRequest)
    : Settings_(S), Clock_(C), Handler_(std::move(OnRequest)),
      Listener_(
          optionsOf(Listen, S, Name, Metrics), C,
          [this](Connection &Conn, RequestHead &Head) {
            return serve(Conn, Head);
          },
          [this](Connection &Conn, const Refusal &R) {
            writeResponse(Conn.Socket_, refusalResponse(R, makeRequestId()),
                          {.KeepAlive_ = false},
                          Deadline(Clock_, Clock_.now() + ResponseTimeout));
          }) {}

bool JsonService::serve(Connection &C, RequestHead &Head) {
  BufferedRequest Request;
  Request.Id_ = makeRequestId();
  Request.Method_ = Head.Request_.getMethod();
  const std::string &Target = Head.Request_.getURI();
  std::size_t Mark = std::min(Target.find('?'), Target.size());
  Request.Path_ = Target.substr(0, Mark);
  Request.Query_ = Target.substr(std::min(Mark + 1, Target.size()));
  bool KeepAlive = Head.KeepAlive_ && !Listener_.stopping();
  HttpResponse Out;
  try {
    Request.Body_ = readBody(C, Head);
    Request.Key_ = readKey(Head.Request_);
    Request.ClientLeft_ = [&C] { return C.Socket_.peerClosed(); };
    if (Request.ClientLeft_()) {
      log({.Level_ = LogLevel::Warning,
           .Step_ = "http.abandoned",
           .Message_ = "client left before its request was handled: " +
                       Request.Method_ + " " + Target,
           .Peer_ = C.ClientAddress_});
      return false;
    }
    Out = handle(Request);
  } catch (const Refusal &R) {
    Out = refusalResponse(R, Request.Id_);
    KeepAlive = false;
  }
  Deadline Limit(Clock_, Clock_.now() + ResponseTimeout);
  ResponseOptions Options{KeepAlive, Request.Method_ == "HEAD"};
  return writeResponse(C.Socket_, Out, Options, Limit) && KeepAlive;
}

HttpResponse JsonService::handle(const BufferedRequest &Request) const {
  try {
    return Handler_(Request);
  } catch (const Refusal &R) {
    return refusalResponse(R, Request.Id_);
  } catch (const std::exception &E) {
    logError(Error("http.handle", Request.Id_.str(), E.what()));
    return refusalResponse(
        Refusal(RefusalReason::Internal, Ran::Unknown, "http.handle", E.what()),
        Request.Id_);
  }
}

std::string JsonService::readBody(Connection &C, const RequestHead &Head) {
  Deadline Limit(Clock_, C.ArrivedAt_ + Settings_.BodyTimeout_);
  if (Head.Body_.Length_ > static_cast<std::int64_t>(Settings_.MaxBodyBytes_))
    throw Refusal(RefusalReason::TooLarge, Ran::No, "http.body",
                  "body is longer than the limit");
  if (Head.ExpectContinue_) {
    std::int64_t Written = 0;
    C.Socket_.write("HTTP/1.1 100 Continue\r\n\r\n", Limit, Written);
  }
  BodyReader Reader(C.Socket_, Head.Body_);
  std::string Body;
  for (;;) {
    std::string_view Data;
    BodyStatus Status = Reader.next(Data, Limit);
    if (Status == BodyStatus::Complete)
      return Body;
    if (Status != BodyStatus::Data)
      throw badRequest("request body is truncated, late or malformed");
    if (Body.size() + Data.size() > Settings_.MaxBodyBytes_)
      throw Refusal(RefusalReason::TooLarge, Ran::No, "http.body",
                    "body is longer than the limit");
    Body += Data;
  }
}

} // namespace lagoonpoint::internal
