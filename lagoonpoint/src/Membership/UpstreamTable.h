#pragma once

#include "lagoonpoint/src/Membership/UpstreamRecord.h"

#include <map>
#include <vector>

namespace lagoonpoint {

/// The record of an upstream at one VM.
struct UpstreamEntry {
  UpstreamRecord Record_; ///< durations as of the time of the merge
  Time Merged_;
  Time Expires_;
};

/// \class UpstreamTable
/// \ingroup Membership
/// \brief All upstreams that a VM knows, including those that left recently.
///
/// An upstream that left becomes usable again only by an announcement whose
/// issuer knew that it had left. Delayed, duplicated or reordered records
/// therefore can't make it usable again.
struct UpstreamTable {
  std::map<UpstreamKey, UpstreamEntry> Entries_;
  std::uint64_t Changes_ = 0; ///< number of changes that affect digests
};

/// The effect of a merge.
enum class MergeResult { Unchanged, Refreshed, Changed };

/// Merges a record that was received from another VM or issued here.
/// \ingroup Membership
MergeResult mergeUpstream(UpstreamTable &Table, const UpstreamRecord &In,
                          Time Now);

/// Creates the record for an announcement that this VM received. Its version
/// is greater than all versions known here, and it lists the leave
/// announcements known here.
/// \param Leaving whether the upstream announced that it leaves
/// \param MinCounter lower bound of the counter; increases with each start of
///        this process
UpstreamRecord issueUpstream(const UpstreamTable &Table, UpstreamRecord Record,
                             bool Leaving, const VmId &Self,
                             Incarnation MinCounter);

/// \returns whether the upstream may receive new requests.
bool usable(const UpstreamEntry &Entry, Time Now);

/// \returns the record with its durations as of \p Now.
UpstreamRecord recordAt(const UpstreamEntry &Entry, Time Now);

/// \returns a digest of the usable upstreams of a zone, without loads and
/// leases.
std::uint64_t upstreamDigest(const UpstreamTable &Table, const ZoneId &Zone,
                             Time Now);

/// Extends the leases of a zone's usable upstreams.
void renewZone(UpstreamTable &Table, const ZoneId &Zone, Duration Lease,
               Time Now);

/// Extends the lease of a record to that of a received copy of the same
/// version. Needed for upstreams of other zones, because their leases are
/// renewed without a new version.
/// \param MinLease copies with a shorter lease are ignored; otherwise copies
///        in transit could keep an upstream alive that no report renews
void extendLease(UpstreamTable &Table, const UpstreamRecord &Copy,
                 Duration MinLease, Time Now);

/// Removes the records that expired more than \p Retention ago.
void removeExpiredUpstreams(UpstreamTable &Table, Duration Retention, Time Now);

} // namespace lagoonpoint
