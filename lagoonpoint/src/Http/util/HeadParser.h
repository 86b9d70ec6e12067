#pragma once

#include "lagoonpoint/Core"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lagoonpoint::internal {

/// How the end of a message's body is found.
enum class FramingKind { None, Length, Chunked, UntilClose };

/// Framing of one message's body.
struct Framing {
  FramingKind Kind_ = FramingKind::None;
  std::int64_t Length_ = 0; ///< bytes, for Length
};

/// A request's head whose framing is unambiguous.
struct RequestHead {
  Poco::Net::HTTPRequest Request_;
  Framing Body_;
  bool KeepAlive_ = false;
  bool ExpectContinue_ = false;
};

/// An answer's head whose framing is unambiguous.
struct ResponseHead {
  Poco::Net::HTTPResponse Response_;
  Framing Body_;
  bool KeepAlive_ = false;
};

/// \returns bytes up to and with the empty line, or npos if it isn't there.
std::size_t headLength(std::string_view Bytes);

/// Checks every byte of a request's head, then lets POCO parse it.
/// \ingroup Http
/// \param[out] Out new; filled in place, since POCO's messages can't be moved
/// \throws Refusal BadRequest for anything that two parsers could read
/// differently: bare LF, folded lines, space before a colon, repeated or
/// contradicting framing, dot segments or needless escapes in the path
void parseRequestHead(std::string_view Head, RequestHead &Out);

/// The same for an upstream's answer.
/// \param IsHeadRequest the request's method was HEAD, so that no body follows
/// \throws Error naming \p Peer
void parseResponseHead(std::string_view Head, bool IsHeadRequest,
                       const std::string &Peer, ResponseHead &Out);

} // namespace lagoonpoint::internal
