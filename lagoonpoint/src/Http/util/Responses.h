#pragma once

#include "lagoonpoint/src/Http/Dialect.h"
#include "lagoonpoint/src/Http/util/Listener.h"

#include <string>
#include <utility>
#include <vector>

namespace lagoonpoint::internal {

/// Header fields in the order in which they are written.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A whole answer of this VM.
struct HttpResponse {
  int Status_ = 200;
  HeaderFields Fields_;
  std::string Body_;
};

/// \returns a random request id of 32 hexadecimal digits.
RequestId makeRequestId();

/// \returns the text as a JSON string with quotes.
std::string jsonString(const std::string &Text);

/// \returns the documented form of a refusal.
HttpResponse refusalResponse(const Refusal &R, const RequestId &Request,
                             const Dialect &D = {});

/// \returns a JSON answer.
HttpResponse jsonResponse(int Status, std::string Body);

/// How an answer's head is written.
struct ResponseOptions {
  bool KeepAlive_ = true;
  bool IsHeadRequest_ = false; ///< the method was HEAD: no body is written
};

/// \returns status line and fields, with a Connection field, up to but
/// without the empty line.
std::string formatHead(int Status, const HeaderFields &F, bool KeepAlive);

/// Writes a whole answer with its Content-Length.
/// \returns true if all of it was written
bool writeResponse(BufferedSocket &Out, const HttpResponse &A,
                   ResponseOptions Options, const Deadline &Limit);

} // namespace lagoonpoint::internal
