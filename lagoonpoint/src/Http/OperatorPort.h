#pragma once

#include "lagoonpoint/Core"

#include <Poco/JSON/Object.h>

#include <string>

namespace lagoonpoint {

/// One request of an operator; the listener has checked the operators' key.
struct OperatorRequest {
  std::string Method_;
  std::string Path_;             ///< such as "/v1/apply", without query
  Poco::JSON::Object::Ptr Body_; ///< null if there was none
};

/// Its reply.
struct OperatorReply {
  int Status_ = 200;
  Poco::JSON::Object::Ptr Body_;
};

/// \class OperatorPort
/// \ingroup Http
/// \brief What the operators' listener needs of the process. Thread-safe.
class OperatorPort {
public:
  virtual ~OperatorPort() = default;

  /// \throws Error for failures the listener answers with 500 and a JSON error
  virtual OperatorReply handle(const OperatorRequest &Request) = 0;

  /// \returns the text of `/metrics`.
  virtual std::string metrics() = 0;

  /// \returns true if this VM may serve; `/healthz` says why not otherwise.
  virtual bool ready(std::string &WhyNot) = 0;
};

} // namespace lagoonpoint
