#pragma once

#include "lagoonpoint/Core"

#include <cstddef>

namespace lagoonpoint {

/// \class FeedOptions
/// \ingroup Dissemination
/// \brief Identity of this VM, and the intervals and limits of its feed.
struct FeedOptions {
  VmId Self_;
  ZoneId Zone_;
  Incarnation Incarnation_;
  bool RestoredFromDisk_ = false; ///< the store was read from this VM's disk

  Duration PullInterval_ = Duration::millis(500);
  Duration SourceTimeout_ =
      Duration::millis(1500); ///< then the next source is tried
  Duration StaleProofTimeout_ =
      Duration::millis(3500); ///< age of its proof; likewise
  Duration PreferredProbeInterval_ =
      Duration::seconds(15); ///< of the first source
  Duration ProofTimeout_ =
      Duration::seconds(3); ///< then peers' or disk state suffices
  Duration KeyLease_ = Duration::seconds(5);         ///< validity of a proof
  Duration FollowerTimeout_ = Duration::seconds(4);  ///< then pushes end
  Duration SnapshotInterval_ = Duration::seconds(3); ///< to one follower
  std::size_t HistoryDeltas_ = 512;
  std::size_t HistoryBytes_ = 4 << 20;
};

/// Maximum difference between the clock rates of two VMs, in parts per
/// thousand.
constexpr std::int64_t ClockRateTolerancePerMille = 10;

/// \returns the time after which the grantor may assume that a lease has
/// expired at its holder, whose clock may be slow.
/// \ingroup Dissemination
constexpr Duration leaseExpiryBound(Duration Lease) {
  return Lease + Lease * ClockRateTolerancePerMille / 1000 +
         Duration::millis(1);
}

} // namespace lagoonpoint
