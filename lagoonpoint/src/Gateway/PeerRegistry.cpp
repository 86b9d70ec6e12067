#include "lagoonpoint/src/Gateway/PeerRegistry.h"

namespace lagoonpoint {

namespace {

/// A connection that stalls for this long is replaced: after a network failure
/// a new one may work.
constexpr Duration StallTimeout = Duration::millis(1500);
constexpr Duration HandshakeTimeout = Duration::millis(1500);
/// Queued messages older than this are dropped: the next heartbeat supersedes
/// them.
constexpr Duration QueueAge = Duration::seconds(2);
/// An unchanged list of core VMs is repeated in one message of this many, in
/// case the message with the list was lost.
constexpr unsigned MessagesPerCoreVmList = 16;

} // namespace

std::vector<VmId> seedVms(const FleetSettings &S) {
  std::vector<VmId> Out;
  for (const std::string &Seed : S.Seeds_)
    Out.push_back(VmId(Seed.substr(0, Seed.rfind(':'))));
  return Out;
}

PeerOptions fleetPeerOptions(const FleetSettings &S) {
  PeerOptions Options;
  Options.Self_ = VmId(S.Host_);
  Options.Listen_ = {S.Host_, S.PeerPort_};
  Options.Secret_ = S.Secret_;
  Options.Limits_.StallTimeout_ = StallTimeout;
  Options.Limits_.HandshakeTimeout_ = HandshakeTimeout;
  Options.Limits_.QueueAge_ = QueueAge;
  return Options;
}

PeerRegistry::PeerRegistry(const FleetSettings &S, PeerTransport &T)
    : Self_(S.Host_), Port_(S.PeerPort_), Transport_(T) {
  std::vector<VmId> Seeds = seedVms(S);
  Seeds_.insert(Seeds.begin(), Seeds.end());
  addCoreVms(Seeds);
}

void PeerRegistry::add(const std::vector<VmId> &Vms) {
  std::lock_guard Guard(Lock_);
  bool Changed = false;
  for (const VmId &Vm : Vms)
    Changed |= insert(Vm);
  if (Changed)
    updateTransport();
}

void PeerRegistry::addCoreVms(const std::vector<VmId> &Vms) {
  {
    std::lock_guard Guard(Lock_);
    for (const VmId &Vm : Vms)
      if (Vm != Self_)
        CoreVms_.insert(Vm);
  }
  add(Vms);
}

std::vector<VmId> PeerRegistry::coreVms() const {
  std::lock_guard Guard(Lock_);
  return {CoreVms_.begin(), CoreVms_.end()};
}

std::vector<VmId> PeerRegistry::coreVmsToSend(const VmId &Peer) {
  std::lock_guard Guard(Lock_);
  SentCoreVms &Last = SentCoreVms_[Peer];
  if (Last.Count_ == CoreVms_.size() &&
      ++Last.MessagesSince_ < MessagesPerCoreVmList)
    return {};
  Last = {CoreVms_.size(), 0};
  return {CoreVms_.begin(), CoreVms_.end()};
}

bool PeerRegistry::insert(const VmId &Vm) {
  return Vm != Self_ && Peers_.emplace(Vm, Address{Vm.str(), Port_}).second;
}

void PeerRegistry::updateTransport() { Transport_.setPeers(Peers_); }

} // namespace lagoonpoint
