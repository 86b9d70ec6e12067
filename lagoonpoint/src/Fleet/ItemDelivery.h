#pragma once

#include "lagoonpoint/Core"

#include <cstddef>

namespace lagoonpoint {

/// The last update of items that a core VM has sent to an entry VM.
struct ItemDelivery {
  Revision From_; ///< the entry VM needs at least this revision to apply it
  Revision To_;
  Time SentAt_;
  std::size_t Bytes_ = 0;
};

/// \returns the revision that the receiver of an update will have: what it
/// reported, or more if an update is on its way.
/// \ingroup Fleet
Revision expectedRevision(const ItemDelivery &Last, Revision Reported,
                          Time Now);

/// \returns whether an update to \p Wanted that an entry VM at \p Reported can
/// apply is on its way. Sending it again would delay both.
/// \ingroup Fleet
bool isOnItsWay(const ItemDelivery &Last, Revision Reported, Revision Wanted,
                Time Now);

/// When an entry VM may request items that it lacks. Requests become rarer
/// until an update is applied, because a large one takes long.
struct ItemRequests {
  Time NextAt_;
  Duration Interval_;
};

/// \returns whether items may be requested now, and counts it as done.
/// \ingroup Fleet
bool beginRequest(ItemRequests &R, Time Now);

} // namespace lagoonpoint
