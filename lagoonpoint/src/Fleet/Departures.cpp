#include "lagoonpoint/src/Fleet/Departures.h"

#include <algorithm>
#include <iterator>

namespace lagoonpoint {

namespace {

constexpr Duration DepartureRetention = Duration::seconds(30);
/// Entry VMs whose region's core VMs are cut off send their heartbeats to all
/// core VMs within this time.
constexpr Duration FallbackTime = Duration::seconds(6);

} // namespace

std::uint64_t beginDeparture(Departures &D, const UpstreamNotice &Notice,
                             Time Now) {
  std::erase_if(D.Departures_, [&](const auto &Entry) {
    return Now - Entry.second.AnnouncedAt_ > DepartureRetention;
  });
  std::erase_if(D.Numbers_, [&](const auto &Entry) {
    return !D.Departures_.count(Entry.second);
  });
  auto [Found, New] =
      D.Numbers_.try_emplace({Notice.Id_, Notice.StartedAtMs_, Notice.Phase_});
  if (New)
    Found->second = ++D.LastNumber_;
  D.Departures_[Found->second].AnnouncedAt_ = Now;
  return Found->second;
}

bool confirmDeparture(Departures &D, const VmId &From, std::uint64_t Number) {
  auto Found = D.Departures_.find(Number);
  if (Found == D.Departures_.end())
    return false;
  Departures::Departure &Departure = Found->second;
  Departure.Confirmed_.insert(From);
  return Departure.Awaited_.erase(From) != 0 && Departure.Awaited_.empty();
}

std::set<VmId> awaitConfirmations(Departures &D, std::uint64_t Number,
                                  const std::set<VmId> &Needed) {
  Departures::Departure &Departure = D.Departures_[Number];
  Departure.Awaited_.clear();
  std::set_difference(
      Needed.begin(), Needed.end(), Departure.Confirmed_.begin(),
      Departure.Confirmed_.end(),
      std::inserter(Departure.Awaited_, Departure.Awaited_.end()));
  return Departure.Awaited_;
}

bool isConfirmed(const Departures &D, std::uint64_t Number) {
  auto Found = D.Departures_.find(Number);
  return Found == D.Departures_.end() || Found->second.Awaited_.empty();
}

std::set<VmId> entryVmsToConfirm(const NodeRegistry &R, const RegionId &Own,
                                 Duration MaxSilence, Time Now) {
  std::set<RegionId> LiveRegions{Own};
  for (const KnownNode *Core : liveCoreVms(R, MaxSilence, Now))
    LiveRegions.insert(Core->Record_.Region_);
  std::set<VmId> Out;
  for (const auto &[Vm, Node] : R.Nodes_) {
    Duration Limit = LiveRegions.count(Node.Record_.Region_)
                         ? MaxSilence
                         : std::max(MaxSilence, FallbackTime);
    if (!Node.Record_.Core_ && Now - Node.HeardAt_ <= Limit)
      Out.insert(Vm);
  }
  return Out;
}

} // namespace lagoonpoint
