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
constexpr const char *NoTeam = "none"; ///< label of calls refused unseen
constexpr std::size_t MaxDrainedBytes = 64 * 1024;
constexpr Duration AnswerLimit = Duration::seconds(10);

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

bool isReserved(const std::string &Path) {
  return Path == "/v1" || Path.starts_with("/v1/");
}

Refusal badLookup(const std::string &Message) {
  return Refusal(RefusalReason::BadRequest, Ran::No, "http.lookup", Message);
}

LookupQuery readLookup(const Call &C) {
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
         ",\"address\":" + jsonString(toString(T.Callers_)) +
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
        Dialect_(std::move(D)), Pool_(C, S.UpstreamIdle_),
        Slots_(S.CallerThreads_),
        Listener_(
            optionsOf(S, Metrics), C,
            [this](Connection &Conn, RequestHead &Head) {
              return serve(Conn, Head);
            },
            [this](Connection &Conn, const Refusal &R) {
              countOwn(R);
              writeAnswer(Conn.Wire_,
                          refusalAnswer(R, makeRequestId(), Dialect_),
                          {.KeepAlive_ = false}, answerLimit());
            }) {}

  bool serve(Connection &Conn, RequestHead &Head);
  bool answer(Connection &Conn, RequestHead &Head, BodyReader &Body, Call &C);
  bool lookup(Connection &Conn, RequestHead &Head, const Call &C);
  bool pass(Connection &Conn, RequestHead &Head, BodyReader &Body, Call &C);
  bool refuse(Connection &Conn, const RequestHead &Head, BodyReader &Body,
              const Refusal &R, const RequestId &Id);
  bool drained(BodyReader &Body);
  void countOwn(const Refusal &R);
  bool stayOpen(const RequestHead &Head) {
    return Head.KeepAlive_ && !Port_.draining() && !Listener_.stopping();
  }
  Until answerLimit() const {
    return Until(Clock_, Clock_.now() + AnswerLimit);
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
  BodyReader Body(Conn.Wire_, Head.Body_);
  Call C;
  try {
    C = readCall(Head, Settings_, Dialect_, Conn.ClientAddress_, Conn.Arrived_);
    return answer(Conn, Head, Body, C);
  } catch (const Refusal &R) {
    return refuse(Conn, Head, Body, R, C.Request_);
  }
}

bool CallerServer::Impl::answer(Connection &Conn, RequestHead &Head,
                                BodyReader &Body, Call &C) {
  std::string Path = pathOf(C.Path_);
  if (!Dialect_.OwnPaths_ || !isReserved(Path))
    return pass(Conn, Head, Body, C);
  if (Path != LookupPath)
    throw Refusal(RefusalReason::NoSuchRoute, Ran::No, "http.call",
                  "callers can use /v1/lookup only, of what is below /v1/");
  if (Head.Body_.Kind_ != FramingKind::None)
    throw badLookup("a look-up has no body");
  return lookup(Conn, Head, C);
}

bool CallerServer::Impl::lookup(Connection &Conn, RequestHead &Head,
                                const Call &C) {
  Answer Out = jsonAnswer(200, lookupJson(Port_.lookup(readLookup(C))));
  AnswerStyle Style{stayOpen(Head), C.Method_ == "HEAD"};
  return writeAnswer(Conn.Wire_, Out, Style, answerLimit()) && Style.KeepAlive_;
}

bool CallerServer::Impl::pass(Connection &Conn, RequestHead &Head,
                              BodyReader &Body, Call &C) {
  CallSlots::Held Slot(Slots_);
  ProxyContext Context{Port_, Settings_, Clock_, Dialect_, Pool_, Listener_};
  ProxyCall Passed(Context, Conn, Head, Body, C, Slot);
  // Neither the port nor an error knows what this call's tries have sent.
  auto Truth = [&](Ran Said) {
    return Passed.mayHaveRun() ? Ran::Unknown : Said;
  };
  try {
    return Passed.run();
  } catch (const Refusal &R) {
    if (!Passed.answerBegun())
      throw Refusal(R.reason(), Truth(R.ran()), R.step(), R.message(),
                    R.retryAfter());
    logFailure(C, R);
  } catch (const std::exception &E) {
    logFailure(C, E);
    if (!Passed.answerBegun())
      throw Refusal(RefusalReason::Internal, Truth(Ran::No), "http.call",
                    "internal error, see this VM's log");
  }
  Conn.Wire_.reset();
  return false;
}

bool CallerServer::Impl::refuse(Connection &Conn, const RequestHead &Head,
                                BodyReader &Body, const Refusal &R,
                                const RequestId &Id) {
  countOwn(R);
  bool Malformed = R.reason() == RefusalReason::BadRequest;
  bool KeepAlive = stayOpen(Head) && !Malformed && drained(Body);
  AnswerStyle Style{KeepAlive, Head.Request_.getMethod() == "HEAD"};
  RequestId Shown = Id.empty() ? makeRequestId() : Id;
  return writeAnswer(Conn.Wire_, refusalAnswer(R, Shown, Dialect_), Style,
                     answerLimit()) &&
         KeepAlive;
}

// The port counts its own refusals, and those that follow a failed try.
void CallerServer::Impl::countOwn(const Refusal &R) {
  bool Own = R.step().starts_with("http.") && R.step() != FailedTryStep;
  if (Metrics_ && Own)
    Metrics_->add(Metric::Refusals,
                  {NoTeam, toString(R.reason()), toString(R.ran())});
}

// Drops what has arrived of a refused request's body; false if that isn't all.
bool CallerServer::Impl::drained(BodyReader &Body) {
  std::size_t Bytes = 0;
  Until Now(Clock_, Clock_.now());
  while (Bytes <= MaxDrainedBytes) {
    std::string_view Piece;
    BodyEnd End = Body.next(Piece, Now);
    if (End != BodyEnd::Piece)
      return End == BodyEnd::Whole;
    Bytes += Piece.size();
  }
  return false;
}

CallerServer::CallerServer(CallerPort &Port, const Settings &S, const Clock &C,
                           MetricRegistry *Metrics, Dialect D)
    : Impl_(std::make_unique<Impl>(Port, S, C, Metrics, std::move(D))) {}

CallerServer::~CallerServer() = default;

void CallerServer::start() { Impl_->Listener_.start(); }
void CallerServer::stop() { Impl_->Listener_.stop(); }
unsigned short CallerServer::port() const { return Impl_->Listener_.port(); }

} // namespace lagoonpoint
