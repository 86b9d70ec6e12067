#include "lagoonpoint/src/Http/CallerServer.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/src/Http/util/Forwarding.h"
#include "lagoonpoint/src/Http/util/ProxyCall.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <cstdio>

namespace lagoonpoint {

namespace {

using namespace internal;

constexpr const char *LookupPath = "/v1/lookup";
/// Metrics label of calls that the listener itself refuses.
constexpr const char *NoTeam = "none";
constexpr std::size_t MaxDrainedBytes = 64 * 1024;
constexpr Duration ResponseTimeout = Duration::seconds(10);

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

bool isReserved(const std::string &Path) {
  return Path == "/v1" || Path.starts_with("/v1/");
}

Refusal badLookup(const std::string &Message) {
  return Refusal(RefusalReason::BadRequest, Ran::No, "http.lookup", Message);
}

LookupQuery parseLookup(const Call &C) {
  if (C.Method_ != "GET" && C.Method_ != "HEAD")
    throw badLookup("the method must be GET");
  LookupQuery Out;
  Out.ClientAddress_ = C.ClientAddress_;
  try {
    for (const auto &[Name, Value] : Poco::URI(C.Path_).getQueryParameters()) {
      if (Name == "service")
        Out.Service_ = ServiceId(Value);
      else if (Name == "client")
        Out.ClientAddress_ = Value;
      else
        throw badLookup("unknown parameter \"" + Name + "\"");
    }
  } catch (const Poco::Exception &) {
    throw badLookup("malformed query");
  }
  if (Out.Service_.empty())
    throw badLookup("parameter \"service\" is missing");
  return Out;
}

std::string targetJson(const LookupTarget &T) {
  char Weight[32];
  std::snprintf(Weight, sizeof(Weight), "%.6g", T.Weight_);
  return "{\"vm\":" + jsonString(T.Vm_.str()) +
         ",\"zone\":" + jsonString(T.Zone_.str()) +
         ",\"address\":" + jsonString(toString(T.Address_)) +
         ",\"weight\":" + Weight + "}";
}

std::string lookupJson(const LookupReply &Reply) {
  std::string Body = "{\"revision\":" + std::to_string(Reply.Revision_.value());
  Body += ",\"ttl_ms\":" + std::to_string(Reply.Ttl_.count());
  Body += ",\"once_prefix\":" + jsonString(Reply.OncePrefix_);
  Body += ",\"vms\":[";
  for (const LookupTarget &T : Reply.Targets_) {
    if (Body.back() != '[')
      Body += ',';
    Body += targetJson(T);
  }
  return Body + "]}\n";
}

ListenerOptions optionsOf(const Settings &S, MetricRegistry *Metrics) {
  return {S.Callers_,        S.CallerThreads_, S.MaxCallerConnections_,
          S.MaxHeaderBytes_, S.HeaderTimeout_, S.IdleTimeout_,
          S.DrainLimit_,     "callers",        Metrics};
}

void logFailure(const Call &C, const std::exception &E) {
  LogLine Line;
  Line.Level_ = LogLevel::Error;
  Line.Step_ = "http.call";
  Line.Message_ = E.what();
  Line.Request_ = C.Request_;
  log(Line);
}

} // namespace

struct CallerServer::Impl {
  Impl(CallerPort &Port, const Settings &S, const Clock &C,
       MetricRegistry *Metrics, Dialect D)
      : Port_(Port), Settings_(S), Clock_(C), Metrics_(Metrics),
        Dialect_(std::move(D)), Pool_(C, S.UpstreamIdleTimeout_),
        Slots_(S.CallerThreads_),
        Listener_(
            optionsOf(S, Metrics), C,
            [this](Connection &Conn, RequestHead &Head) {
              return serve(Conn, Head);
            },
            [this](Connection &Conn, const Refusal &R) {
              countRefusal(R);
              writeResponse(Conn.Socket_,
                            refusalResponse(R, makeRequestId(), Dialect_),
                            {.KeepAlive_ = false}, responseDeadline());
            }) {}

  bool serve(Connection &Conn, RequestHead &Head);
  bool dispatch(Connection &Conn, RequestHead &Head, BodyReader &Body, Call &C);
  bool lookup(Connection &Conn, RequestHead &Head, const Call &C);
  bool forward(Connection &Conn, RequestHead &Head, BodyReader &Body, Call &C);
  bool refuse(Connection &Conn, const RequestHead &Head, BodyReader &Body,
              const Refusal &R, const RequestId &Id);
  bool drainBody(BodyReader &Body);
  void countRefusal(const Refusal &R);
  bool mayKeepAlive(const RequestHead &Head) {
    return Head.KeepAlive_ && !Port_.draining() && !Listener_.stopping();
  }
  Deadline responseDeadline() const {
    return Deadline(Clock_, Clock_.now() + ResponseTimeout);
  }

  CallerPort &Port_;
  const Settings &Settings_;
  const Clock &Clock_;
  MetricRegistry *Metrics_;
  Dialect Dialect_;
  UpstreamPool Pool_;
  CallSlots Slots_;
  Listener Listener_;
};

bool CallerServer::Impl::serve(Connection &Conn, RequestHead &Head) {
  BodyReader Body(Conn.Socket_, Head.Body_);
  Call C;
  try {
    C = readCall(Head, Settings_, Dialect_, Conn.ClientAddress_,
                 Conn.ArrivedAt_);
    return dispatch(Conn, Head, Body, C);
  } catch (const Refusal &R) {
    return refuse(Conn, Head, Body, R, C.Request_);
  }
}

bool CallerServer::Impl::dispatch(Connection &Conn, RequestHead &Head,
                                  BodyReader &Body, Call &C) {
  std::string Path = pathOf(C.Path_);
  if (!Dialect_.NativeInterface_ || !isReserved(Path))
    return forward(Conn, Head, Body, C);
  if (Path != LookupPath)
    throw Refusal(RefusalReason::NoSuchRoute, Ran::No, "http.call",
                  "below /v1/, only /v1/lookup is available to callers");
  if (Head.Body_.Kind_ != FramingKind::None)
    throw badLookup("a lookup must not have a body");
  return lookup(Conn, Head, C);
}

bool CallerServer::Impl::lookup(Connection &Conn, RequestHead &Head,
                                const Call &C) {
  HttpResponse Out =
      jsonResponse(200, lookupJson(Port_.lookup(parseLookup(C))));
  ResponseOptions Options{mayKeepAlive(Head), C.Method_ == "HEAD"};
  return writeResponse(Conn.Socket_, Out, Options, responseDeadline()) &&
         Options.KeepAlive_;
}

bool CallerServer::Impl::forward(Connection &Conn, RequestHead &Head,
                                 BodyReader &Body, Call &C) {
  CallSlots::Slot Slot(Slots_);
  ProxyContext Context{Port_, Settings_, Clock_, Dialect_, Pool_, Listener_};
  ProxyCall Proxy(Context, Conn, Head, Body, C, Slot);
  // Only the proxy knows whether a try has sent the request, so a refusal or an
  // exception may report Ran::No although one has.
  auto CombinedRan = [&](Ran ReportedRan) {
    return Proxy.mayHaveRun() ? Ran::Unknown : ReportedRan;
  };
  try {
    return Proxy.run();
  } catch (const Refusal &R) {
    if (!Proxy.responseStarted())
      throw Refusal(R.reason(), CombinedRan(R.ran()), R.step(), R.message(),
                    R.retryAfter());
    logFailure(C, R);
  } catch (const std::exception &E) {
    logFailure(C, E);
    if (!Proxy.responseStarted())
      throw Refusal(RefusalReason::Internal, CombinedRan(Ran::No), "http.call",
                    "internal error, see this VM's log");
  }
  Conn.Socket_.reset();
  return false;
}

bool CallerServer::Impl::refuse(Connection &Conn, const RequestHead &Head,
                                BodyReader &Body, const Refusal &R,
                                const RequestId &Id) {
  countRefusal(R);
  bool Malformed = R.reason() == RefusalReason::BadRequest;
  bool KeepAlive = mayKeepAlive(Head) && !Malformed && drainBody(Body);
  ResponseOptions Options{KeepAlive, Head.Request_.getMethod() == "HEAD"};
  RequestId ResponseId = Id.empty() ? makeRequestId() : Id;
  return writeResponse(Conn.Socket_, refusalResponse(R, ResponseId, Dialect_),
                       Options, responseDeadline()) &&
         KeepAlive;
}

// The port counts its own refusals and those that follow a failed try.
void CallerServer::Impl::countRefusal(const Refusal &R) {
  bool IsListenerRefusal =
      R.step().starts_with("http.") && R.step() != FailedTryStep;
  if (Metrics_ && IsListenerRefusal)
    Metrics_->add(Metric::Refusals,
                  {NoTeam, toString(R.reason()), toString(R.ran())});
}

// Discards what has arrived of a refused request's body. Returns false if that
// is not the whole body.
bool CallerServer::Impl::drainBody(BodyReader &Body) {
  std::size_t Bytes = 0;
  Deadline NoWait(Clock_, Clock_.now());
  while (Bytes <= MaxDrainedBytes) {
    std::string_view Data;
    BodyStatus Status = Body.next(Data, NoWait);
    if (Status != BodyStatus::Data)
      return Status == BodyStatus::Complete;
    Bytes += Data.size();
  }
  return false;
}

CallerServer::CallerServer(CallerPort &Port, const Settings &S, const Clock &C,
                           MetricRegistry *Metrics, Dialect D)
    : Impl_(std::make_unique<Impl>(Port, S, C, Metrics, std::move(D))) {}

CallerServer::~CallerServer() = default;

void CallerServer::start() { Impl_->Listener_.start(); }
void CallerServer::stop() { Impl_->Listener_.stop(); }
void CallerServer::stop(Duration DrainLimit) {
  Impl_->Listener_.stop(DrainLimit);
}
unsigned short CallerServer::port() const { return Impl_->Listener_.port(); }

} // namespace lagoonpoint
