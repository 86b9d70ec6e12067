#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/src/Node/AdmittedCall.h"
#include "lagoonpoint/src/Node/Control.h"

#include <atomic>

namespace lagoonpoint {

/// \class CallFront
/// \ingroup Node
/// \brief Look-ups and calls of this VM.
class CallFront final : public CallerPort {
public:
  CallFront(CallServices Services, const InForceCell &Cell, Control &Ctl)
      : Services_(Services), InForce_(Cell), Control_(Ctl) {}

  LookupReply lookup(const LookupQuery &Query) override;
  RouteDecl route(const std::string &Path) override;
  std::unique_ptr<CallTicket> admit(const Call &C) override;
  bool draining() const override { return Draining_; }

  void beginDrain() { Draining_ = true; }

private:
  LookupReply answerLookup(const LookupQuery &Query);
  Admission check(const Call &C);
  std::shared_ptr<const InForce> current() const;
  TeamId teamOf(const InForce &F, const RouteDecl &Route, const Call &C) const;

  CallServices Services_;
  const InForceCell &InForce_;
  Control &Control_;
  std::atomic<bool> Draining_{false};
};

} // namespace lagoonpoint
