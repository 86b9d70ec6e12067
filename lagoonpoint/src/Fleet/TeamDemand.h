#pragma once

#include "lagoonpoint/src/Fleet/NodeRegistry.h"

#include <set>

namespace lagoonpoint {

/// \class TeamDemand
/// \ingroup Fleet
/// \brief Requests per second of each team, by the region whose core VMs grant
/// the tokens for them.
struct TeamDemand {
  std::map<RegionId, RateMap> RatesByRegion_;
  /// Time since this VM last heard from half of the core VMs, itself included.
  Duration ContactAge_;
  /// Every known region that may grant tokens has reported its demand lately.
  bool IsComplete_ = true;
  bool HasUnknownRegion_ = false; ///< some region was never heard
};

/// Sums up the demand reported by entry VMs and by other regions' core VMs. A
/// silent region keeps its last demand unless this VM hears from more than half
/// of the core VMs, because that region may still grant tokens for it.
/// \ingroup Fleet
/// \param Regions all regions of the deployment
TeamDemand teamDemand(const NodeRegistry &R, const RegionId &Own,
                      const std::set<RegionId> &Regions, Time Now);

/// Orders core VMs of a region by rendezvous hashing: the first one is
/// responsible for a name, for example grants a team's tokens or notifies an
/// entry VM. The order is the same on all VMs that know the same core VMs.
/// \ingroup Fleet
std::vector<VmId> rankHolders(const std::string &Name, std::vector<VmId> Cores);

/// Divides rates by team among the core VMs of a region. Each team's rate goes
/// to the first two of rankHolders(), the one that grants its tokens and the
/// one that takes over from it. Entry VMs report to these, and these to other
/// regions.
/// \ingroup Fleet
std::map<VmId, RateMap> ratesByHolder(const RateMap &TeamRates,
                                      const std::vector<VmId> &Cores);

/// \returns requests per second by service at the entry VMs of a region that
/// send their heartbeats to this core VM.
/// \ingroup Fleet
RateMap serviceRates(const NodeRegistry &R, const RegionId &Region, Time Now);

/// \returns the fleet's live entry VMs, those of \p Own that accept new
/// callers, and its rates by region: those of \p Own as heard by this core VM,
/// others as reported by their core VMs.
/// \ingroup Fleet
FleetRates fleetRates(const NodeRegistry &R, const RegionId &Own, Time Now);

/// Records a core VM's rates at an entry VM. Entry VMs divide limits and
/// warm-ups by these lists, and would take too much by a list that lacks some
/// of them: the last complete rates are kept until there are new ones. Before
/// the first complete ones, only the sums by region are used.
/// \ingroup Fleet
/// \param[in,out] Known initially not complete
void recordRates(FleetRates &Known, const FleetRates &New);

/// Rank of a core VM among those of its region for one team.
struct HolderRank {
  bool First_ = true;          ///< no core VM of the region precedes it
  bool PrecedingLive_ = false; ///< else: one that precedes it is live
  std::vector<VmId> Preceding_;
  bool KnowsOthers_ = false; ///< other core VMs of the region were heard
};

/// \ingroup Fleet
HolderRank rankOf(const NodeRegistry &R, const VmId &Self,
                  const RegionId &Region, const TeamId &Team, Time Now);

} // namespace lagoonpoint
