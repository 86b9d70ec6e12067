#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/Retry"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"
#include "lagoonpoint/src/Node/Dispatcher.h"
#include "lagoonpoint/src/Node/LimitsHost.h"
#include "lagoonpoint/src/Node/MembershipHost.h"
#include "lagoonpoint/src/Node/OnceHost.h"
#include "lagoonpoint/src/Node/RetryBudgets.h"
#include "lagoonpoint/src/Node/SteeringHost.h"

#include <chrono>

namespace lagoonpoint {

/// \class CallServices
/// \ingroup Node
/// \brief Components of this VM that calls use.
struct CallServices {
  const Settings &Settings_;
  const Clock &Clock_;
  LimitsHost &Limits_;
  Dispatcher &Dispatcher_;
  OnceHost &Once_;
  SteeringHost &Steering_;
  MembershipHost &Members_;
  RetryBudgets &RetryBudgets_;
  MetricRegistry &Metrics_;
};

/// Result of admitting a call.
struct Admission {
  std::shared_ptr<const ActiveDeclarations> Active_;
  RouteDecl Route_;
  TeamId Team_; ///< empty on an open route
  unsigned Weight_ = 1;
  ZoneId CallerZone_; ///< zone that the caller is assigned to
  Time Deadline_;
  bool Forwarded_ = false;    ///< by another VM, which charged the team
  std::string OnceKey_;       ///< idempotency key; empty if the call has none
  OnceDecision OnceDecision_; ///< Run, Forward or Replay if there is a key
};

/// \class AdmittedCall
/// \ingroup Node
/// \brief One admitted call: chooses the target of each try, and records its
/// result in budgets, metrics and the once-table.
class AdmittedCall final : public CallHandle {
public:
  AdmittedCall(CallServices &Services, Admission A);
  ~AdmittedCall() override;

  const RouteDecl &route() const override { return Admission_.Route_; }
  const TeamId &team() const override { return Admission_.Team_; }
  Time deadline() const override { return Admission_.Deadline_; }
  std::optional<StoredResponse> storedResponse() override;
  CallTarget nextTarget() override;
  bool recordTry(const TryReport &Report) override;
  void storeResponse(const StoredResponse &Response) override;

private:
  using Steady = std::chrono::steady_clock;

  bool holdsOnceClaim() const;
  CallTarget chooseTarget();
  CallTarget forwardToHomeVm();
  CallTarget steer();
  CallTarget serveInOwnRegion(const RegionId &Region);
  CallTarget forwardToRegion(const RegionId &Region);
  std::optional<CallTarget> forwardToOtherZone(const RegionId &Region);
  DispatchRequest dispatchRequest() const;
  void takeRegionCapacity(const RegionId &Region);
  void takeLinkCapacity(const RegionId &Region);
  void finishTry(const TryReport &Report);
  void finishOnce();
  void countDecision(const TryReport &Report, RetryDecision Decision);
  RetryBudgets::Owner budgetOwner() const;
  RetryBudgetLimits budgetLimits() const;

  CallServices &Services_;
  Admission Admission_;
  RetryState Retry_;
  CallTarget Target_;
  RegionId TargetRegion_;
  bool TryActive_ = false;
  bool OncePending_ = false; ///< a once-request whose outcome is not yet
                             ///< recorded
  std::set<UpstreamId> TriedUpstreams_;
  std::set<VmId> TriedVms_;
  Steady::time_point StartedAt_ = Steady::now();
  Steady::time_point TryStartedAt_;
};

} // namespace lagoonpoint
