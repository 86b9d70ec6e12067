#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Http/CallerPort.h"
#include "lagoonpoint/src/Http/util/Responses.h"

#include <optional>
#include <string>

namespace lagoonpoint::internal {

/// Reads a call out of a request's head: key, idempotency key, deadline, hop.
/// \ingroup Http
/// \throws Refusal BadRequest for what is malformed or shown twice
Call readCall(const RequestHead &Head, const Settings &S, const Dialect &D,
              const std::string &ClientAddress, Time Arrived);

/// Writes the head of the request to an upstream: fields without keys and
/// hop-by-hop fields, the deadline left, the request id, our own framing.
/// \ingroup Http
/// \param Left time until the call's deadline
std::string forwardedHead(const RequestHead &Head, const Call &C,
                          const CallTarget &To, const Settings &S,
                          const Dialect &D, const Framing &Body,
                          Duration Remaining);

/// \returns the fields of an upstream's answer that the caller may see, with
/// the request id.
/// \ingroup Http
HeaderFields responseFields(const Poco::Net::HTTPResponse &Response,
                            const RequestId &Request, const Dialect &D);

/// Tells whether an answer says that the upstream didn't run the request.
/// \ingroup Http
bool saysNotRun(const Poco::Net::HTTPResponse &Response, const Dialect &D);

/// Tells whether an answer belongs to a request.
/// \ingroup Http
bool matchesRequest(const Poco::Net::HTTPResponse &Response,
                    const RequestId &Request, const Dialect &D);

/// \returns how long the upstream keeps an idle connection, if it says so.
/// \ingroup Http
std::optional<Duration>
keepAliveTimeout(const Poco::Net::HTTPResponse &Response);

/// \returns the load that an answer tells of: running, waiting, slots.
/// \ingroup Http
std::optional<ReportedLoad> readLoad(const Poco::Net::HTTPResponse &Response,
                                     const Dialect &D);

} // namespace lagoonpoint::internal
