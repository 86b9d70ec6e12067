#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"
#include "lagoonpoint/src/Retry/RetryBudget.h"
#include "lagoonpoint/src/Retry/TryResult.h"

#include <cstdint>

namespace lagoonpoint {

/// What is known about a finished try.
/// \ingroup Retry
struct TryOutcome {
  TryResult Result_ = TryResult::Answered;
  std::int64_t BytesSent_ = 0;   ///< of the request to the upstream
  bool ResponseStarted_ = false; ///< response bytes were sent to the caller
};

/// Default maximum number of tries of one call that reach an upstream, the
/// first one included.
/// \ingroup Retry
constexpr unsigned MaxTries = 3;

/// Maximum number of tries of one call that reach no upstream. They are limited
/// because each may last until the connect time-out.
/// \ingroup Retry
constexpr unsigned MaxUnreachedTries = 3;

/// \class RetryState
/// \ingroup Retry
/// \brief State of a call's tries.
struct RetryState {
  RouteKind Kind_ = RouteKind::Plain;
  unsigned Tries_ = 0; ///< finished tries
  unsigned UnreachedTries_ =
      0; ///< of these: none of their bytes reached an upstream
  unsigned MaxTries_ = MaxTries; ///< limit on tries that reach an upstream
  bool MayHaveRun_ = false;      ///< in any of the tries
  bool Finished_ = false;        ///< no more tries will follow
};

/// Whether another try follows, and if not, why.
/// \ingroup Retry
enum class RetryDecision {
  Retry,           ///< the call may be sent to another upstream
  Delivered,       ///< the caller has the response
  CallerLeft,      ///< no caller waits for the response
  ResponseStarted, ///< the caller has received part of a response
  MayHaveRun,      ///< a second run can't be excluded
  DeadlineTooNear, ///< passed, or less than MinTimeForRetry is left
  TooManyTries,    ///< the call has reached its limit of tries
  BudgetExhausted, ///< the team's retry budget is exhausted
};

/// Minimum time until the deadline for another try.
/// \ingroup Retry
constexpr Duration MinTimeForRetry = Duration::millis(5);

/// \returns true if the upstream may have run the request: bytes of it were
/// written, and the upstream did not report it as shed.
/// \ingroup Retry
bool mayHaveRun(const TryOutcome &Outcome);

/// Records a finished try and decides whether another one may follow. Repeating
/// a try that reached no upstream takes nothing from the budget.
/// \ingroup Retry
/// \param Remaining time until the call's deadline
RetryDecision recordTry(RetryState &State, const TryOutcome &Outcome,
                        Duration Remaining, RetryBudget &Budget,
                        const RetryBudgetLimits &Limits, Time Now);

/// \returns whether a refusal of this call may report it as not run.
/// \ingroup Retry
Ran ranOf(const RetryState &State);

} // namespace lagoonpoint
