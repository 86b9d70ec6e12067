#pragma once

#include "lagoonpoint/src/Catalog/UpstreamNotice.h"

#include <map>
#include <set>
#include <vector>

namespace lagoonpoint {

/// An entry of the registry.
struct KnownUpstream {
  UpstreamNotice Notice_;
  std::uint64_t HeardSequence_ = 0; ///< highest that any core VM heard
  Time HeardAt_;                    ///< when a core VM heard it
  Time WarmupEndsAt_;               ///< on this VM's clock
  bool Silent_ = false;             ///< no announcements any more; perhaps dead
  std::uint64_t DigestTerm_ = 0;    ///< its term in the registry's digest
  bool CountsAsCold_ = false;       ///< in DigestTerm_
};

/// \class UpstreamRegistry
/// \ingroup Fleet
/// \brief The newest announcement of each upstream.
///
/// A later process of an id replaces an earlier one. Within one process the
/// phase only moves forward, and within one phase the highest sequence wins, so
/// that late and repeated announcements change nothing. A sighting by another
/// VM is no announcement: its content may have been lost on the way. Of two ids
/// at one address, the one that was started later owns it.
struct UpstreamRegistry {
  std::map<UpstreamId, KnownUpstream> Upstreams_;
  std::uint64_t Digest_ = 0; ///< sum of the upstreams' terms
};

/// Applies an announcement.
/// \ingroup Fleet
/// \returns true if it changes more than the time of the last announcement
bool applyNotice(UpstreamRegistry &Registry, const UpstreamNotice &A, Time Now);

/// Applies several announcements, as applyNotice().
/// \ingroup Fleet
/// \returns the upstreams that changed, and those that share an address with
/// one of them; may contain an upstream more than once
std::vector<UpstreamId> applyNotices(UpstreamRegistry &Registry,
                                     const std::vector<UpstreamNotice> &Notices,
                                     Time Now);

/// Records that another VM heard from an upstream, with a content that this VM
/// may not have.
/// \ingroup Fleet
void recordSighting(UpstreamRegistry &Registry, const UpstreamId &Id,
                    std::uint64_t Sequence, Duration Age, Time Now);

/// Marks upstreams as silent after \p SilentAfter without an announcement, and
/// removes them after \p ForgetAfter.
/// \ingroup Fleet
void expireSilent(UpstreamRegistry &Registry, Duration SilentAfter,
                  Duration ForgetAfter, Time Now);

/// Marks upstreams as silent if all core VMs that answer report them as silent,
/// and removes those that were not heard from for \p ForgetAfter.
/// \ingroup Fleet
/// \param SilentByCore silent upstreams reported by each core VM that answers
void applySilentReports(
    UpstreamRegistry &Registry,
    const std::vector<const std::set<UpstreamId> *> &SilentByCore,
    Duration ForgetAfter, Time Now);

/// \returns a hash of all that decisions read of the known upstreams; equal
/// registries have equal digests. A warm-up counts until it ends, as its time
/// differs between VMs. The digest is updated with each change, and with the
/// warm-ups by expireSilent() and applySilentReports(), because every heartbeat
/// of every VM needs it.
/// \ingroup Fleet
std::uint64_t digestOf(const UpstreamRegistry &Registry);

/// \returns all announcements, with their remaining warm-ups.
/// \ingroup Fleet
std::vector<UpstreamNotice> allNotices(const UpstreamRegistry &Registry,
                                       Time Now);

/// \returns the announcements of the upstreams that are warming up.
/// \ingroup Fleet
std::vector<UpstreamNotice> warmupNotices(const UpstreamRegistry &Registry,
                                          Time Now);

/// Digests of the buckets into which a registry is divided by the hash of the
/// upstreams' ids. They show where two registries differ, so that only those
/// buckets are exchanged.
using BucketDigests = std::vector<std::uint64_t>;

/// \ingroup Fleet
BucketDigests bucketDigests(const UpstreamRegistry &Registry);

/// \returns the announcements in the buckets whose digests differ from
/// \p PeerDigests.
/// \ingroup Fleet
std::vector<UpstreamNotice> differingNotices(const UpstreamRegistry &Registry,
                                             const BucketDigests &PeerDigests,
                                             Time Now);

/// \returns those of differingNotices() that are newer than \p PeerNotices, the
/// other VM's announcements in these buckets.
/// \ingroup Fleet
std::vector<UpstreamNotice>
missingNotices(const UpstreamRegistry &Registry,
               const BucketDigests &PeerDigests,
               const std::vector<UpstreamNotice> &PeerNotices, Time Now);

} // namespace lagoonpoint
