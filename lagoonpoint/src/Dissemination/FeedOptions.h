#pragma once

#include "lagoonpoint/Core"

#include <cstddef>

namespace lagoonpoint {

/// \class FeedOptions
/// \ingroup Dissemination
/// \brief Who this VM is, and the pace and bounds of its feed.
struct FeedOptions {
  VmId Self_;
  ZoneId Zone_;
  Incarnation Incarnation_;
  bool RestoredFromDisk_ = false; ///< the store was read from this VM's disk

  Duration PullInterval_ = Duration::millis(500);
  Duration SourceTimeout_ = Duration::millis(1500); ///< then the next is tried
  Duration StaleProofTimeout_ =
      Duration::millis(3500); ///< of its proof, likewise
  Duration PreferredProbeInterval_ =
      Duration::seconds(15); ///< the first tried again
  Duration ProofTimeout_ =
      Duration::seconds(3);                  ///< before peers or a disk count
  Duration KeyLease_ = Duration::seconds(5); ///< of the proof of currency
  Duration FollowerTimeout_ = Duration::seconds(4);  ///< pushes end after it
  Duration SnapshotInterval_ = Duration::seconds(3); ///< to one follower
  std::size_t HistoryDeltas_ = 512;
  std::size_t HistoryBytes_ = 4 << 20;
};

/// Clocks of VMs may run this many parts in a thousand apart.
constexpr std::int64_t ClockRateTolerancePerMille = 10;

/// \returns when the authority may count on it that a lease has run out at its
/// holder, whose clock may be slow.
/// \ingroup Dissemination
constexpr Duration leaseExpiryBound(Duration Lease) {
  return Lease + Lease * ClockRateTolerancePerMille / 1000 +
         Duration::millis(1);
}

} // namespace lagoonpoint
