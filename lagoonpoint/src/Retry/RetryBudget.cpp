#include "lagoonpoint/src/Retry/RetryBudget.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

void credit(RetryBudget &B, const RetryBudgetLimits &Limits, double Retries) {
  B.Balance_ = std::min(B.Balance_ + Retries, Limits.Capacity_);
}

void refill(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now) {
  if (Now <= B.RefilledAt_)
    return;
  credit(B, Limits,
         (Now - B.RefilledAt_).inSeconds() * Limits.RetriesPerSecond_);
  B.RefilledAt_ = Now;
}

} // namespace

void countRequest(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now) {
  refill(B, Limits, Now);
  credit(B, Limits, Limits.RetriesPerRequest_);
}

bool hasRetry(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now) {
  refill(B, Limits, Now);
  return B.Balance_ >= 1;
}

bool takeRetry(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now) {
  if (!hasRetry(B, Limits, Now))
    return false;
  B.Balance_ -= 1;
  LAGOONPOINT_ASSERT(B.Balance_ >= 0, "retry.budget");
  return true;
}

} // namespace lagoonpoint
