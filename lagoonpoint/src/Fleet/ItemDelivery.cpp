#include "lagoonpoint/src/Fleet/ItemDelivery.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Assumed of an entry VM's link, which calls use too.
constexpr double BytesPerSecond = 100'000;
constexpr Duration MinTransferTime = Duration::millis(200);
/// Updates that were not sent for longer have been dropped.
constexpr Duration MaxTransferTime = Duration::seconds(2);
constexpr Duration MinRequestInterval = Duration::millis(400);
constexpr Duration MaxRequestInterval = Duration::millis(1600);

/// \returns whether an update may not have arrived yet.
bool isRecent(const ItemDelivery &Last, Time Now) {
  auto Transfer = Duration::millis(static_cast<std::int64_t>(
      1000 * static_cast<double>(Last.Bytes_) / BytesPerSecond));
  return Now - Last.SentAt_ <
         std::min(MinTransferTime + Transfer, MaxTransferTime);
}

} // namespace

Revision expectedRevision(const ItemDelivery &Last, Revision Reported,
                          Time Now) {
  bool CanApply = Reported >= Last.From_;
  return CanApply && isRecent(Last, Now) ? std::max(Reported, Last.To_)
                                         : Reported;
}

bool isOnItsWay(const ItemDelivery &Last, Revision Reported, Revision Wanted,
                Time Now) {
  return expectedRevision(Last, Reported, Now) >= Wanted;
}

bool beginRequest(ItemRequests &R, Time Now) {
  if (Now < R.NextAt_)
    return false;
  R.Interval_ =
      std::clamp(R.Interval_ * 2, MinRequestInterval, MaxRequestInterval);
  R.NextAt_ = Now + R.Interval_;
  return true;
}

} // namespace lagoonpoint
