#include "lagoonpoint/src/Retry/Retry.h"

namespace lagoonpoint {

namespace {

RetryVerdict verdictOf(const RetryState &State, const TryOutcome &Outcome,
                       Duration Left) {
  if (Outcome.End_ == TryEnd::Answered)
    return RetryVerdict::Delivered;
  if (Outcome.End_ == TryEnd::CallerLeft)
    return RetryVerdict::CallerLeft;
  if (Outcome.AnswerBegun_)
    return RetryVerdict::AnswerBegun;
  if (State.MayHaveRun_ && State.Kind_ != RouteKind::Repeatable)
    return RetryVerdict::MayHaveRun;
  if (Outcome.End_ == TryEnd::TimedOut || Left < MinTimeForRetry)
    return RetryVerdict::NoTime;
  if (State.Tries_ >= MaxTries)
    return RetryVerdict::TooMany;
  return RetryVerdict::Again;
}

} // namespace

bool mayHaveRun(const TryOutcome &Outcome) {
  switch (Outcome.End_) {
  case TryEnd::Shed:
    return false;
  case TryEnd::Answered:
  case TryEnd::TimedOut:
  case TryEnd::Broken:
    return true;
  case TryEnd::NotConnected:
  case TryEnd::NothingSent:
  case TryEnd::CallerLeft:
    break;
  }
  // What was counted outweighs what the end is called.
  return Outcome.BytesSent_ > 0;
}

RetryVerdict tryEnded(RetryState &State, const TryOutcome &Outcome,
                      Duration Left, RetryBudget &Budget,
                      const RetryBudgetLimits &Limits, Time Now) {
  LAGOONPOINT_ASSERT(!State.Over_, "retry.ended");
  ++State.Tries_;
  State.MayHaveRun_ = State.MayHaveRun_ || mayHaveRun(Outcome);
  RetryVerdict Verdict = verdictOf(State, Outcome, Left);
  if (Verdict == RetryVerdict::Again && !takeRetry(Budget, Limits, Now))
    Verdict = RetryVerdict::NoBudget;
  State.Over_ = Verdict != RetryVerdict::Again;
  LAGOONPOINT_ASSERT(State.Over_ || !State.MayHaveRun_ ||
                         State.Kind_ == RouteKind::Repeatable,
                     "retry.verdict");
  return Verdict;
}

Ran ranOf(const RetryState &State) {
  return State.MayHaveRun_ ? Ran::Unknown : Ran::No;
}

} // namespace lagoonpoint
