#pragma once

#include "lagoonpoint/src/Fleet/NodeRegistry.h"

namespace lagoonpoint {

/// \class TeamDemand
/// \ingroup Fleet
/// \brief Requests a second of each team, by the region whose core VMs grant
/// them.
struct TeamDemand {
  std::map<RegionId, RateMap> RatesByRegion_;
  /// Since when this VM has not heard half of the core VMs, itself included.
  Duration ContactAge_;
};

/// Sums up what entry VMs and other regions' core VMs told. While less than
/// more than half of the core VMs are heard, a region that fell silent keeps
/// what it asked for: it may still be granted there.
/// \ingroup Fleet
TeamDemand teamDemand(const NodeRegistry &R, const RegionId &Own, Time Now);

/// Orders core VMs of a region by who takes care of what bears a name: grants a
/// team's tokens, tells an entry VM. The same on all VMs that know the same
/// core VMs. \ingroup Fleet
std::vector<VmId> rankHolders(const std::string &Name, std::vector<VmId> Cores);

/// A holder's place among those of its region.
struct HolderRank {
  bool First_ = true;          ///< no core VM of the region comes before it
  bool PrecedingLive_ = false; ///< else: one that does was heard of lately
};

/// \ingroup Fleet
HolderRank rankOf(const NodeRegistry &R, const NodeRecord &Self,
                  const TeamId &Team, Time Now);

} // namespace lagoonpoint
