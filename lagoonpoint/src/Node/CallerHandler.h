#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/src/Node/AdmittedCall.h"
#include "lagoonpoint/src/Node/Control.h"

#include <atomic>

namespace lagoonpoint {

/// \class CallerHandler
/// \ingroup Node
/// \brief Answers lookups and admits calls at this VM.
class CallerHandler final : public CallerPort {
public:
  CallerHandler(CallServices Services, const ActiveDeclarationsHolder &Active,
                Control &Ctl)
      : Services_(Services), Active_(Active), Control_(Ctl) {}

  LookupReply lookup(const LookupQuery &Query) override;
  RouteDecl route(const std::string &Path) override;
  std::unique_ptr<CallHandle> admit(const Call &C) override;
  bool draining() const override { return Draining_; }

  void beginDrain() { Draining_ = true; }

private:
  LookupReply answerLookup(const LookupQuery &Query);
  Admission checkCall(const Call &C);
  std::shared_ptr<const ActiveDeclarations> readyDeclarations() const;
  TeamId authenticateTeam(const ActiveDeclarations &F, const RouteDecl &Route,
                          const Call &C) const;

  CallServices Services_;
  const ActiveDeclarationsHolder &Active_;
  Control &Control_;
  std::atomic<bool> Draining_{false};
};

} // namespace lagoonpoint
