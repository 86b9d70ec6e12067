#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/Retry"
#include "lagoonpoint/src/Gateway/SharedDispatcher.h"
#include "lagoonpoint/src/Node/RetryBudgets.h"

#include <functional>

namespace lagoonpoint {

/// What all calls of an entry VM share.
struct KeyedServices {
  const Clock &Clock_;
  SharedDispatcher &Dispatcher_;
  RetryBudgets &Retries_;
  MetricRegistry &Metrics_;
  /// Throws a Refusal if a team's keys here may be out of date.
  std::function<void(const TeamId &)> CheckKeys_;
  std::function<RetryBudgetLimits()> RetryLimits_;
  std::function<void(const TeamId &)> GiveBack_; ///< a token not spent
};

/// What was found out about a call when it was admitted.
struct KeyedAdmission {
  RouteDecl Route_;
  RequestId Request_;
  TeamId Team_;
  std::string Object_;
  std::set<RegionId> Regions_;
  unsigned Priority_ = 0;
  unsigned MaxAttempts_ = 1;
  bool Keyed_ = false;
  Time Arrived_;
  Time Deadline_;
  Duration Objective_;
};

/// \class KeyedCall
/// \ingroup Gateway
/// \brief One admitted call of an entry VM that shares all upstreams.
class KeyedCall final : public CallTicket {
public:
  KeyedCall(KeyedServices &Services, KeyedAdmission A);
  ~KeyedCall() override;

  const RouteDecl &route() const override { return Admission_.Route_; }
  const TeamId &team() const override { return Admission_.Team_; }
  Time deadline() const override { return Admission_.Deadline_; }
  std::optional<StoredAnswer> stored() override { return {}; }
  CallTarget next() override;
  bool ended(const TryReport &Report) override;
  void keep(const StoredAnswer &) override {}

private:
  RetryBudgets::Owner owner() const;
  void releaseTry(const TryReport &Report);
  void note(const TryReport &Report, RetryDecision Verdict);

  KeyedServices &Services_;
  KeyedAdmission Admission_;
  RetryState Retry_;
  std::set<UpstreamId> Tried_;
  SharedSlot Held_;
  bool Holding_ = false;
};

} // namespace lagoonpoint
