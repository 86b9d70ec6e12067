#include "lagoonpoint/src/Http/UpstreamServer.h"

#include "lagoonpoint/src/Http/util/JsonService.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

constexpr const char *AnnouncePath = "/v1/announce";
constexpr unsigned MaxSlots = 100'000;
constexpr unsigned MaxUpstreamConnections = 1'000'000;
constexpr unsigned MaxPort = 65535;
constexpr std::size_t MaxIdBytes = 128;

using Object = Poco::JSON::Object;

Refusal badField(const std::string &Field, const std::string &Message) {
  return Refusal(RefusalReason::BadRequest, Ran::No, "http.announce",
                 "\"" + Field + "\" " + Message);
}

bool isIdByte(char C) {
  return std::isalnum(static_cast<unsigned char>(C)) || C == '-' || C == '_' ||
         C == '.' || C == ':';
}

std::string idField(const Object &Body, const std::string &Name) {
  Poco::Dynamic::Var Value = Body.get(Name);
  if (!Value.isString())
    throw badField(Name, "must be a string");
  std::string Text = Value.extract<std::string>();
  if (Text.empty() || Text.size() > MaxIdBytes ||
      !std::all_of(Text.begin(), Text.end(), isIdByte))
    throw badField(Name, "must be 1 to 128 letters, digits or -_.:");
  return Text;
}

unsigned numberField(const Object &Body, const std::string &Name, unsigned Min,
                     unsigned Max) {
  Poco::Dynamic::Var Value = Body.get(Name);
  if (!Value.isInteger())
    throw badField(Name, "must be an integer");
  Poco::Int64 Number = Value.convert<Poco::Int64>();
  if (Number < Min || Number > Max)
    throw badField(Name, "must be " + std::to_string(Min) + " to " +
                             std::to_string(Max));
  return static_cast<unsigned>(Number);
}

std::string hostField(const Object &Body, const std::string &Name) {
  std::string Text = idField(Body, Name);
  Poco::Net::IPAddress Parsed;
  if (!Poco::Net::IPAddress::tryParse(Text, Parsed) || Parsed.isWildcard())
    throw badField(Name, "must be an IP address");
  return Text;
}

bool boolField(const Object &Body, const std::string &Name) {
  if (!Body.has(Name))
    return false;
  Poco::Dynamic::Var Value = Body.get(Name);
  if (!Value.isBoolean())
    throw badField(Name, "must be true or false");
  return Value.extract<bool>();
}

void readLoad(const Object &Body, Announcement &Out) {
  if (!Body.has("load"))
    return;
  Poco::Dynamic::Var Value = Body.get("load");
  if (!Value.isNumeric())
    throw badField("load", "must be a number");
  Out.Load_ = Value.convert<double>();
  if (!std::isfinite(Out.Load_) || Out.Load_ < 0 || Out.Load_ > 1)
    throw badField("load", "must be 0 to 1");
  Out.LoadReported_ = true;
}

Announcement parseAnnouncement(const Object &Body) {
  Announcement Out;
  Out.Service_ = ServiceId(idField(Body, "service"));
  Out.Upstream_ = UpstreamId(idField(Body, "upstream"));
  Out.Address_.Host_ = hostField(Body, "host");
  Out.Address_.Port_ =
      static_cast<unsigned short>(numberField(Body, "port", 1, MaxPort));
  Out.Slots_ = numberField(Body, "slots", 1, MaxSlots);
  Out.Connections_ =
      numberField(Body, "connections", 1, MaxUpstreamConnections);
  readLoad(Body, Out);
  Out.Leaving_ = boolField(Body, "leaving");
  return Out;
}

internal::HttpResponse announceResponse(const AnnounceReply &Reply) {
  return internal::jsonResponse(
      200, "{\"lease_ms\":" + std::to_string(Reply.Lease_.count()) +
               ",\"renew_every_ms\":" +
               std::to_string(Reply.RenewEvery_.count()) + "}\n");
}

internal::HttpResponse handle(UpstreamPort &Port,
                              const internal::BufferedRequest &Request) {
  if (Request.Path_ != AnnouncePath)
    throw Refusal(RefusalReason::NoSuchRoute, Ran::No, "http.announce",
                  "the upstreams' listener serves POST /v1/announce only");
  if (Request.Method_ != "POST")
    throw Refusal(RefusalReason::BadRequest, Ran::No, "http.announce",
                  "the method must be POST");
  if (Request.Key_.empty())
    throw Refusal(RefusalReason::KeyMissing, Ran::No, "http.announce",
                  "the service's key is missing");
  Object::Ptr Body = internal::parseObject(Request.Body_);
  if (!Body)
    throw Refusal(RefusalReason::BadRequest, Ran::No, "http.announce",
                  "the body is missing");
  return announceResponse(
      Port.announce(parseAnnouncement(*Body), Request.Key_));
}

} // namespace

struct UpstreamServer::Impl {
  Impl(UpstreamPort &Port, const Settings &S, const Clock &C,
       MetricRegistry *Metrics)
      : Service_(S.Upstreams_, S, C, "upstreams", Metrics,
                 [&Port](const internal::BufferedRequest &Request) {
                   return handle(Port, Request);
                 }) {}

  internal::JsonService Service_;
};

UpstreamServer::UpstreamServer(UpstreamPort &Port, const Settings &S,
                               const Clock &C, MetricRegistry *Metrics)
    : Impl_(std::make_unique<Impl>(Port, S, C, Metrics)) {}

UpstreamServer::~UpstreamServer() = default;

void UpstreamServer::start() { Impl_->Service_.start(); }
void UpstreamServer::stop() { Impl_->Service_.stop(); }
unsigned short UpstreamServer::port() const { return Impl_->Service_.port(); }

} // namespace lagoonpoint
