#include "lagoonpoint/src/Http/util/Forwarding.h"

#include "lagoonpoint/src/Http/util/Hop.h"
#include "lagoonpoint/src/Http/util/JsonService.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/String.h>

#include <algorithm>
#include <initializer_list>
#include <string_view>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t MaxIdempotencyKeyBytes = 256;
constexpr std::size_t MaxDeadlineDigits = 9;
constexpr const char *OwnFieldPrefix = "x-lagoonpoint-";

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
bool isOwn(std::string_view Name) {
  return isOneOf(Name, {"Authorization", "X-Api-Key", "X-Request-Id",
                        "X-Deadline-Ms", "Expect", NotRunField}) ||
         equals(Name.substr(0, std::string_view(OwnFieldPrefix).size()),
                OwnFieldPrefix);
}

std::vector<std::string> connectionTokens(const Poco::Net::MessageHeader &H) {
  std::vector<std::string> Tokens;
  for (const auto &[Name, Value] : H)
    if (equals(Name, "Connection"))
      Poco::Net::MessageHeader::splitElements(Value, Tokens);
  return Tokens;
}

bool isNamed(const std::vector<std::string> &Tokens, const std::string &Name) {
  return std::any_of(Tokens.begin(), Tokens.end(),
                     [&](const std::string &T) { return equals(T, Name); });
}

// Returns the field's only value, empty if there is none.
std::string singleField(const Poco::Net::HTTPRequest &Request,
                        const std::string &Name) {
  auto It = Request.find(Name);
  if (It == Request.end())
    return "";
  std::string Value = Poco::trim(It->second);
  ++It;
  if (It != Request.end() && equals(It->first, Name))
    throw badRequest(Name + " is given twice");
  if (Value.empty())
    throw badRequest(Name + " is empty");
  return Value;
}

std::optional<Duration> readDeadline(const Poco::Net::HTTPRequest &Request) {
  std::string Text = singleField(Request, "X-Deadline-Ms");
  if (Text.empty())
    return {};
  if (Text.size() > MaxDeadlineDigits ||
      !std::all_of(Text.begin(), Text.end(), Poco::Ascii::isDigit))
    throw badRequest("X-Deadline-Ms must be whole milliseconds");
  return Duration(std::stoll(Text));
}

void checkKeyIsHidden(const Poco::Net::HTTPRequest &Request,
                      const std::string &Key) {
  if (Key.empty())
    return;
  for (const auto &[Name, Value] : Request)
    if (!isOwn(Name) && Value.find(Key) != std::string::npos)
      throw badRequest("the key is repeated in " + Name);
  if (Request.getURI().find(Key) != std::string::npos)
    throw badRequest("the key is repeated in the URL");
}

void readHop(const Poco::Net::HTTPRequest &Request, const Settings &S,
             Call &Out) {
  std::string Hop = singleField(Request, HopField);
  if (Hop.empty())
    return;
  RequestId Own = Out.Request_;
  Out.Request_ = RequestId(singleField(Request, "X-Request-Id"));
  if (acceptHop(S, Hop, Out))
    return;
  Out.Request_ = Own;
  throw badRequest(std::string(HopField) + " is not proven");
}

std::string framingField(const Framing &Body) {
  switch (Body.Kind_) {
  case FramingKind::Length:
    return "Content-Length: " + std::to_string(Body.Length_) + "\r\n";
  case FramingKind::Chunked:
    return "Transfer-Encoding: chunked\r\n";
  case FramingKind::None:
    break;
  }
  return "";
}

void appendField(std::string &Text, const std::string &Name,
                 const std::string &Value) {
  Text.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace

Call readCall(const RequestHead &Head, const Settings &S,
              const std::string &ClientAddress, Time Arrived) {
  const Poco::Net::HTTPRequest &Request = Head.Request_;
  Call Out;
  Out.Request_ = makeRequestId();
  Out.Method_ = Request.getMethod();
  Out.Path_ = Request.getURI();
  Out.ClientAddress_ = ClientAddress;
  Out.Arrived_ = Arrived;
  Out.Key_ = readKey(Request);
  Out.IdempotencyKey_ = singleField(Request, "Idempotency-Key");
  if (Out.IdempotencyKey_.size() > MaxIdempotencyKeyBytes)
    throw badRequest("Idempotency-Key is too long");
  Out.Deadline_ = readDeadline(Request);
  checkKeyIsHidden(Request, Out.Key_);
  readHop(Request, S, Out);
  return Out;
}

std::string forwardedHead(const RequestHead &Head, const Call &C,
                          const CallTarget &To, const Settings &S,
                          const Framing &Body, Duration Left) {
  std::vector<std::string> Named = connectionTokens(Head.Request_);
  std::string Text = C.Method_ + " " + C.Path_ + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Head.Request_)
    if (!isHopByHop(Name) && !isOwn(Name) && !isNamed(Named, Name))
      appendField(Text, Name, Value);
  if (!Head.Request_.has("Host"))
    appendField(Text, "Host", toString(To.Address_));
  appendField(Text, "X-Request-Id", C.Request_.str());
  appendField(Text, "X-Deadline-Ms", std::to_string(Left.count()));
  if (!To.Vm_.empty()) {
    // The home VM checks the key itself; the upstream never sees it.
    if (!C.Key_.empty())
      appendField(Text, "X-Api-Key", C.Key_);
    appendField(Text, HopField, makeHop(S, C));
  }
  return Text + framingField(Body) + "\r\n";
}

Fields answerFields(const Poco::Net::HTTPResponse &Response,
                    const RequestId &Request) {
  std::vector<std::string> Named = connectionTokens(Response);
  Fields Out;
  for (const auto &[Name, Value] : Response)
    if (!isHopByHop(Name) && !isOwn(Name) && !isNamed(Named, Name))
      Out.emplace_back(Name, Value);
  Out.emplace_back("X-Request-Id", Request.str());
  return Out;
}

} // namespace lagoonpoint::internal
