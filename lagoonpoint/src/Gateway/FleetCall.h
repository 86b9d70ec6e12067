#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/Retry"
#include "lagoonpoint/src/Gateway/LoadSharing.h"
#include "lagoonpoint/src/Gateway/SharedDispatcher.h"
#include "lagoonpoint/src/Gateway/SlotPlacement.h"
#include "lagoonpoint/src/Node/RetryBudgets.h"

#include <functional>

namespace lagoonpoint {

/// Services that all calls of an entry VM share.
struct FleetCallServices {
  const Clock &Clock_;
  SharedDispatcher &Dispatcher_;
  SlotPlacement &Placement_;
  LoadSharing &LoadSharing_;
  RetryBudgets &Retries_;
  MetricRegistry &Metrics_;
  /// Throws a Refusal if this VM's copy of the team's keys may be out of date.
  std::function<void(const TeamId &)> CheckKeys_;
  std::function<RetryBudgetLimits()> RetryLimits_;
  std::function<void(const TeamId &)> ReturnToken_; ///< for an unspent token
  /// Called when the upstream of a try states that it is leaving.
  std::function<void(const SharedSlot &)> MarkLeaving_;
  bool SetsReturnTimes_ = false; ///< see withReturnTime()
};

/// Result of a call's admission.
struct FleetCallAdmission {
  RouteDecl Route_;
  RequestId Request_;
  TeamId Team_;
  std::string Object_;
  AllowedRegions Regions_;
  unsigned Priority_ = 0;
  unsigned MaxAttempts_ = 1;
  bool Authenticated_ = false;
  Time Arrived_;
  Time Deadline_;
  Duration Objective_;
  Duration SinceFirstRequest_;         ///< of a caller that retries; else zero
  Time CallerDeadline_;                ///< until which the caller waits
  std::optional<Time> StatedDeadline_; ///< the same, if the caller stated it
};

/// Tells the caller of a call that was refused and has not run when to return,
/// see returnDelay(). A refusal without a Retry-After, after which a retry is
/// of no use, is not changed.
/// \ingroup Gateway
/// \param RanState whether the call may have run in any of its tries
Refusal withReturnTime(const Refusal &R, const FleetCallAdmission &A,
                       Ran RanState, MetricRegistry &Metrics, Time Now);

/// \class FleetCall
/// \ingroup Gateway
/// \brief One admitted call at an entry VM that shares all upstreams with other
/// entry VMs.
class FleetCall final : public CallHandle {
public:
  FleetCall(FleetCallServices &Services, FleetCallAdmission A);
  ~FleetCall() override;

  const RouteDecl &route() const override { return Admission_.Route_; }
  const TeamId &team() const override { return Admission_.Team_; }
  Time deadline() const override { return Admission_.Deadline_; }
  /// The route's timeout covers the complete response.
  std::optional<Time> bodyDeadline() const override {
    return Admission_.Deadline_;
  }
  std::optional<Time> tryDeadline() const override { return TryDeadline_; }
  std::optional<StoredResponse> storedResponse() override { return {}; }
  CallTarget nextTarget() override;
  void recordStatement(const UpstreamStatement &Statement) override;
  bool recordTry(const TryReport &Report) override;
  void storeResponse(const StoredResponse &) override {}

private:
  RetryBudgets::Owner budgetOwner() const;
  SharedSlot acquireSlot();
  SlotCall makeSlotCall() const;
  std::optional<SharedSlot> acquireGranted(SlotCall C);
  std::optional<Time> limitOfTry() const;
  void releaseSlot(const TryReport &Report);
  void reportTry(const TryReport &Report, RetryDecision Decision);

  FleetCallServices &Services_;
  FleetCallAdmission Admission_;
  RetryState Retry_;
  std::set<UpstreamId> Tried_;
  SharedSlot Slot_;
  std::optional<GrantedSlot> Granted_; ///< if a pool granted Slot_
  bool Held_ = false; ///< the upstream stated a limit, a pause or a departure
  std::optional<Time> TryDeadline_;
  bool HoldsSlot_ = false;
};

} // namespace lagoonpoint
