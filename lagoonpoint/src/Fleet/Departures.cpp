#include "lagoonpoint/src/Fleet/Departures.h"

#include <algorithm>

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
  auto [Found, New] = D.Departures_.try_emplace(
      {Notice.Id_, Notice.StartedAtMs_, Notice.Phase_});
  if (New)
    Found->second.Number_ = ++D.LastNumber_;
  Found->second.AnnouncedAt_ = Now;
  return Found->second.Number_;
}

void confirmDeparture(Departures &D, const VmId &From, std::uint64_t Number) {
  for (auto &[Key, Departure] : D.Departures_)
    if (Departure.Number_ == Number)
      Departure.Confirmed_.insert(From);
}

std::set<VmId> unconfirmed(const Departures &D, std::uint64_t Number,
                           const std::set<VmId> &Needed) {
  std::set<VmId> Out = Needed;
  for (const auto &[Key, Departure] : D.Departures_)
    if (Departure.Number_ == Number)
      for (const VmId &Vm : Departure.Confirmed_)
        Out.erase(Vm);
  return Out;
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
