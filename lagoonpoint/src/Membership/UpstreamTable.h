#pragma once

#include "lagoonpoint/src/Membership/UpstreamRecord.h"

#include <map>
#include <vector>

namespace lagoonpoint {

/// An upstream as one VM holds it.
struct UpstreamEntry {
  UpstreamRecord Record_; ///< with the durations it had when it was merged
  Time Merged_;
  Time Expires_;
};

/// \class UpstreamTable
/// \ingroup Membership
/// \brief All upstreams a VM knows of, also those that left a while ago.
///
/// A leaving upstream comes back only by an announcement whose issuer knew
/// that it had left: late, doubled or reordered records can't revive it.
struct UpstreamTable {
  std::map<UpstreamKey, UpstreamEntry> Entries_;
  std::uint64_t Changes_ = 0; ///< raised by each change that digests show
};

/// What a merge did.
enum class MergeResult { Unchanged, Refreshed, Changed };

/// Takes a record of another VM, or one issued here.
/// \ingroup Membership
MergeResult mergeUpstream(UpstreamTable &Table, const UpstreamRecord &In,
                          Time Now);

/// Makes the record of an announcement that this VM took: its version is above
/// all that are known here, and it names the leaving records known here.
/// \param Leaving whether the upstream said that it leaves
/// \param Floor least counter; grows with each start of this process
UpstreamRecord issueUpstream(const UpstreamTable &Table, UpstreamRecord Record,
                             bool Leaving, const VmId &Self,
                             Incarnation MinCounter);

/// \returns whether the upstream may get new work.
bool usable(const UpstreamEntry &Entry, Time Now);

/// \returns the record with the durations as of now.
UpstreamRecord recordAt(const UpstreamEntry &Entry, Time Now);

/// \returns a digest of the usable upstreams of a zone, loads and leases aside.
std::uint64_t upstreamDigest(const UpstreamTable &Table, const ZoneId &Zone,
                             Time Now);

/// Extends the leases of a zone's usable upstreams.
void renewZone(UpstreamTable &Table, const ZoneId &Zone, Duration Lease,
               Time Now);

/// Extends the lease of the version held to that of a copy of it. Only for
/// upstreams of other zones: their leases are renewed without a new version.
/// \param Least shorter leases extend nothing, or copies under way could keep
///        an upstream alive that no report renews
void extendLease(UpstreamTable &Table, const UpstreamRecord &Copy,
                 Duration MinLease, Time Now);

/// Forgets what expired longer than \p Memory ago.
void removeExpiredUpstreams(UpstreamTable &Table, Duration Retention, Time Now);

} // namespace lagoonpoint
