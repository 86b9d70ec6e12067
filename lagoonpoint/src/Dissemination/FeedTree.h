#pragma once

#include "lagoonpoint/Core"

#include <vector>

namespace lagoonpoint {

/// What a feed knows of a VM.
struct FeedPeer {
  VmId Vm_;
  ZoneId Zone_;
  bool Alive_ = false;
  bool Voter_ = false;
  bool Answering_ = false; ///< in this zone and in contact
};

/// Maximum number of followers per source while all VMs are alive.
constexpr std::size_t FollowersPerSource = 8;

/// \returns the sources of a VM in order of preference.
///
/// The live VMs of a zone, voters first, form a tree with FollowersPerSource
/// children per VM; its root follows a voter. After its parent a VM tries its
/// other ancestors, then the voters, then any live VM. A voter follows only the
/// leader, because its state comes from the log.
/// \ingroup Dissemination
/// \param Leader empty if unknown
std::vector<VmId> feedSources(const std::vector<FeedPeer> &Peers,
                              const VmId &Self, const VmId &Leader);

} // namespace lagoonpoint
