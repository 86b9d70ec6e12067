#include "lagoonpoint/src/Retry/RetryBudget.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

void add(RetryBudget &B, const RetryBudgetLimits &Limits, double Retries) {
  B.Held_ = std::min(B.Held_ + Retries, Limits.MostHeld_);
}

void drip(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now) {
  if (Now <= B.Filled_)
    return;
  add(B, Limits, (Now - B.Filled_).inSeconds() * Limits.PerSecond_);
  B.Filled_ = Now;
}

} // namespace

void countRequest(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now) {
  drip(B, Limits, Now);
  add(B, Limits, Limits.Share_);
}

bool takeRetry(RetryBudget &B, const RetryBudgetLimits &Limits, Time Now) {
  drip(B, Limits, Now);
  if (B.Held_ < 1)
    return false;
  B.Held_ -= 1;
  LAGOONPOINT_ASSERT(B.Held_ >= 0, "retry.budget");
  return true;
}

} // namespace lagoonpoint
