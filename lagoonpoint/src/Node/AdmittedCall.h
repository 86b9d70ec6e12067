#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/Retry"
#include "lagoonpoint/src/Node/Dispatcher.h"
#include "lagoonpoint/src/Node/InForce.h"
#include "lagoonpoint/src/Node/MemberHost.h"
#include "lagoonpoint/src/Node/OnceHost.h"
#include "lagoonpoint/src/Node/RetryBudgets.h"
#include "lagoonpoint/src/Node/Steerer.h"
#include "lagoonpoint/src/Node/TeamLimits.h"

#include <chrono>

namespace lagoonpoint {

/// \class CallServices
/// \ingroup Node
/// \brief What calls need of this VM.
struct CallServices {
  const Settings &Settings_;
  const Clock &Clock_;
  TeamLimits &Limits_;
  Dispatcher &Dispatcher_;
  OnceHost &Once_;
  Steerer &Steerer_;
  MemberHost &Members_;
  RetryBudgets &Retries_;
  MetricRegistry &Metrics_;
};

/// What admission found out of a call.
struct Admission {
  std::shared_ptr<const InForce> InForce_;
  RouteDecl Route_;
  TeamId Team_; ///< empty on an open route
  unsigned Weight_ = 1;
  ZoneId Home_; ///< whose callers this one counts among
  Time Deadline_;
  bool Forwarded_ = false;
  std::string OnceKey_; ///< empty if the call has none
  OnceDecision Once_;   ///< Run, Forward or Stored if there is a key
};

/// \class AdmittedCall
/// \ingroup Node
/// \brief One admitted call: where its tries go, and what they leave behind.
class AdmittedCall final : public CallTicket {
public:
  AdmittedCall(CallServices &Services, Admission A);
  ~AdmittedCall() override;

  const RouteDecl &route() const override { return Admission_.Route_; }
  const TeamId &team() const override { return Admission_.Team_; }
  Time deadline() const override { return Admission_.Deadline_; }
  std::optional<StoredAnswer> stored() override;
  CallTarget next() override;
  bool ended(const TryReport &Report) override;
  void keep(const StoredAnswer &Answer) override;

private:
  using Steady = std::chrono::steady_clock;

  bool runsOnce() const;
  CallTarget choose();
  CallTarget forwardHome();
  CallTarget steer();
  CallTarget serveHere(const RegionId &Region);
  CallTarget sendAfar(const RegionId &Region);
  std::optional<CallTarget> otherZone(const RegionId &Region);
  DispatchWish wish() const;
  void takeRegion(const RegionId &Region);
  void takeLinks(const RegionId &Region);
  void releaseTry(const TryReport &Report);
  void closeOnce();
  void countEnd(const TryReport &Report, RetryDecision Verdict);
  RetryBudgets::Owner owner() const;
  RetryBudgetLimits budgetLimits() const;

  CallServices &Services_;
  Admission Admission_;
  RetryState Retry_;
  CallTarget Held_;
  RegionId HeldRegion_;
  bool Holding_ = false;
  bool OnceOpen_ = false; ///< a once-request whose outcome isn't told yet
  std::set<UpstreamId> TriedUpstreams_;
  std::set<VmId> TriedVms_;
  Steady::time_point Began_ = Steady::now();
  Steady::time_point TryBegan_;
};

} // namespace lagoonpoint
