#include "lagoonpoint/src/Http/util/HeadParser.h"

#include "lagoonpoint/src/Core/util/Text.h"
#include "lagoonpoint/src/Http/util/Fields.h"
#include "lagoonpoint/src/Http/util/PathCheck.h"

#include <Poco/String.h>

#include <algorithm>
#include <string>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t MaxFields = 100;
constexpr std::size_t MaxNameBytes = 256;
constexpr std::size_t MaxMethodBytes = 32;
constexpr std::size_t MaxLengthDigits = 18;
/// Status codes of HTTP (RFC 9110, section 15).
constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

/// Thrown for a head that must be rejected.
struct Malformed {
  std::string Reason_;
};

std::string_view takeLine(std::string_view &Rest) {
  std::size_t End = Rest.find("\r\n");
  if (End == std::string_view::npos)
    throw Malformed{"line without CRLF"};
  std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(End + 2);
  return Line;
}

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Spaces = " \t";
  std::size_t Begin = Text.find_first_not_of(Spaces);
  if (Begin == std::string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Spaces) - Begin + 1);
}

void readField(std::string_view Line, Poco::Net::MessageHeader &Out) {
  std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    throw Malformed{"header field without a colon"};
  std::string_view Name = Line.substr(0, Colon);
  if (!isToken(Name) || Name.size() > MaxNameBytes)
    throw Malformed{"malformed header field name"};
  std::string_view Value = Line.substr(Colon + 1);
  if (hasControlCharacters(Value))
    throw Malformed{"control character in a header field"};
  Out.add(std::string(Name), std::string(trim(Value)));
}

// POCO's own parser is not used: it decodes encoded words (RFC 2047), which may
// add line breaks to a value that has been checked.
void readFields(std::string_view Rest, Poco::Net::MessageHeader &Out) {
  std::size_t Count = 0;
  for (;;) {
    std::string_view Line = takeLine(Rest);
    if (Line.empty())
      break;
    readField(Line, Out);
    if (++Count > MaxFields)
      throw Malformed{"too many header fields"};
  }
  if (!Rest.empty())
    throw Malformed{"bytes after the head"};
}

std::size_t countOf(const Poco::Net::MessageHeader &Header,
                    const std::string &Name) {
  std::size_t Count = 0;
  for (auto It = Header.find(Name);
       It != Header.end() && Poco::icompare(It->first, Name) == 0; ++It)
    ++Count;
  return Count;
}

std::int64_t parseLength(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxLengthDigits ||
      !std::all_of(Text.begin(), Text.end(),
                   [](char C) { return C >= '0' && C <= '9'; }))
    throw Malformed{"malformed Content-Length"};
  return std::stoll(Text);
}

Framing framingOf(const Poco::Net::HTTPMessage &Message) {
  std::size_t Lengths = countOf(Message, "Content-Length");
  std::size_t Encodings = countOf(Message, "Transfer-Encoding");
  if (Lengths + Encodings > 1)
    throw Malformed{"ambiguous body framing"};
  if (Encodings == 1) {
    if (Message.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1 ||
        Poco::icompare(Message.get("Transfer-Encoding"), "chunked") != 0)
      throw Malformed{"Transfer-Encoding other than chunked"};
    return {FramingKind::Chunked, 0};
  }
  if (Lengths == 1)
    return {FramingKind::Length, parseLength(Message.get("Content-Length"))};
  return {};
}

bool keepAliveOf(const Poco::Net::HTTPMessage &Message) {
  if (Message.hasToken("Connection", "close"))
    return false;
  return Message.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
}

void readRequestLine(std::string_view Line, Poco::Net::HTTPRequest &Out) {
  std::size_t First = Line.find(' ');
  std::size_t Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last)
    throw Malformed{"malformed request line"};
  std::string_view Method = Line.substr(0, First);
  std::string_view Target = Line.substr(First + 1, Last - First - 1);
  std::string_view Version = Line.substr(Last + 1);
  if (!isToken(Method) || Method.size() > MaxMethodBytes ||
      Method == "CONNECT" || Method == "TRACE")
    throw Malformed{"method is malformed or not supported"};
  if (const char *Fault = findTargetFault(Target))
    throw Malformed{Fault};
  if (Version != "HTTP/1.1" && Version != "HTTP/1.0")
    throw Malformed{"unsupported protocol version"};
  Out.setMethod(std::string(Method));
  Out.setURI(std::string(Target));
  Out.setVersion(std::string(Version));
}

void readStatusLine(std::string_view Line, Poco::Net::HTTPResponse &Out) {
  constexpr std::size_t StatusAt = 9;
  constexpr std::size_t ReasonAt = 13;
  bool IsValid = Line.size() >= 12 && (Line.starts_with("HTTP/1.1 ") ||
                                       Line.starts_with("HTTP/1.0 "));
  int Status = 0;
  for (std::size_t At = StatusAt; IsValid && At < 12; ++At) {
    IsValid = Line[At] >= '0' && Line[At] <= '9';
    Status = Status * 10 + (Line[At] - '0');
  }
  IsValid = IsValid && (Line.size() == 12 || Line[12] == ' ') &&
            Status >= MinStatus && Status <= MaxStatus;
  if (!IsValid || hasControlCharacters(Line))
    throw Malformed{"malformed status line"};
  Out.setVersion(std::string(Line.substr(0, StatusAt - 1)));
  Out.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Out.setReason(std::string(Line.substr(std::min(ReasonAt, Line.size()))));
}

void checkHost(const Poco::Net::HTTPRequest &Request) {
  std::size_t Hosts = countOf(Request, "Host");
  bool Needed = Request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
  if (Hosts > 1 || (Needed && Hosts == 0))
    throw Malformed{"exactly one Host header field is needed"};
}

void checkExpect(RequestHead &Head) {
  if (!Head.Request_.has("Expect"))
    return;
  if (Poco::icompare(Head.Request_.get("Expect"), "100-continue") != 0)
    throw Malformed{"unsupported expectation"};
  Head.ExpectContinue_ = true;
}

} // namespace

std::size_t headLength(std::string_view Bytes) {
  std::size_t End = Bytes.find("\r\n\r\n");
  if (End == std::string_view::npos)
    return End;
  return End + 4;
}

void parseRequestHead(std::string_view Head, RequestHead &Out) {
  try {
    std::string_view Rest = Head;
    readRequestLine(takeLine(Rest), Out.Request_);
    readFields(Rest, Out.Request_);
    checkHost(Out.Request_);
    checkExpect(Out);
    Out.Body_ = framingOf(Out.Request_);
    Out.KeepAlive_ = keepAliveOf(Out.Request_);
  } catch (const Malformed &M) {
    throw Refusal(RefusalReason::BadRequest, Ran::No, "http.head", M.Reason_);
  }
}

void parseResponseHead(std::string_view Head, bool IsHeadRequest,
                       const std::string &Peer, ResponseHead &Out) {
  try {
    std::string_view Rest = Head;
    readStatusLine(takeLine(Rest), Out.Response_);
    readFields(Rest, Out.Response_);
    int Status = Out.Response_.getStatus();
    bool Bodiless =
        IsHeadRequest || Status < 200 || Status == 204 || Status == 304;
    Framing Declared = framingOf(Out.Response_);
    if (Declared.Kind_ == FramingKind::None)
      Declared.Kind_ = FramingKind::UntilClose;
    Out.Body_ = Bodiless ? Framing() : Declared;
    Out.KeepAlive_ = keepAliveOf(Out.Response_) &&
                     Out.Body_.Kind_ != FramingKind::UntilClose;
  } catch (const Malformed &M) {
    throw Error("http.answer", Peer, M.Reason_);
  }
}

} // namespace lagoonpoint::internal
