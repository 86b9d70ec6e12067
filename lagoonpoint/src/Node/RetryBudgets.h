#pragma once

#include "lagoonpoint/Retry"

#include <map>
#include <mutex>
#include <utility>

namespace lagoonpoint {

/// \class RetryBudgets
/// \ingroup Node
/// \brief The retry budgets of all teams and services. Thread-safe.
class RetryBudgets {
public:
  using Owner = std::pair<TeamId, ServiceId>;

  /// Counts a first try.
  void countRequest(const Owner &O, const RetryBudgetLimits &Limits, Time Now) {
    std::lock_guard Guard(Lock_);
    lagoonpoint::countRequest(Budgets_[O], Limits, Now);
  }

  /// Records the result of a try and decides whether the call may be retried.
  RetryDecision recordTry(const Owner &O, RetryState &State,
                          const TryOutcome &Outcome, Duration Remaining,
                          const RetryBudgetLimits &Limits, Time Now) {
    std::lock_guard Guard(Lock_);
    return lagoonpoint::recordTry(State, Outcome, Remaining, Budgets_[O],
                                  Limits, Now);
  }

  /// \returns whether the budget allows a retry at present.
  bool hasRetry(const Owner &O, const RetryBudgetLimits &Limits, Time Now) {
    std::lock_guard Guard(Lock_);
    return lagoonpoint::hasRetry(Budgets_[O], Limits, Now);
  }

private:
  std::mutex Lock_;
  std::map<Owner, RetryBudget> Budgets_;
};

} // namespace lagoonpoint
