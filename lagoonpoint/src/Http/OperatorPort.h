#pragma once

#include "lagoonpoint/Core"

#include <Poco/JSON/Object.h>

#include <string>

namespace lagoonpoint {

/// One request of an operator. The listener has checked the operators' key.
struct OperatorRequest {
  std::string Method_;
  std::string Path_;             ///< such as "/v1/apply", without query
  Poco::JSON::Object::Ptr Body_; ///< null if the request has no body
};

/// Response to an operator's request.
struct OperatorReply {
  int Status_ = 200;
  Poco::JSON::Object::Ptr Body_;
};

/// \class OperatorPort
/// \ingroup Http
/// \brief Interface of the process to the operators' listener. Thread-safe.
class OperatorPort {
public:
  virtual ~OperatorPort() = default;

  /// \throws Error for failures; the listener responds with 500 and a JSON
  /// error
  virtual OperatorReply handle(const OperatorRequest &Request) = 0;

  /// \returns the text of `/metrics`.
  virtual std::string metrics() = 0;

  /// \param[out] WhyNot reason shown by `/healthz` if this VM may not serve
  /// \returns true if this VM may serve
  virtual bool ready(std::string &WhyNot) = 0;
};

} // namespace lagoonpoint
