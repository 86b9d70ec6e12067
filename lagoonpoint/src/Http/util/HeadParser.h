#pragma once

#include "lagoonpoint/Core"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lagoonpoint::internal {

/// How the end of a message body is determined.
enum class FramingKind { None, Length, Chunked, UntilClose };

/// Framing of one message body.
struct Framing {
  FramingKind Kind_ = FramingKind::None;
  std::int64_t Length_ = 0; ///< bytes, for Length
};

/// A request head with unambiguous framing.
struct RequestHead {
  Poco::Net::HTTPRequest Request_;
  Framing Body_;
  bool KeepAlive_ = false;
  bool ExpectContinue_ = false;
};

/// A response head with unambiguous framing.
struct ResponseHead {
  Poco::Net::HTTPResponse Response_;
  Framing Body_;
  bool KeepAlive_ = false;
};

/// \returns the length of the head including the empty line, or npos if it is
/// incomplete.
std::size_t headLength(std::string_view Bytes);

/// Checks every byte of a request head and parses it. Values are kept as they
/// were sent, without surrounding spaces.
/// \ingroup Http
/// \param[out] Out default-constructed; filled in place, since POCO's messages
/// can't be moved
/// \throws Refusal BadRequest for anything that two parsers could read
/// differently: bare LF, folded lines, space before a colon, repeated or
/// contradictory framing, dot segments or unnecessary escapes in the path
void parseRequestHead(std::string_view Head, RequestHead &Out);

/// The same for an upstream's response.
/// \param IsHeadRequest the request method was HEAD, so no body follows
/// \throws Error naming \p Peer
void parseResponseHead(std::string_view Head, bool IsHeadRequest,
                       const std::string &Peer, ResponseHead &Out);

} // namespace lagoonpoint::internal
