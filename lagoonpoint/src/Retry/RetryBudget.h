#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// Limits of a retry budget.
/// \ingroup Retry
struct RetryBudgetLimits {
  double RetriesPerRequest_ = 0.1;
  double RetriesPerSecond_ = 0.1; ///< refill independent of requests
  double Capacity_ = 10;          ///< maximum balance
};

/// \class RetryBudget
/// \ingroup Retry
/// \brief Token bucket of the retries that one team may cause at one service.
///
/// Every request adds a fraction of a retry, which bounds the extra load on a
/// failing service. A slow refill over time lets a team with few requests retry
/// at all. A new budget holds a single retry, so that restarts cause no burst
/// of retries.
struct RetryBudget {
  double Balance_ = 1; ///< retries
  Time RefilledAt_;    ///< last refill over time
};

/// Adds RetriesPerRequest_ to the budget. Call it once per call, not per try.
/// \ingroup Retry
void countRequest(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now);

/// Takes one retry out of the budget.
/// \ingroup Retry
/// \returns false if the balance is below 1
bool takeRetry(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now);

/// \returns whether takeRetry() would succeed.
/// \ingroup Retry
bool hasRetry(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now);

} // namespace lagoonpoint
