#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"
#include "lagoonpoint/src/Retry/RetryBudget.h"
#include "lagoonpoint/src/Retry/TryResult.h"

#include <cstdint>

namespace lagoonpoint {

/// What is known of a try that has ended.
/// \ingroup Retry
struct TryOutcome {
  TryResult Result_ = TryResult::Answered;
  std::int64_t BytesSent_ = 0; ///< of the request, to the upstream
  bool ResponseStarted_ =
      false; ///< bytes of the answer have gone to the caller
};

/// Most tries of one call where nothing else is said, the first one included.
/// \ingroup Retry
constexpr unsigned MaxTries = 3;

/// Most tries of one call that reach no upstream: each may take as long as
/// connecting may.
/// \ingroup Retry
constexpr unsigned MaxUnreachedTries = 3;

/// \class RetryState
/// \ingroup Retry
/// \brief One call's tries so far.
struct RetryState {
  RouteKind Kind_ = RouteKind::Plain;
  unsigned Tries_ = 0;           ///< ended
  unsigned UnreachedTries_ = 0;  ///< of these: no byte reached an upstream
  unsigned MaxTries_ = MaxTries; ///< that reach an upstream
  bool MayHaveRun_ = false;      ///< at some upstream, in any of the tries
  bool Finished_ = false;        ///< no more tries
};

/// What follows a try.
/// \ingroup Retry
enum class RetryDecision {
  Retry,           ///< may be sent to another upstream
  Delivered,       ///< the caller has its answer
  CallerLeft,      ///< nobody waits for an answer
  ResponseStarted, ///< the caller holds a part of an answer
  MayHaveRun,      ///< a second run can't be excluded
  DeadlineTooNear, ///< the deadline is too near
  TooManyTries,    ///< most tries of one call reached
  BudgetExhausted, ///< the team's retry budget is used up
};

/// Less time than this until the deadline is not worth another try.
/// \ingroup Retry
constexpr Duration MinTimeForRetry = Duration::millis(5);

/// \returns true if the upstream may have run the request: a byte of it was
/// written, and the upstream didn't say that it shed it.
/// \ingroup Retry
bool mayHaveRun(const TryOutcome &Outcome);

/// Records the end of a try and decides whether another may follow. One that
/// reached no upstream costs nothing of the budget.
/// \ingroup Retry
/// \param Left time until the call's deadline
RetryDecision recordTry(RetryState &State, const TryOutcome &Outcome,
                        Duration Remaining, RetryBudget &Budget,
                        const RetryBudgetLimits &Limits, Time Now);

/// \returns what a refusal of this call may say.
/// \ingroup Retry
Ran ranOf(const RetryState &State);

} // namespace lagoonpoint
