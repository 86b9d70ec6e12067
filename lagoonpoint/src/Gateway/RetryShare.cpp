#include "lagoonpoint/src/Gateway/RetryShare.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Fractions of the fleet's retry ratio and retry slack that all VMs together
/// use.
constexpr double RatioFraction = 0.75;
constexpr double SlackFraction = 0.4;

} // namespace

RetryBudgetLimits retryShare(const FleetSettings &S, std::size_t EntryVms) {
  double Slack =
      EntryVms == 0 ? 0 : S.RetrySlack_ * SlackFraction / double(EntryVms);
  RetryBudgetLimits Out;
  Out.RetriesPerRequest_ = S.RetryRatio_ * RatioFraction;
  Out.RetriesPerSecond_ = Slack / S.RetryWindow_.inSeconds();
  Out.Capacity_ = std::max(1.0, Slack);
  return Out;
}

} // namespace lagoonpoint
