#include "lagoonpoint/src/Retry/Retry.h"

namespace lagoonpoint {

namespace {

bool reachedNoUpstream(const TryOutcome &Outcome) {
  bool NoConnection = Outcome.Result_ == TryResult::NotConnected ||
                      Outcome.Result_ == TryResult::NothingSent;
  return NoConnection && Outcome.BytesSent_ == 0;
}

RetryDecision decide(const RetryState &State, const TryOutcome &Outcome,
                     Duration Remaining) {
  if (Outcome.Result_ == TryResult::Answered)
    return RetryDecision::Delivered;
  if (Outcome.Result_ == TryResult::CallerLeft)
    return RetryDecision::CallerLeft;
  if (Outcome.ResponseStarted_)
    return RetryDecision::ResponseStarted;
  if (State.MayHaveRun_ && State.Kind_ != RouteKind::Repeatable)
    return RetryDecision::MayHaveRun;
  if (Remaining < MinTimeForRetry)
    return RetryDecision::DeadlineTooNear;
  if (State.Tries_ - State.UnreachedTries_ >= State.MaxTries_ ||
      State.UnreachedTries_ >= MaxUnreachedTries)
    return RetryDecision::TooManyTries;
  return RetryDecision::Retry;
}

} // namespace

bool mayHaveRun(const TryOutcome &Outcome) {
  switch (Outcome.Result_) {
  case TryResult::Shed:
    return false;
  case TryResult::Answered:
  case TryResult::TimedOut:
  case TryResult::Broken:
    return true;
  case TryResult::NotConnected:
  case TryResult::NothingSent:
  case TryResult::CallerLeft:
    break;
  }
  // The byte count takes precedence over the reported result.
  return Outcome.BytesSent_ > 0;
}

RetryDecision recordTry(RetryState &State, const TryOutcome &Outcome,
                        Duration Remaining, RetryBudget &Budget,
                        const RetryBudgetLimits &Limits, Time Now) {
  LAGOONPOINT_ASSERT(!State.Finished_, "retry.ended");
  ++State.Tries_;
  bool Unreached = reachedNoUpstream(Outcome);
  State.UnreachedTries_ += Unreached ? 1 : 0;
  State.MayHaveRun_ = State.MayHaveRun_ || mayHaveRun(Outcome);
  RetryDecision Decision = decide(State, Outcome, Remaining);
  bool UsesBudget = Decision == RetryDecision::Retry && !Unreached;
  if (UsesBudget && !takeRetry(Budget, Limits, Now))
    Decision = RetryDecision::BudgetExhausted;
  State.Finished_ = Decision != RetryDecision::Retry;
  LAGOONPOINT_ASSERT(State.Finished_ || !State.MayHaveRun_ ||
                         State.Kind_ == RouteKind::Repeatable,
                     "retry.verdict");
  return Decision;
}

Ran ranOf(const RetryState &State) {
  return State.MayHaveRun_ ? Ran::Unknown : Ran::No;
}

} // namespace lagoonpoint
