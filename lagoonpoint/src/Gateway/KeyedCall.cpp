#include "lagoonpoint/src/Gateway/KeyedCall.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/src/Node/util/Labels.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Part of the latency objective that a call may wait for an upstream.
constexpr double WaitedPart = 0.5;

TryOutcome outcomeOf(const TryReport &Report) {
  return {Report.End_, Report.BytesSent_, Report.AnswerBegun_};
}

} // namespace

KeyedCall::KeyedCall(KeyedServices &Services, KeyedAdmission A)
    : Services_(Services), Admission_(std::move(A)) {
  Retry_.Kind_ = Admission_.Route_.Kind_;
  Retry_.MaxTries_ = Admission_.MaxAttempts_;
  Services_.Retries_.countRequest(owner(), Services_.RetryLimits_(),
                                  Services_.Clock_.now());
}

KeyedCall::~KeyedCall() {
  if (Holding_)
    releaseTry({.End_ = TryResult::CallerLeft});
  if (Retry_.Tries_ == Retry_.UnreachedTries_)
    Services_.GiveBack_(Admission_.Team_);
  double Spent = (Services_.Clock_.now() - Admission_.Arrived_).inSeconds();
  Services_.Metrics_.observe(
      Metric::RequestSeconds,
      teamAndService(Admission_.Team_, Admission_.Route_.Service_), Spent);
}

/// Retries are limited per service, whoever asked.
RetryBudgets::Owner KeyedCall::owner() const {
  return {TeamId(), Admission_.Route_.Service_};
}

CallTarget KeyedCall::next() {
  auto Wait = Duration::millis(
      static_cast<std::int64_t>(Admission_.Objective_.count() * WaitedPart));
  SharedWish Wish{Admission_.Route_.Service_,
                  Admission_.Object_,
                  Admission_.Regions_,
                  Tried_,
                  Admission_.Priority_,
                  std::min(Admission_.Deadline_, Admission_.Arrived_ + Wait),
                  Admission_.Deadline_};
  Time Asked = Services_.Clock_.now();
  try {
    Held_ = Services_.Dispatcher_.acquire(Wish);
    Holding_ = true;
    if (Admission_.Keyed_)
      Services_.CheckKeys_(Admission_.Team_);
  } catch (const Refusal &R) {
    countRefusal(Services_.Metrics_, Admission_.Team_, R.reason(),
                 ranOf(Retry_));
    log({.Level_ = LogLevel::Warning,
         .Step_ = "call.refuse",
         .Message_ = std::string(toString(R.reason())) + ": " + R.message() +
                     "; waited " +
                     std::to_string((Services_.Clock_.now() - Asked).count()) +
                     " ms, service " + Admission_.Route_.Service_.str(),
         .Team_ = Admission_.Team_,
         .Request_ = Admission_.Request_});
    throw Refusal(R.reason(), ranOf(Retry_), R.step(), R.message(),
                  R.retryAfter());
  }
  Tried_.insert(Held_.Target_.Upstream_);
  Services_.Metrics_.observe(
      Metric::QueueSeconds,
      teamAndService(Admission_.Team_, Admission_.Route_.Service_),
      (Services_.Clock_.now() - Asked).inSeconds());
  return Held_.Target_;
}

void KeyedCall::releaseTry(const TryReport &Report) {
  Holding_ = false;
  Services_.Dispatcher_.release(Admission_.Route_.Service_, Held_, Report);
  Services_.Metrics_.add(
      Metric::Tries, {Admission_.Route_.Service_.str(), nameOf(Report.End_)});
}

bool KeyedCall::ended(const TryReport &Report) {
  releaseTry(Report);
  Time Now = Services_.Clock_.now();
  RetryDecision Verdict = Services_.Retries_.tryEnded(
      owner(), Retry_, outcomeOf(Report), Admission_.Deadline_ - Now,
      Services_.RetryLimits_(), Now);
  note(Report, Verdict);
  return Verdict == RetryDecision::Retry;
}

void KeyedCall::note(const TryReport &Report, RetryDecision Verdict) {
  LabelValues Labels =
      teamAndService(Admission_.Team_, Admission_.Route_.Service_);
  if (Verdict == RetryDecision::Retry)
    Services_.Metrics_.add(Metric::Retries, Labels);
  bool Delivered = Verdict == RetryDecision::Delivered;
  if (Delivered) {
    Labels.push_back(statusClass(Report.Status_));
    Services_.Metrics_.add(Metric::Requests, Labels);
  }
  log({.Level_ = Delivered ? LogLevel::Debug : LogLevel::Warning,
       .Step_ = "call.try",
       .Message_ = std::string(nameOf(Report.End_)) + ", status " +
                   std::to_string(Report.Status_) + ", " +
                   std::to_string(Report.Micros_ / 1000) + " ms, try " +
                   std::to_string(Retry_.Tries_) +
                   (Verdict == RetryDecision::Retry ? ", tried again" : ""),
       .Peer_ = Held_.Target_.Upstream_.str(),
       .Team_ = Admission_.Team_,
       .Request_ = Admission_.Request_});
}

} // namespace lagoonpoint
