#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Node/Control.h"

namespace lagoonpoint {

/// \class OperatorHandler
/// \ingroup Node
/// \brief Handles the operators' requests: changes, status and voters.
class OperatorHandler final : public OperatorPort {
public:
  OperatorHandler(Control &C, MetricRegistry &M) : Control_(C), Metrics_(M) {}

  OperatorReply handle(const OperatorRequest &Request) override;
  std::string metrics() override;
  bool ready(std::string &WhyNot) override;

private:
  OperatorReply apply(const Poco::JSON::Object::Ptr &Body);
  OperatorReply changeKey(const Poco::JSON::Object::Ptr &Body);
  OperatorReply setDrain(const Poco::JSON::Object::Ptr &Body);
  OperatorReply changeVoter(const Poco::JSON::Object::Ptr &Body);
  OperatorReply declarations();
  OperatorReply status();

  Control &Control_;
  MetricRegistry &Metrics_;
};

} // namespace lagoonpoint
