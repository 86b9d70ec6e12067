#pragma once

#include "lagoonpoint/src/Http/Dialect.h"
#include "lagoonpoint/src/Http/util/Listener.h"

#include <string>
#include <utility>
#include <vector>

namespace lagoonpoint::internal {

/// Header fields in the order in which they are written.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A complete response of this VM.
struct HttpResponse {
  int Status_ = 200;
  HeaderFields Fields_;
  std::string Body_;
};

/// \returns a random request id of 32 hexadecimal digits.
RequestId makeRequestId();

/// \returns the text as a JSON string with quotes.
std::string jsonString(const std::string &Text);

/// \returns the response to a refused request, in the documented format.
HttpResponse refusalResponse(const Refusal &R, const RequestId &Request,
                             const Dialect &D = {});

/// \returns a JSON response that must not be cached.
HttpResponse jsonResponse(int Status, std::string Body);

/// How a response is written.
struct ResponseOptions {
  bool KeepAlive_ = true;
  bool IsHeadRequest_ = false; ///< the method was HEAD: no body is written
};

/// \returns status line and header fields, without the empty line that ends the
/// head. `Connection: close` is added unless the connection is kept alive.
std::string formatHead(int Status, const HeaderFields &F, bool KeepAlive);

/// Writes a complete response with its Content-Length.
/// \returns true if all of it was written
bool writeResponse(BufferedSocket &Out, const HttpResponse &A,
                   ResponseOptions Options, const Deadline &Limit);

} // namespace lagoonpoint::internal
