#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/src/Node/Control.h"

namespace lagoonpoint {

/// \class OperatorFront
/// \ingroup Node
/// \brief The operators' requests: changes, status, voters.
class OperatorFront final : public OperatorPort {
public:
  explicit OperatorFront(Control &C) : Control_(C) {}

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
};

} // namespace lagoonpoint
