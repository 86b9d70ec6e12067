#include "lagoonpoint/src/Gateway/FleetCall.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/src/Node/util/Labels.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Fraction of the latency objective that a call may wait for an upstream.
constexpr double MaxWaitFraction = 0.5;

TryOutcome outcomeOf(const TryReport &Report) {
  return {Report.Result_, Report.BytesSent_, Report.ResponseStarted_};
}

} // namespace

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

CallTarget FleetCall::nextTarget() {
  auto Wait = Duration::millis(static_cast<std::int64_t>(
      Admission_.Objective_.count() * MaxWaitFraction));
  SharedDispatchRequest Request{
      Admission_.Route_.Service_,
      Admission_.Object_,
      Admission_.Regions_,
      Tried_,
      Admission_.Priority_,
      std::min(Admission_.Deadline_, Admission_.Arrived_ + Wait),
      Admission_.Deadline_};
  Time RequestedAt = Services_.Clock_.now();
  try {
    Slot_ = Services_.Dispatcher_.acquire(Request);
    HoldsSlot_ = true;
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
  Services_.Dispatcher_.release(Admission_.Route_.Service_, Slot_, Report);
  Services_.Metrics_.add(Metric::Tries, {Admission_.Route_.Service_.str(),
                                         tryResultLabel(Report.Result_)});
}

void FleetCall::recordStatement(const UpstreamStatement &Statement) {
  Services_.Dispatcher_.recordStatement(Admission_.Route_.Service_, Slot_,
                                        Statement);
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
