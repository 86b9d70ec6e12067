#include "lagoonpoint/src/Fleet/TeamDemand.h"

#include "lagoonpoint/Limits"
#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>
#include <set>

namespace lagoonpoint {

namespace {

/// Core VMs of a region that learn a team's demand.
constexpr std::size_t RankedHolders = 2;
/// Core VMs report each second.
constexpr Duration ReportTimeout = Duration::millis(1600);

void addRates(RateMap &Sum, const RateMap &Rates) {
  for (const auto &[Team, Rate] : Rates)
    Sum[Team] += Rate;
}

/// Takes the maximum, because the core VMs of one region report the same entry
/// VMs, provided that they receive the heartbeats of all of them.
void takeMaxRates(RateMap &Max, const RateMap &Rates) {
  for (const auto &[Team, Rate] : Rates)
    Max[Team] = std::max(Max[Team], Rate);
}

/// \returns for each region, the time since one of its core VMs was heard
std::map<RegionId, Duration> regionAges(const NodeRegistry &R, Time Now) {
  std::map<RegionId, Duration> Out;
  for (const auto &[Vm, Node] : R.Nodes_) {
    if (!Node.Record_.Core_)
      continue;
    Duration Age = Now - Node.HeardAt_;
    auto [Found, New] = Out.emplace(Node.Record_.Region_, Age);
    Found->second = std::min(Found->second, Age);
  }
  return Out;
}

} // namespace

TeamDemand teamDemand(const NodeRegistry &R, const RegionId &Own,
                      const std::set<RegionId> &Regions, Time Now) {
  std::vector<Duration> Ages{Duration()}; // this VM
  for (const auto &[Vm, Node] : R.Nodes_)
    if (Node.Record_.Core_)
      Ages.push_back(Now - Node.HeardAt_);
  std::sort(Ages.begin(), Ages.end());
  bool MajorityLive = Ages[Ages.size() / 2] <= LivenessTimeout;
  TeamDemand Out;
  Out.ContactAge_ = Ages[(Ages.size() + 1) / 2 - 1];
  std::map<RegionId, Duration> RegionAges = regionAges(R, Now);
  for (const RegionId &Region : Regions) {
    if (Region == Own)
      continue;
    auto Known = RegionAges.find(Region);
    if (Known == RegionAges.end()) {
      Out.HasUnknownRegion_ = true;
      continue;
    }
    bool Heard = Known->second <= ReportTimeout;
    bool Expired = MajorityLive && Known->second > ShareExpiresAfter;
    if (!Heard && !Expired)
      Out.IsComplete_ = false;
  }
  Out.RatesByRegion_[Own];
  for (const auto &[Vm, Node] : R.Nodes_) {
    Duration Age = Now - Node.DirectlyHeardAt_;
    if (!Node.Record_.Core_ && Age <= LivenessTimeout)
      addRates(Out.RatesByRegion_[Own], Node.TeamRates_);
  }
  for (const auto &[Vm, Node] : R.Nodes_) {
    Duration Age = Now - Node.HeardAt_;
    if (Node.Record_.Core_ && (!MajorityLive || Age <= ShareExpiresAfter))
      takeMaxRates(Out.RatesByRegion_[Node.Record_.Region_], Node.TeamRates_);
  }
  return Out;
}

std::vector<VmId> rankHolders(const std::string &Name,
                              std::vector<VmId> Cores) {
  auto Weight = [&](const VmId &Vm) {
    return internal::mixBits(internal::stableHash(Vm.str() + "~" + Name));
  };
  std::sort(Cores.begin(), Cores.end(), [&](const VmId &A, const VmId &B) {
    return std::pair(Weight(A), A) > std::pair(Weight(B), B);
  });
  return Cores;
}

std::map<VmId, RateMap> ratesByHolder(const RateMap &TeamRates,
                                      const std::vector<VmId> &Cores) {
  std::map<VmId, RateMap> Out;
  for (const auto &[Team, Rate] : TeamRates) {
    std::vector<VmId> Holders = rankHolders(Team, Cores);
    Holders.resize(std::min(Holders.size(), RankedHolders));
    for (const VmId &Core : Holders)
      Out[Core][Team] = Rate;
  }
  return Out;
}

RateMap serviceRates(const NodeRegistry &R, const RegionId &Region, Time Now) {
  RateMap Out;
  for (const auto &[Vm, Node] : R.Nodes_)
    if (!Node.Record_.Core_ && Node.Record_.Region_ == Region &&
        Now - Node.DirectlyHeardAt_ <= LivenessTimeout)
      addRates(Out, Node.ServiceRates_);
  return Out;
}

FleetRates fleetRates(const NodeRegistry &R, const RegionId &Own, Time Now) {
  FleetRates Out;
  std::set<RegionId> Regions{Own};
  for (const KnownNode *Node : liveEntryVms(R, LivenessTimeout, Now)) {
    Out.EntryVms_.push_back(Node->Record_.Vm_);
    if (Node->Ready_ && Node->Record_.Region_ == Own)
      Out.RegionEntryVms_.push_back(Node->Record_.Vm_);
    Regions.insert(Node->Record_.Region_);
  }
  for (const RegionId &Region : Regions)
    Out.RegionRates_[Region.str()] = serviceRates(R, Region, Now);
  for (const KnownNode *Core : liveCoreVms(R, LivenessTimeout, Now))
    if (Core->Record_.Region_ != Own)
      takeMaxRates(Out.RegionRates_[Core->Record_.Region_.str()],
                   Core->ServiceRates_);
  return Out;
}

void recordRates(FleetRates &Known, const FleetRates &New) {
  if (New.IsComplete_)
    Known = New;
  else if (!Known.IsComplete_)
    Known.RegionRates_ = New.RegionRates_;
}

HolderRank rankOf(const NodeRegistry &R, const VmId &Self,
                  const RegionId &Region, const TeamId &Team, Time Now) {
  std::vector<VmId> Cores{Self};
  for (const auto &[Vm, Node] : R.Nodes_)
    if (Node.Record_.Core_ && Node.Record_.Region_ == Region)
      Cores.push_back(Vm);
  HolderRank Out;
  Out.KnowsOthers_ = Cores.size() > 1;
  for (const VmId &Vm : rankHolders(Team.str(), Cores)) {
    if (Vm == Self)
      break;
    Out.First_ = false;
    Out.Preceding_.push_back(Vm);
    Out.PrecedingLive_ |= Now - R.Nodes_.at(Vm).HeardAt_ <= LivenessTimeout;
  }
  return Out;
}

} // namespace lagoonpoint
