#include "lagoonpoint/src/Gateway/FleetCall.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/src/Core/util/StableHash.h"
#include "lagoonpoint/src/Node/util/Labels.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// Fraction of the latency objective that a call may wait for an upstream.
constexpr double MaxWaitFraction = 0.5;

/// A try is given up only if this part of the expected run time is left for
/// another one, in percent.
constexpr std::int64_t NextRunPercent = 150;
/// Requests for a slot per try. The second one follows if this VM's own state
/// forbids the upstream that was granted first.
constexpr unsigned MaxSlotRequests = 2;

RunResult runResultOf(const TryReport &Report) {
  switch (Report.Result_) {
  case TryResult::Answered:
    return Report.Status_ >= 500 ? RunResult::Failed : RunResult::Answered;
  case TryResult::NotConnected:
    return RunResult::NotConnected;
  case TryResult::Shed:
    return RunResult::Shed;
  case TryResult::TimedOut:
    return RunResult::TimedOut;
  case TryResult::Broken:
    return RunResult::Broken;
  case TryResult::NothingSent: // an idle connection was closed
  case TryResult::CallerLeft:
    break;
  }
  return RunResult::Unused;
}

RunReport runReportOf(const TryReport &Report, bool Held) {
  RunReport Out;
  Out.Result_ = runResultOf(Report);
  Out.Run_ = Duration::millis(Report.Micros_ / 1000);
  if (Report.Load_) {
    Out.Load_ = double(Report.Load_->Running_) + Report.Load_->Waiting_;
    Out.Pace_ = Report.Load_->PacePercent_.value_or(0) / 100.0;
  }
  Out.Held_ = Held;
  return Out;
}

/// \returns a number from 0 to 1 that differs between calls
double drawOf(const RequestId &Id) {
  std::uint64_t Hash = internal::mixBits(internal::stableHash(Id.str()));
  return std::ldexp(double(Hash), -64);
}

TryOutcome outcomeOf(const TryReport &Report) {
  return {Report.Result_, Report.BytesSent_, Report.ResponseStarted_};
}

} // namespace

Refusal withReturnTime(const Refusal &R, const FleetCallAdmission &A,
                       Ran RanState, MetricRegistry &Metrics, Time Now) {
  Duration After = R.retryAfter();
  if (After > Duration() && RanState == Ran::No) {
    Duration ObjectiveLeft =
        A.Arrived_ - A.SinceFirstRequest_ + A.Objective_ - Now;
    double Spread = drawOf(A.Request_);
    Duration TimeLeft =
        A.StatedDeadline_ ? *A.StatedDeadline_ - Now : Duration();
    After = returnDelay({After, TimeLeft, A.Objective_, ObjectiveLeft}, Spread);
    Metrics.observe(Metric::ReturnSeconds, {toString(R.reason())},
                    After.inSeconds());
  }
  return Refusal(R.reason(), RanState, R.step(), R.message(), After);
}

FleetCall::FleetCall(FleetCallServices &Services, FleetCallAdmission A)
    : Services_(Services), Admission_(std::move(A)) {
  Retry_.Kind_ = Admission_.Route_.Kind_;
  Retry_.MaxTries_ = Admission_.MaxAttempts_;
  Services_.Retries_.countRequest(budgetOwner(), Services_.RetryLimits_(),
                                  Services_.Clock_.now());
}

FleetCall::~FleetCall() {
  if (HoldsSlot_)
    releaseSlot({.Result_ = TryResult::CallerLeft});
  if (Retry_.Tries_ == Retry_.UnreachedTries_)
    Services_.ReturnToken_(Admission_.Team_);
  double Seconds = (Services_.Clock_.now() - Admission_.Arrived_).inSeconds();
  Services_.Metrics_.observe(
      Metric::RequestSeconds,
      teamServiceLabels(Admission_.Team_, Admission_.Route_.Service_), Seconds);
}

/// The retry budget is per service, independent of the team.
RetryBudgets::Owner FleetCall::budgetOwner() const {
  return {TeamId(), Admission_.Route_.Service_};
}

/// \returns what the call needs of a pool
SlotCall FleetCall::makeSlotCall() const {
  const FleetCallAdmission &A = Admission_;
  SlotCall C;
  C.Service_ = A.Route_.Service_;
  C.Regions_ = A.Regions_;
  C.Spread_ = A.Request_.str();
  C.Demand_.Route_ = A.Route_.Name_;
  C.Demand_.Object_ = A.Object_;
  C.Demand_.Team_ = A.Team_;
  C.Demand_.Priority_ = A.Priority_;
  C.Demand_.Deadline_ = A.Deadline_;
  C.Demand_.CallerDeadline_ = A.CallerDeadline_;
  C.Demand_.ObjectiveAt_ =
      A.Objective_ > Duration()
          ? A.Arrived_ - A.SinceFirstRequest_ + A.Objective_
          : A.Deadline_;
  C.Demand_.IsRetry_ = A.SinceFirstRequest_ > Duration();
  C.Demand_.Excluded_ = Tried_;
  return C;
}

/// Asks the holder of the call's pool for a slot.
/// \returns nothing if the call has to be placed without it
std::optional<SharedSlot> FleetCall::acquireGranted(SlotCall C) {
  SlotClient &Client = Services_.Placement_.client();
  for (unsigned N = 0; N < MaxSlotRequests; ++N) {
    SlotOutcome O = Client.request(C);
    if (O.Kind_ == SlotOutcome::Kind::Unavailable)
      return {};
    if (O.Kind_ == SlotOutcome::Kind::Refused)
      throw Refusal(RefusalReason::NoCapacity, Ran::No, "call.dispatch",
                    O.Explanation_, O.RetryAfter_);
    const UpstreamId &Upstream = O.Slot_.Upstream_;
    auto Slot = Services_.Dispatcher_.reserveGranted(C.Service_, Upstream,
                                                     O.Slot_.StartedAtMs_);
    if (Slot && !Tried_.count(Upstream)) {
      Granted_ = std::move(O.Slot_);
      return Slot;
    }
    Client.release(O.Slot_, {.Result_ = RunResult::Unused});
    C.Demand_.Excluded_.insert(Upstream);
  }
  Services_.Metrics_.add(Metric::SlotFallbacks,
                         {C.Service_.str(), "own_state"});
  return {};
}

SharedSlot FleetCall::acquireSlot() {
  std::set<UpstreamId> Only;
  if (Services_.Placement_.isActive()) {
    SlotCall C = makeSlotCall();
    if (auto Slot = acquireGranted(C))
      return *Slot;
    // The upstreams at which the object is warm belong to its pool.
    Only = Services_.Placement_.client().poolMembers(C);
  }
  auto Wait = Duration::millis(static_cast<std::int64_t>(
      Admission_.Objective_.count() * MaxWaitFraction));
  SharedDispatchRequest Request{
      Admission_.Route_.Service_,
      Admission_.Object_,
      Admission_.Regions_,
      Tried_,
      Admission_.Priority_,
      std::min(Admission_.Deadline_, Admission_.Arrived_ + Wait),
      Admission_.Deadline_,
      std::move(Only)};
  return Services_.Dispatcher_.acquire(Request);
}

/// \returns when a try that takes far too long is given up, so that another
/// run of the call can still complete.
std::optional<Time> FleetCall::limitOfTry() const {
  bool MayRetry = Admission_.Route_.Kind_ == RouteKind::Repeatable &&
                  Retry_.Tries_ + 1 - Retry_.UnreachedTries_ < Retry_.MaxTries_;
  if (!Granted_ || !MayRetry || Granted_->RunLimit_ <= Duration())
    return {};
  Time At = Slot_.AcquiredAt_ + Granted_->RunLimit_;
  Duration NextRun = Granted_->ExpectedRun_ * NextRunPercent / 100;
  if (At + NextRun > Admission_.Deadline_ ||
      !Services_.Retries_.hasRetry(budgetOwner(), Services_.RetryLimits_(),
                                   Services_.Clock_.now()))
    return {};
  return At;
}

CallTarget FleetCall::nextTarget() {
  Time RequestedAt = Services_.Clock_.now();
  try {
    Slot_ = acquireSlot();
    HoldsSlot_ = true;
    Held_ = false;
    TryDeadline_ = limitOfTry();
    if (Admission_.Authenticated_)
      Services_.CheckKeys_(Admission_.Team_);
  } catch (const Refusal &R) {
    countRefusal(Services_.Metrics_, Admission_.Team_, R.reason(),
                 ranOf(Retry_));
    log({.Level_ = LogLevel::Warning,
         .Step_ = "call.refuse",
         .Message_ =
             std::string(toString(R.reason())) + ": " + R.message() +
             "; waited " +
             std::to_string((Services_.Clock_.now() - RequestedAt).count()) +
             " ms, service " + Admission_.Route_.Service_.str(),
         .Team_ = Admission_.Team_,
         .Request_ = Admission_.Request_});
    if (Services_.SetsReturnTimes_)
      throw withReturnTime(R, Admission_, ranOf(Retry_), Services_.Metrics_,
                           Services_.Clock_.now());
    throw Refusal(R.reason(), ranOf(Retry_), R.step(), R.message(),
                  R.retryAfter());
  }
  Tried_.insert(Slot_.Target_.Upstream_);
  Services_.Metrics_.observe(
      Metric::QueueSeconds,
      teamServiceLabels(Admission_.Team_, Admission_.Route_.Service_),
      (Services_.Clock_.now() - RequestedAt).inSeconds());
  return Slot_.Target_;
}

void FleetCall::releaseSlot(const TryReport &Report) {
  HoldsSlot_ = false;
  Services_.LoadSharing_.recordTry(
      Report,
      Services_.Dispatcher_.release(Admission_.Route_.Service_, Slot_, Report));
  if (Granted_)
    Services_.Placement_.client().release(*Granted_,
                                          runReportOf(Report, Held_));
  Granted_.reset();
  if (Report.Load_ && Report.Load_->PacePercent_)
    Services_.Placement_.recordPace();
  Services_.Metrics_.add(Metric::Tries, {Admission_.Route_.Service_.str(),
                                         tryResultLabel(Report.Result_)});
}

void FleetCall::recordStatement(const UpstreamStatement &Statement) {
  Services_.Dispatcher_.recordStatement(Admission_.Route_.Service_, Slot_,
                                        Statement);
  Held_ = Held_ || Statement.RequestsPerSecond_ || Statement.Leaving_ ||
          Statement.Pause_;
  if (Statement.Leaving_)
    Services_.MarkLeaving_(Slot_);
}

bool FleetCall::recordTry(const TryReport &Report) {
  releaseSlot(Report);
  Time Now = Services_.Clock_.now();
  RetryDecision Decision = Services_.Retries_.recordTry(
      budgetOwner(), Retry_, outcomeOf(Report), Admission_.Deadline_ - Now,
      Services_.RetryLimits_(), Now);
  reportTry(Report, Decision);
  return Decision == RetryDecision::Retry;
}

void FleetCall::reportTry(const TryReport &Report, RetryDecision Decision) {
  LabelValues Labels =
      teamServiceLabels(Admission_.Team_, Admission_.Route_.Service_);
  if (Decision == RetryDecision::Retry)
    Services_.Metrics_.add(Metric::Retries, Labels);
  bool Delivered = Decision == RetryDecision::Delivered;
  if (Delivered) {
    Labels.push_back(statusClass(Report.Status_));
    Services_.Metrics_.add(Metric::Requests, Labels);
  }
  log({.Level_ = Delivered ? LogLevel::Debug : LogLevel::Warning,
       .Step_ = "call.try",
       .Message_ = std::string(tryResultLabel(Report.Result_)) + ", status " +
                   std::to_string(Report.Status_) + ", " +
                   std::to_string(Report.Micros_ / 1000) + " ms, try " +
                   std::to_string(Retry_.Tries_) +
                   (Decision == RetryDecision::Retry ? ", retrying" : ""),
       .Peer_ = Slot_.Target_.Upstream_.str(),
       .Team_ = Admission_.Team_,
       .Request_ = Admission_.Request_});
}

} // namespace lagoonpoint
