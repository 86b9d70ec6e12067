#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// Limits of a retry budget.
/// \ingroup Retry
struct RetryBudgetLimits {
  double RetriesPerRequest_ = 0.1; ///< retries per request
  double RetriesPerSecond_ = 0.1; ///< retries per second, whatever the requests
  double Capacity_ = 10;          ///< retries that can be saved up
};

/// \class RetryBudget
/// \ingroup Retry
/// \brief How many retries one team may still cause at one service.
///
/// Every request adds a fraction of a retry, so that a failing service gets at
/// most that much more load; a slow drip lets a team with few requests retry
/// at all. A new budget holds one retry: restarts mint no burst.
struct RetryBudget {
  double Balance_ = 1; ///< retries
  Time RefilledAt_;    ///< when the drip was added last
};

/// Counts a first try.
/// \ingroup Retry
void countRequest(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now);

/// Takes one retry out of the budget.
/// \ingroup Retry
/// \returns false if less than one is held
bool takeRetry(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now);

} // namespace lagoonpoint
