#pragma once

#include "lagoonpoint/src/Http/util/Responses.h"

#include <Poco/JSON/Object.h>

#include <functional>

namespace lagoonpoint::internal {

/// One request with its complete body.
struct BufferedRequest {
  std::string Method_;
  std::string Path_; ///< without query
  std::string Query_;
  std::string Body_;
  std::string Key_; ///< as sent, empty if none was
  RequestId Id_;
  /// Whether the client has closed the connection. Nobody is then told the
  /// outcome, and the client may have sent other requests elsewhere since.
  std::function<bool()> ClientLeft_;
};

/// Reads the key of a request: `Authorization: Bearer KEY` or `X-Api-Key`.
/// \returns the key, empty if none was sent
/// \throws Refusal if two different keys were sent or the query has one
std::string readKey(const Poco::Net::HTTPRequest &Request);

/// \returns true if both texts are equal. The time of the comparison does not
/// depend on whether or where they differ.
bool equalInConstantTime(const std::string &A, const std::string &B);

/// \returns the JSON object in a body, null for an empty body.
/// \throws Refusal BadRequest for anything else
Poco::JSON::Object::Ptr parseObject(const std::string &Body);

/// \class JsonService
/// \ingroup Http
/// \brief A listener that reads each request completely and sends one response.
///
/// A request whose client has closed the connection is dropped: it may have
/// waited in the socket while this process was suspended.
class JsonService {
public:
  using Handler = std::function<HttpResponse(const BufferedRequest &)>;

  /// \param Name label of the listener's metrics
  /// \param Metrics may be null
  JsonService(const Address &Listen, const Settings &S, const Clock &C,
              const char *Name, MetricRegistry *Metrics, Handler OnRequest);

  void start() { Listener_.start(); }
  void stop() { Listener_.stop(); }
  unsigned short port() const { return Listener_.port(); }

private:
  bool serve(Connection &C, RequestHead &Head);
  HttpResponse handle(const BufferedRequest &Request) const;
  std::string readBody(Connection &C, const RequestHead &Head);

  const Settings &Settings_;
  const Clock &Clock_;
  Handler Handler_;
  Listener Listener_;
};

} // namespace lagoonpoint::internal
