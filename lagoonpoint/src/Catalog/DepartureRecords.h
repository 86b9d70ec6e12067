#pragma once

#include "lagoonpoint/src/Catalog/UpstreamNotice.h"

#include <map>

namespace lagoonpoint {

/// A departure of an upstream in the replicated log.
struct RecordedDeparture {
  UpstreamNotice Notice_;         ///< phase Leaving or Gone
  std::int64_t RecordedAtMs_ = 0; ///< Unix time in ms at the VM that did it
  MSGPACK_DEFINE(Notice_, RecordedAtMs_)
};

/// \class DepartureRecords
/// \ingroup Catalog
/// \brief The departures of the last minutes, so that an announcement that was
/// sent before one is recognized as older after all VMs were restarted.
using DepartureRecords = std::map<UpstreamId, RecordedDeparture>;

/// A record is removed once another one is later or earlier by more than this.
/// Announcements take seconds to arrive, wall clocks differ by seconds.
inline constexpr Duration DepartureRecordRetention = Duration::seconds(120);

/// Adds a departure, unless it is known already, and removes old ones.
/// \ingroup Catalog
void recordDeparture(DepartureRecords &Records, const RecordedDeparture &New);

/// \returns whether the departure that \p Notice announces is recorded, or a
/// later phase or process of that upstream.
/// \ingroup Catalog
bool isRecorded(const DepartureRecords &Records, const UpstreamNotice &Notice);

} // namespace lagoonpoint
