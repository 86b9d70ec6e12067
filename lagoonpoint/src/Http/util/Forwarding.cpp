#include "lagoonpoint/src/Http/util/Forwarding.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/src/Http/util/Fields.h"
#include "lagoonpoint/src/Http/util/Hop.h"
#include "lagoonpoint/src/Http/util/JsonService.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <initializer_list>
#include <string_view>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t MaxIdempotencyKeyBytes = 256;
constexpr std::size_t MaxDeadlineDigits = 9;
constexpr const char *OwnFieldPrefix = "x-lagoonpoint-";
constexpr std::size_t MaxLoggedValue = 40; ///< characters
constexpr int ServiceUnavailable = 503;
/// Bounds the time for which an upstream may keep a VM away by one response.
constexpr Duration MaxPause = Duration::seconds(3600);
/// A machine that is a hundred times slower than usual would be out of service;
/// a higher figure is a fault of the upstream's.
constexpr double MaxPacePercent = 10'000;

Refusal badRequest(const std::string &Message) {
  return Refusal(RefusalReason::BadRequest, Ran::No, "http.call", Message);
}

bool equals(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(), [](char X, char Y) {
           return Poco::Ascii::toLower(X) == Poco::Ascii::toLower(Y);
         });
}

bool isOneOf(std::string_view Name,
             std::initializer_list<std::string_view> Names) {
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Other) {
    return equals(Name, Other);
  });
}

bool isHopByHop(std::string_view Name) {
  return isOneOf(Name, {"Connection", "Proxy-Connection", "Keep-Alive",
                        "Transfer-Encoding", "Content-Length", "TE", "Trailer",
                        "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
                        "HTTP2-Settings"});
}

// Fields that this VM reads or writes itself.
bool isOwnField(std::string_view Name, const Dialect &D) {
  return isOneOf(Name, {"Authorization", "Expect", D.Key_, D.RequestId_,
                        D.Deadline_, D.NotRun_, D.Target_, D.Team_}) ||
         equals(Name.substr(0, std::string_view(OwnFieldPrefix).size()),
                OwnFieldPrefix);
}

std::ptrdiff_t countFields(const Poco::Net::MessageHeader &H,
                           const std::string &Wanted) {
  return std::count_if(H.begin(), H.end(), [&](const auto &Field) {
    return equals(Field.first, Wanted);
  });
}

/// \returns a decimal number that is not negative, or none for other text.
std::optional<double> parseNumber(const std::string &Text) {
  double Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Error] =
      std::from_chars(Text.data(), End, Number, std::chars_format::fixed);
  bool IsNumber = Error == std::errc() && Rest == End;
  if (!IsNumber || !std::isfinite(Number) || Number < 0)
    return {};
  return Number;
}

/// \returns the number in a field of an upstream's response. A malformed or
/// repeated field is logged and counts as absent.
/// \param Field name; empty: not read
std::optional<double> readNumber(const Poco::Net::HTTPResponse &Response,
                                 const std::string &Field,
                                 const UpstreamId &From) {
  if (Field.empty() || !Response.has(Field))
    return {};
  const std::string &Text = Response.get(Field);
  bool Repeated = countFields(Response, Field) > 1;
  std::optional<double> Number = Repeated ? std::nullopt : parseNumber(Text);
  if (!Number)
    log({.Level_ = LogLevel::Warning,
         .Step_ = "upstream.statement",
         .Message_ =
             Field + (Repeated ? " is repeated"
                               : " is not a number: \"" +
                                     Text.substr(0, MaxLoggedValue) + "\""),
         .Peer_ = From.str()});
  return Number;
}

/// \returns the pace in the rest of a load field, which begins after the third
/// figure. Figures that may follow the pace are ignored.
std::optional<unsigned> readPace(std::string_view Rest) {
  if (!Rest.starts_with(','))
    return {};
  Rest.remove_prefix(1);
  std::string Figure(Rest.substr(0, Rest.find(',')));
  std::optional<double> Pace = parseNumber(Poco::trim(Figure));
  if (!Pace || *Pace > MaxPacePercent)
    return {};
  auto Percent = static_cast<unsigned>(std::lround(*Pace));
  return Percent == 0 ? std::nullopt : std::optional(Percent);
}

std::vector<std::string> connectionTokens(const Poco::Net::MessageHeader &H) {
  std::vector<std::string> Tokens;
  for (const auto &[Name, Value] : H)
    if (equals(Name, "Connection"))
      Poco::Net::MessageHeader::splitElements(Value, Tokens);
  return Tokens;
}

bool containsField(const std::vector<std::string> &Tokens,
                   const std::string &Name) {
  return std::any_of(Tokens.begin(), Tokens.end(),
                     [&](const std::string &T) { return equals(T, Name); });
}

// Returns the field's only value, empty if the field is absent. Refuses a
// repeated or empty field.
std::string singleField(const Poco::Net::HTTPRequest &Request,
                        const std::string &Name) {
  auto It = Request.find(Name);
  if (It == Request.end())
    return "";
  std::string Value = Poco::trim(It->second);
  ++It;
  if (It != Request.end() && equals(It->first, Name))
    throw badRequest(Name + " is repeated");
  if (Value.empty())
    throw badRequest(Name + " is empty");
  return Value;
}

std::optional<Duration> readDeadline(const Poco::Net::HTTPRequest &Request,
                                     const Dialect &D) {
  std::string Text = singleField(Request, D.Deadline_);
  if (Text.empty())
    return {};
  if (Text.size() > MaxDeadlineDigits ||
      !std::all_of(Text.begin(), Text.end(), Poco::Ascii::isDigit))
    throw badRequest(D.Deadline_ +
                     " must be an integer number of milliseconds");
  return Duration(std::stoll(Text));
}

void checkKeyNotRepeated(const Poco::Net::HTTPRequest &Request,
                         const std::string &Key, const Dialect &D) {
  if (Key.empty())
    return;
  for (const auto &[Name, Value] : Request)
    if (!isOwnField(Name, D) && Value.find(Key) != std::string::npos)
      throw badRequest("the key is repeated in " + Name);
  if (Request.getURI().find(Key) != std::string::npos)
    throw badRequest("the key is repeated in the URL");
}

void readHop(const Poco::Net::HTTPRequest &Request, const Settings &S,
             Call &Out) {
  std::string Hop = singleField(Request, HopField);
  if (Hop.empty())
    return;
  RequestId Generated = Out.Request_;
  Out.Request_ = RequestId(singleField(Request, "X-Request-Id"));
  if (verifyHop(S, Hop, Out))
    return;
  Out.Request_ = Generated;
  throw badRequest(std::string(HopField) + " is not authentic");
}

std::string framingField(const Framing &Body) {
  switch (Body.Kind_) {
  case FramingKind::Length:
    return "Content-Length: " + std::to_string(Body.Length_) + "\r\n";
  case FramingKind::Chunked:
    return "Transfer-Encoding: chunked\r\n";
  case FramingKind::None:
  case FramingKind::UntilClose:
    break;
  }
  return "";
}

} // namespace

Call readCall(const RequestHead &Head, const Settings &S, const Dialect &D,
              const std::string &ClientAddress, Time Arrived) {
  const Poco::Net::HTTPRequest &Request = Head.Request_;
  Call Out;
  Out.Request_ = D.CallerSetsRequestId_
                     ? RequestId(singleField(Request, D.RequestId_))
                     : makeRequestId();
  Out.Method_ = Request.getMethod();
  Out.Path_ = Request.getURI();
  Out.Host_ = Request.get("Host", "");
  Out.ClientAddress_ = ClientAddress;
  Out.ArrivedAt_ = Arrived;
  Out.Key_ =
      D.NativeInterface_ ? readKey(Request) : singleField(Request, D.Key_);
  if (!D.IdempotencyKey_.empty())
    Out.IdempotencyKey_ = singleField(Request, D.IdempotencyKey_);
  if (Out.IdempotencyKey_.size() > MaxIdempotencyKeyBytes)
    throw badRequest(D.IdempotencyKey_ + " is too long");
  if (!D.Affinity_.empty())
    Out.Object_ = Request.get(D.Affinity_, "");
  Out.Deadline_ = readDeadline(Request, D);
  checkKeyNotRepeated(Request, Out.Key_, D);
  if (D.NativeInterface_)
    readHop(Request, S, Out);
  return Out;
}

std::string forwardedHead(const RequestHead &Head, const Call &C,
                          const CallTarget &To, const Settings &S,
                          const Dialect &D, const Framing &Body,
                          Duration Remaining) {
  std::vector<std::string> ConnectionFields = connectionTokens(Head.Request_);
  std::string Text = C.Method_ + " " + C.Path_ + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Head.Request_)
    if (!isHopByHop(Name) && !isOwnField(Name, D) &&
        !containsField(ConnectionFields, Name))
      appendField(Text, Name, Value);
  if (!Head.Request_.has("Host"))
    appendField(Text, "Host", toString(To.Address_));
  if (!C.Request_.empty())
    appendField(Text, D.RequestId_, C.Request_.str());
  appendField(Text, D.Deadline_, std::to_string(Remaining.count()));
  if (!D.Target_.empty())
    appendField(Text, D.Target_, To.Upstream_.str());
  if (!D.Team_.empty() && !C.Team_.empty())
    appendField(Text, D.Team_, C.Team_.str());
  if (!To.Vm_.empty()) {
    // The home VM checks the key itself. Upstreams never receive it.
    if (!C.Key_.empty())
      appendField(Text, D.Key_, C.Key_);
    appendField(Text, HopField, makeHop(S, C));
  }
  return Text + framingField(Body) + "\r\n";
}

HeaderFields responseFields(const Poco::Net::HTTPResponse &Response,
                            const RequestId &Request, const Dialect &D) {
  std::vector<std::string> ConnectionFields = connectionTokens(Response);
  HeaderFields Out;
  for (const auto &[Name, Value] : Response)
    if (!isHopByHop(Name) && !isOwnField(Name, D) &&
        !containsField(ConnectionFields, Name))
      Out.emplace_back(Name, Value);
  Out.emplace_back(D.RequestId_, Request.str());
  return Out;
}

bool saysNotRun(const Poco::Net::HTTPResponse &Response, const Dialect &D) {
  int Status = Response.getStatus();
  if (D.NativeInterface_)
    return Status == 503 && Response.get(D.NotRun_, "") == "1";
  return Status == 421 || Response.has(D.NotRun_);
}

bool matchesRequest(const Poco::Net::HTTPResponse &Response,
                    const RequestId &Request, const Dialect &D) {
  return !D.CallerSetsRequestId_ ||
         Response.get(D.RequestId_, "") == Request.str();
}

std::optional<Duration>
keepAliveTimeout(const Poco::Net::HTTPResponse &Response) {
  unsigned Seconds = 0;
  std::string Text = Response.get("Keep-Alive", "");
  std::size_t At = Text.find("timeout=");
  if (At == std::string::npos ||
      std::sscanf(Text.c_str() + At, "timeout=%u", &Seconds) != 1)
    return {};
  return Duration::seconds(Seconds);
}

UpstreamStatement readStatement(const Poco::Net::HTTPResponse &Response,
                                const Dialect &D, const UpstreamId &From) {
  UpstreamStatement Out;
  Out.RequestsPerSecond_ = readNumber(Response, D.RequestLimit_, From);
  Out.Leaving_ = readNumber(Response, D.Leaving_, From) == 1;
  if (D.UpstreamsPause_ && Response.getStatus() == ServiceUnavailable)
    if (auto Seconds = readNumber(Response, "Retry-After", From))
      Out.Pause_ = Duration::millis(static_cast<std::int64_t>(
          std::min(*Seconds, MaxPause.inSeconds()) * 1000));
  return Out;
}

std::optional<ReportedLoad> readLoad(const Poco::Net::HTTPResponse &Response,
                                     const Dialect &D) {
  if (D.Load_.empty() || !Response.has(D.Load_))
    return {};
  ReportedLoad Load;
  const std::string &Text = Response.get(D.Load_);
  int Length = 0; // of the first three figures
  int Read = std::sscanf(Text.c_str(), "%u,%u,%u%n", &Load.Running_,
                         &Load.Waiting_, &Load.Slots_, &Length);
  if (Read != 3)
    return {};
  Load.PacePercent_ =
      readPace(std::string_view(Text).substr(static_cast<std::size_t>(Length)));
  return Load;
}

} // namespace lagoonpoint::internal
