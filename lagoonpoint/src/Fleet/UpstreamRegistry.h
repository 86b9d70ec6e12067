#pragma once

#include "lagoonpoint/src/Fleet/UpstreamNotice.h"

#include <map>
#include <set>
#include <vector>

namespace lagoonpoint {

/// An upstream as a book holds it.
struct KnownUpstream {
  UpstreamNotice Notice_;
  Time HeardAt_;                 ///< when it was last heard of by any core VM
  Time WarmupEndsAt_;            ///< end of its warm-up by this VM's clock
  bool Silent_ = false;          ///< announces no more; perhaps dead
  std::uint64_t DigestTerm_ = 0; ///< of the book's digest
};

/// \class UpstreamRegistry
/// \ingroup Fleet
/// \brief The newest announcement of each upstream.
///
/// A later start of an id replaces an earlier one. Within one start, leaving
/// and gone are final, and otherwise the highest sequence counts; so late and
/// repeated announcements change nothing. Of two ids at one address the one
/// started later holds it.
struct UpstreamRegistry {
  std::map<UpstreamId, KnownUpstream> Upstreams_;
  std::uint64_t Digest_ = 0; ///< sum of the upstreams' parts
};

/// Takes in an announcement.
/// \ingroup Fleet
/// \returns true if it says anything new besides being alive
bool learn(UpstreamRegistry &Book, const UpstreamNotice &A, Time Now);

/// Notes that an upstream was heard of by another VM.
/// \ingroup Fleet
void recordSighting(UpstreamRegistry &Registry, const UpstreamId &Id,
                    std::uint64_t Sequence, Duration Age, Time Now);

/// Marks upstreams not heard of for \p SilentAfter, and drops those that are
/// gone or silent for \p ForgetAfter.
/// \ingroup Fleet
void expireSilent(UpstreamRegistry &Registry, Duration SilentAfter,
                  Duration ForgetAfter, Time Now);

/// Marks the upstreams that all of \p Told name as silent, and drops those that
/// were not heard of for \p ForgetAfter.
/// \ingroup Fleet
/// \param Told silent upstreams by each core VM that answers
void applySilentReports(
    UpstreamRegistry &Registry,
    const std::vector<const std::set<UpstreamId> *> &SilentByCore,
    Duration ForgetAfter, Time Now);

/// \returns a hash of which upstreams are known in which phase; equal books
/// have equal digests. Kept up to date with each change: it is asked for with
/// each beat of each VM.
/// \ingroup Fleet
std::uint64_t digestOf(const UpstreamRegistry &Registry);

/// \returns all announcements, with what is left of each warm-up.
/// \ingroup Fleet
std::vector<UpstreamNotice> allNotices(const UpstreamRegistry &Registry,
                                       Time Now);

/// Digests of the parts that a book is divided into by the upstreams' ids: what
/// two VMs hold differently is found without exchanging the rest.
using BucketDigests = std::vector<std::uint64_t>;

/// \ingroup Fleet
BucketDigests bucketDigests(const UpstreamRegistry &Registry);

/// \returns the announcements in the parts whose sums differ from \p Theirs.
/// \ingroup Fleet
std::vector<UpstreamNotice> differingNotices(const UpstreamRegistry &Registry,
                                             const BucketDigests &PeerDigests,
                                             Time Now);

/// \returns of differingNotices() those that are newer than \p Said, what the
/// other VM holds in these parts.
/// \ingroup Fleet
std::vector<UpstreamNotice>
missingNotices(const UpstreamRegistry &Registry,
               const BucketDigests &PeerDigests,
               const std::vector<UpstreamNotice> &PeerNotices, Time Now);

} // namespace lagoonpoint
