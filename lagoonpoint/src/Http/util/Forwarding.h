#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Http/CallerPort.h"
#include "lagoonpoint/src/Http/util/Responses.h"

#include <optional>
#include <string>

namespace lagoonpoint::internal {

/// Extracts a call from a request head: key, idempotency key, deadline and hop.
/// \ingroup Http
/// \throws Refusal BadRequest for malformed or repeated fields
Call readCall(const RequestHead &Head, const Settings &S, const Dialect &D,
              const std::string &ClientAddress, Time Arrived);

/// \returns the head of the request to an upstream: the caller's fields without
/// keys and hop-by-hop fields, the remaining deadline, the request id and this
/// VM's own framing.
/// \ingroup Http
/// \param Remaining time until the call's deadline
std::string forwardedHead(const RequestHead &Head, const Call &C,
                          const CallTarget &To, const Settings &S,
                          const Dialect &D, const Framing &Body,
                          Duration Remaining);

/// \returns the fields of an upstream's response that are passed to the caller,
/// with the request id.
/// \ingroup Http
HeaderFields responseFields(const Poco::Net::HTTPResponse &Response,
                            const RequestId &Request, const Dialect &D);

/// \returns true if a response says that the upstream did not run the request.
/// \ingroup Http
bool saysNotRun(const Poco::Net::HTTPResponse &Response, const Dialect &D);

/// \returns true if a response belongs to a request.
/// \ingroup Http
bool matchesRequest(const Poco::Net::HTTPResponse &Response,
                    const RequestId &Request, const Dialect &D);

/// \returns how long the upstream keeps an idle connection open, if it says so.
/// \ingroup Http
std::optional<Duration>
keepAliveTimeout(const Poco::Net::HTTPResponse &Response);

/// \returns what an upstream states about itself in a response. A field with a
/// malformed value is logged and counts as absent.
/// \ingroup Http
UpstreamStatement readStatement(const Poco::Net::HTTPResponse &Response,
                                const Dialect &D, const UpstreamId &From);

/// \returns the load reported in a response: running, waiting, slots and,
/// optionally, pace. A pace that is not a number, 0 or huge counts as absent.
/// \ingroup Http
std::optional<ReportedLoad> readLoad(const Poco::Net::HTTPResponse &Response,
                                     const Dialect &D);

} // namespace lagoonpoint::internal
