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
  /// Silence of the source after which the next source is tried.
  Duration SourceTimeout_ = Duration::millis(1500);
  /// Age of this VM's proof after which the next source is tried. Counted from
  /// the choice of the source if that was later.
  Duration StaleProofTimeout_ = Duration::millis(3500);
  /// How often the preferred source is pulled from while another one is in use.
  Duration PreferredProbeInterval_ = Duration::seconds(15);
  /// Time after the start without a proof until a state confirmed by zone peers
  /// or read from disk is served.
  Duration ProofTimeout_ = Duration::seconds(3);
  Duration KeyLease_ = Duration::seconds(5); ///< validity of a proof
  /// Time without a pull after which nothing more is pushed to a follower.
  Duration FollowerTimeout_ = Duration::seconds(4);
  /// Minimum time between two snapshots sent to one follower.
  Duration SnapshotInterval_ = Duration::seconds(3);
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
