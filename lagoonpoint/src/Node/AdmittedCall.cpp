#include "lagoonpoint/src/Node/AdmittedCall.h"

#include "lagoonpoint/src/Node/util/CallSize.h"
#include "lagoonpoint/src/Node/util/Labels.h"

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.steer";
/// Longest wait for a lease on the capacity of a region or link.
constexpr Duration MaxCapacityWait = Duration::millis(100);

double elapsedSeconds(std::chrono::steady_clock::time_point Start) {
  std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Start;
  return Elapsed.count();
}

UpstreamOutcome outcomeOf(TryResult Result) {
  switch (Result) {
  case TryResult::Answered:
    return UpstreamOutcome::Answered;
  case TryResult::NotConnected:
    return UpstreamOutcome::Refused;
  case TryResult::NothingSent:
  case TryResult::Broken:
    return UpstreamOutcome::Broken;
  case TryResult::Shed:
    return UpstreamOutcome::Shed;
  case TryResult::TimedOut:
    return UpstreamOutcome::TimedOut;
  case TryResult::CallerLeft:
    break;
  }
  return UpstreamOutcome::Inconclusive;
}

TryOutcome tryOutcomeOf(const TryReport &Report) {
  return {Report.Result_, Report.BytesSent_, Report.ResponseStarted_};
}

} // namespace

AdmittedCall::AdmittedCall(CallServices &Services, Admission A)
    : Services_(Services), Admission_(std::move(A)) {
  Retry_.Kind_ = Admission_.Route_.Kind_;
  OncePending_ = holdsOnceClaim();
  Services_.RetryBudgets_.countRequest(budgetOwner(), budgetLimits(),
                                       Services_.Clock_.now());
  Services_.Metrics_.add(
      Metric::InFlight,
      teamServiceLabels(Admission_.Team_, Admission_.Route_.Service_));
}

AdmittedCall::~AdmittedCall() {
  if (TryActive_) {
    // The result of the try was never recorded, so the request may have run.
    Retry_.MayHaveRun_ = true;
    finishTry({.Result_ = TryResult::CallerLeft});
  }
  finishOnce();
  LabelValues Labels =
      teamServiceLabels(Admission_.Team_, Admission_.Route_.Service_);
  Services_.Metrics_.add(Metric::InFlight, Labels, -1);
  Services_.Metrics_.observe(Metric::RequestSeconds, Labels,
                             elapsedSeconds(StartedAt_));
}

bool AdmittedCall::holdsOnceClaim() const {
  return !Admission_.OnceKey_.empty() &&
         Admission_.OnceDecision_.Action_ == OnceAction::Run;
}

RetryBudgets::Owner AdmittedCall::budgetOwner() const {
  return {Admission_.Team_, Admission_.Route_.Service_};
}

RetryBudgetLimits AdmittedCall::budgetLimits() const {
  RetryBudgetLimits Limits;
  Limits.RetriesPerRequest_ =
      Admission_.Active_->Declarations_.Fleet_.RetryBudget_;
  return Limits;
}

std::optional<StoredResponse> AdmittedCall::storedResponse() {
  if (Admission_.OnceDecision_.Action_ != OnceAction::Replay)
    return std::nullopt;
  const OnceResponse &Response = Admission_.OnceDecision_.Response_;
  return StoredResponse{Response.Status_, Response.Headers_, Response.Body_};
}

CallTarget AdmittedCall::nextTarget() {
  auto RequestedAt = Steady::now();
  try {
    Target_ = chooseTarget();
  } catch (const Refusal &R) {
    countRefusal(Services_.Metrics_, Admission_.Team_, R.reason(),
                 ranOf(Retry_));
    throw Refusal(R.reason(), ranOf(Retry_), R.step(), R.message(),
                  R.retryAfter());
  }
  TryActive_ = true;
  TryStartedAt_ = Steady::now();
  Services_.Metrics_.observe(
      Metric::QueueSeconds,
      teamServiceLabels(Admission_.Team_, Admission_.Route_.Service_),
      elapsedSeconds(RequestedAt));
  return Target_;
}

CallTarget AdmittedCall::chooseTarget() {
  if (Admission_.OnceDecision_.Action_ == OnceAction::Forward &&
      !Admission_.OnceKey_.empty())
    return forwardToHomeVm();
  // Only VMs of the key's home zone may dispatch a once-request, and only this
  // VM holds the claim.
  if (Admission_.Forwarded_ || holdsOnceClaim()) {
    // The VM that forwarded a call has already taken the capacity for it,
    // except for once-requests.
    if (holdsOnceClaim())
      takeRegionCapacity(Services_.Settings_.Region_);
    CallTarget Target = Services_.Dispatcher_.acquire(dispatchRequest());
    TriedUpstreams_.insert(Target.Upstream_);
    return Target;
  }
  return steer();
}

CallTarget AdmittedCall::forwardToHomeVm() {
  const VmId &Home = Admission_.OnceDecision_.ForwardTo_;
  const auto &Vms = Admission_.Active_->Declarations_.Vms_;
  auto Found = Vms.find(Home);
  if (Found == Vms.end() || !TriedVms_.insert(Home).second)
    throw Refusal(RefusalReason::OnceHomeUnreachable, Ran::No, Step,
                  "the home VM of this idempotency key can't be reached",
                  Duration::seconds(1));
  return {{}, Home, Found->second.Callers_};
}

CallTarget AdmittedCall::steer() {
  RegionId Region = Services_.Steering_.chooseRegion(Admission_.Route_.Service_,
                                                     Admission_.CallerZone_);
  takeRegionCapacity(Region);
  TargetRegion_ = Region;
  if (Region == Services_.Settings_.Region_)
    return serveInOwnRegion(Region);
  return forwardToRegion(Region);
}

void AdmittedCall::takeRegionCapacity(const RegionId &Region) {
  Time Deadline =
      std::min(Admission_.Deadline_, Services_.Clock_.now() + MaxCapacityWait);
  try {
    Services_.Limits_.take(regionCapacity(Region), 1, Deadline);
  } catch (const Refusal &R) {
    throw Refusal(RefusalReason::NoCapacity, Ran::No, Step,
                  "region " + Region.str() + " is at its capacity",
                  R.retryAfter());
  }
}

void AdmittedCall::takeLinkCapacity(const RegionId &Region) {
  const RegionId &Own = Services_.Settings_.Region_;
  Time Deadline =
      std::min(Admission_.Deadline_, Services_.Clock_.now() + MaxCapacityWait);
  CallBytes Bytes =
      Services_.Steering_.expectedBytes(Admission_.Route_.Service_);
  try {
    Services_.Limits_.take(linkBytes(Own, Region),
                           Bytes.Request_ / LinkUnitBytes, Deadline);
    Services_.Limits_.take(linkBytes(Region, Own),
                           Bytes.Response_ / LinkUnitBytes, Deadline);
  } catch (const Refusal &R) {
    throw Refusal(RefusalReason::LinkFull, Ran::No, Step,
                  "the link to region " + Region.str() + " is at its cap",
                  R.retryAfter());
  }
}

/// Order of preference: a free slot in this zone, another zone of the region,
/// this zone's queue. A drained zone skips the first step.
CallTarget AdmittedCall::serveInOwnRegion(const RegionId &Region) {
  DispatchRequest Request = dispatchRequest();
  std::optional<CallTarget> Target;
  if (!drainsToOtherZone(*Admission_.Active_, Services_.Settings_.Zone_))
    Target = Services_.Dispatcher_.tryAcquire(Request);
  if (!Target)
    if (auto Other = forwardToOtherZone(Region))
      return *Other;
  if (!Target)
    Target = Services_.Dispatcher_.acquire(Request);
  TriedUpstreams_.insert(Target->Upstream_);
  return *Target;
}

CallTarget AdmittedCall::forwardToRegion(const RegionId &Region) {
  takeLinkCapacity(Region);
  if (auto Target = forwardToOtherZone(Region))
    return *Target;
  throw Refusal(RefusalReason::NoUpstream, Ran::No, Step,
                "no VM of region " + Region.str() + " takes this call",
                Duration::seconds(1));
}

std::optional<CallTarget>
AdmittedCall::forwardToOtherZone(const RegionId &Region) {
  auto Fleet = Services_.Members_.view();
  std::optional<VmId> Vm = Services_.Steering_.forwardVm(
      Admission_.Route_.Service_, Region, *Fleet, TriedVms_);
  if (!Vm)
    return std::nullopt;
  TriedVms_.insert(*Vm);
  const auto &Vms = Admission_.Active_->Declarations_.Vms_;
  return CallTarget{{}, *Vm, Vms.at(*Vm).Callers_};
}

DispatchRequest AdmittedCall::dispatchRequest() const {
  DispatchRequest Request;
  Request.Service_ = Admission_.Route_.Service_;
  Request.Team_ = Admission_.Team_;
  Request.Weight_ = Admission_.Weight_;
  Request.Tried_ = TriedUpstreams_;
  Request.MayProbe_ = Admission_.Route_.Kind_ == RouteKind::Repeatable;
  Request.Deadline_ = Admission_.Deadline_;
  return Request;
}

void AdmittedCall::finishTry(const TryReport &Report) {
  TryActive_ = false;
  Duration ServiceTime = Duration::millis(Report.Micros_ / 1000);
  const ServiceId &Service = Admission_.Route_.Service_;
  if (Target_.Vm_.empty())
    Services_.Dispatcher_.release(Service, Target_.Upstream_,
                                  outcomeOf(Report.Result_), ServiceTime);
  if (Report.Result_ == TryResult::Answered)
    Services_.Steering_.recordBytes(
        Service, {double(Report.BytesSent_), double(Report.BytesReceived_)});
  Services_.Metrics_.observe(Metric::TrySeconds,
                             {Service.str(), TargetRegion_.str()},
                             elapsedSeconds(TryStartedAt_));
  Services_.Metrics_.add(Metric::Tries,
                         {Service.str(), tryResultLabel(Report.Result_)});
}

bool AdmittedCall::recordTry(const TryReport &Report) {
  finishTry(Report);
  Time Now = Services_.Clock_.now();
  RetryDecision Decision = Services_.RetryBudgets_.recordTry(
      budgetOwner(), Retry_, tryOutcomeOf(Report), Admission_.Deadline_ - Now,
      budgetLimits(), Now);
  countDecision(Report, Decision);
  if (Decision == RetryDecision::Retry)
    return true;
  finishOnce();
  return false;
}

void AdmittedCall::countDecision(const TryReport &Report,
                                 RetryDecision Decision) {
  LabelValues Labels =
      teamServiceLabels(Admission_.Team_, Admission_.Route_.Service_);
  if (Decision == RetryDecision::Retry) {
    Services_.Metrics_.add(Metric::Retries, Labels);
  } else if (Decision == RetryDecision::Delivered) {
    Labels.push_back(statusClass(Report.Status_));
    Services_.Metrics_.add(Metric::Requests, Labels);
  } else if (Decision != RetryDecision::CallerLeft) {
    bool TimedOut = Report.Result_ == TryResult::TimedOut;
    countRefusal(Services_.Metrics_, Admission_.Team_,
                 TimedOut ? RefusalReason::DeadlinePassed
                          : RefusalReason::UpstreamFailed,
                 ranOf(Retry_));
  }
}

void AdmittedCall::storeResponse(const StoredResponse &Response) {
  if (!OncePending_)
    return;
  OncePending_ = false;
  Services_.Once_.recordResponse(
      Admission_.OnceKey_,
      {Response.Status_, Response.Headers_, Response.Body_});
}

/// Records the outcome of a once-request for which no response was stored.
void AdmittedCall::finishOnce() {
  if (!OncePending_)
    return;
  OncePending_ = false;
  if (ranOf(Retry_) == Ran::No)
    Services_.Once_.recordNotRun(Admission_.OnceKey_);
  else
    Services_.Once_.recordUnknown(Admission_.OnceKey_);
}

} // namespace lagoonpoint
