#include "lagoonpoint/src/Retry/Retry.h"

namespace lagoonpoint {

namespace {

bool reachedNone(const TryOutcome &Outcome) {
  bool None = Outcome.End_ == TryEnd::NotConnected ||
              Outcome.End_ == TryEnd::NothingSent;
  return None && Outcome.BytesSent_ == 0;
}

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
  if (State.Tries_ - State.Unreached_ >= State.MaxTries_ ||
      State.Unreached_ >= MaxUnreached)
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
  bool Unreached = reachedNone(Outcome);
  State.Unreached_ += Unreached ? 1 : 0;
  State.MayHaveRun_ = State.MayHaveRun_ || mayHaveRun(Outcome);
  RetryVerdict Verdict = verdictOf(State, Outcome, Left);
  bool Spends = Verdict == RetryVerdict::Again && !Unreached;
  if (Spends && !takeRetry(Budget, Limits, Now))
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
