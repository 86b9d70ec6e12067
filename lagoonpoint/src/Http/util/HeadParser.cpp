#include "lagoonpoint/src/Http/util/HeadParser.h"

#include "lagoonpoint/src/Http/util/PathCheck.h"

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <algorithm>
#include <istream>
#include <streambuf>
#include <string>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t MaxFields = 100;
constexpr std::size_t MaxNameBytes = 256;
constexpr std::size_t MaxMethodBytes = 32;
constexpr std::size_t MaxLengthDigits = 18;

/// Thrown for a head that must be rejected.
struct Malformed {
  std::string Reason_;
};

bool isTokenByte(char C) {
  constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  if (C >= '0' && C <= '9')
    return true;
  if ((C | 0x20) >= 'a' && (C | 0x20) <= 'z')
    return true;
  return C != 0 && Others.find(C) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

bool isValueByte(char C) {
  unsigned char Byte = static_cast<unsigned char>(C);
  return Byte == '\t' || (Byte >= 0x20 && Byte != 0x7f);
}

std::string_view takeLine(std::string_view &Rest) {
  std::size_t End = Rest.find("\r\n");
  if (End == std::string_view::npos)
    throw Malformed{"line without CRLF"};
  std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(End + 2);
  return Line;
}

void checkField(std::string_view Line) {
  std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    throw Malformed{"header field without a colon"};
  std::string_view Name = Line.substr(0, Colon);
  if (!isToken(Name) || Name.size() > MaxNameBytes)
    throw Malformed{"malformed header field name"};
  std::string_view Value = Line.substr(Colon + 1);
  if (!std::all_of(Value.begin(), Value.end(), isValueByte))
    throw Malformed{"control character in a header field"};
}

void checkFields(std::string_view Rest) {
  std::size_t Count = 0;
  for (;;) {
    std::string_view Line = takeLine(Rest);
    if (Line.empty())
      break;
    checkField(Line);
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

void checkRequestLine(std::string_view Line) {
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
}

void checkStatusLine(std::string_view Line) {
  bool IsValid = Line.size() >= 12 && (Line.starts_with("HTTP/1.1 ") ||
                                       Line.starts_with("HTTP/1.0 "));
  for (std::size_t At = 9; IsValid && At < 12; ++At)
    IsValid = Line[At] >= '0' && Line[At] <= '9';
  IsValid = IsValid && (Line.size() == 12 || Line[12] == ' ');
  IsValid = IsValid && std::all_of(Line.begin(), Line.end(), isValueByte);
  if (!IsValid)
    throw Malformed{"malformed status line"};
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

/// Lets one stream read many texts in turn: constructing a stream costs more
/// than parsing a head.
class TextBuffer : public std::streambuf {
public:
  void set(std::string_view Text) {
    char *Begin = const_cast<char *>(Text.data());
    setg(Begin, Begin, Begin + Text.size());
  }
};

template <class Message> void parse(Message &Out, std::string_view Head) {
  thread_local TextBuffer Buffer;
  thread_local std::istream In(&Buffer);
  Buffer.set(Head);
  In.clear();
  try {
    Out.read(In);
  } catch (const Poco::Exception &E) {
    throw Malformed{"malformed head: " + E.displayText()};
  }
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
    checkRequestLine(takeLine(Rest));
    checkFields(Rest);
    parse(Out.Request_, Head);
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
    checkStatusLine(takeLine(Rest));
    checkFields(Rest);
    parse(Out.Response_, Head);
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
