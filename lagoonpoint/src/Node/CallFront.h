#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/src/Node/Control.h"
#include "lagoonpoint/src/Node/TeamLimits.h"
#include "lagoonpoint/src/Node/Upstreams.h"

#include <atomic>

namespace lagoonpoint {

/// \class CallFront
/// \ingroup Node
/// \brief Look-ups and calls of this VM.
class CallFront final : public CallerPort {
public:
  CallFront(const Settings &S, const InForceCell &Cell, Control &Ctl,
            TeamLimits &Limits, Upstreams &Ups)
      : Settings_(S), InForce_(Cell), Control_(Ctl), Limits_(Limits),
        Upstreams_(Ups) {}

  LookupReply lookup(const LookupQuery &Query) override;
  RouteDecl route(const std::string &Path) override;
  std::unique_ptr<CallTicket> admit(const Call &C) override;
  bool draining() const override { return Draining_; }

  void beginDrain() { Draining_ = true; }

private:
  std::shared_ptr<const InForce> current() const;
  TeamId teamOf(const InForce &F, const RouteDecl &Route, const Call &C) const;

  const Settings &Settings_;
  const InForceCell &InForce_;
  Control &Control_;
  TeamLimits &Limits_;
  Upstreams &Upstreams_;
  std::atomic<bool> Draining_{false};
};

} // namespace lagoonpoint
