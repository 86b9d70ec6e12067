#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Http/CallerPort.h"
#include "lagoonpoint/src/Http/util/Answers.h"

#include <string>

namespace lagoonpoint::internal {

/// Field by which an upstream says that it didn't run the request (with 503).
constexpr const char *NotRunField = "X-Not-Run";

/// Reads a call out of a request's head: key, idempotency key, deadline, hop.
/// \ingroup Http
/// \throws Refusal BadRequest for what is malformed or shown twice
Call readCall(const RequestHead &Head, const Settings &S,
              const std::string &ClientAddress, Time Arrived);

/// Writes the head of the request to an upstream: fields without keys and
/// hop-by-hop fields, the deadline left, the request id, our own framing.
/// \ingroup Http
/// \param Left time until the call's deadline
std::string forwardedHead(const RequestHead &Head, const Call &C,
                          const CallTarget &To, const Settings &S,
                          const Framing &Body, Duration Left);

/// \returns the fields of an upstream's answer that the caller may see, with
/// the request id.
/// \ingroup Http
Fields answerFields(const Poco::Net::HTTPResponse &Response,
                    const RequestId &Request);

} // namespace lagoonpoint::internal
