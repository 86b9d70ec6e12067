#pragma once

#include "lagoonpoint/Core"

#include <vector>

namespace lagoonpoint {

/// A VM as a feed sees it.
struct FeedPeer {
  VmId Vm_;
  ZoneId Zone_;
  bool Alive_ = false;
  bool Voter_ = false;
  bool Answering_ = false; ///< of this zone, and in contact now
};

/// VMs that follow one source, at most, while all are alive.
constexpr std::size_t FollowersPerSource = 8;

/// \returns whom a VM follows, best first.
///
/// The living VMs of a zone, voters first, form a tree with
/// FollowersPerSource children each; its root follows a voter. After its
/// parent a VM tries its other ancestors, the voters, and then anyone alive.
/// A voter follows the leader alone: its state comes from the log.
/// \ingroup Dissemination
/// \param Leader empty if none is known
std::vector<VmId> feedSources(const std::vector<FeedPeer> &Peers,
                              const VmId &Self, const VmId &Leader);

} // namespace lagoonpoint
