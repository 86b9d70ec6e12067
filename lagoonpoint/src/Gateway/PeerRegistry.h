#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Peer"

#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace lagoonpoint {

/// \class PeerRegistry
/// \ingroup Gateway
/// \brief The VMs that this one can talk to. A VM's id is its IP number, and
/// the peers' port is the same on all of them. Thread-safe.
class PeerRegistry {
public:
  PeerRegistry(const FleetSettings &S, PeerTransport &T);

  /// Adds VMs.
  void add(const std::vector<VmId> &Vms);
  /// Adds core VMs, to which beats are sent.
  void addCoreVms(const std::vector<VmId> &Vms);
  /// \returns all core VMs known, without this one.
  std::vector<VmId> coreVms() const;
  /// \returns the core VMs to name to a peer: none if they were named to it
  /// lately and are the same.
  std::vector<VmId> coreVmsToSend(const VmId &Peer);

private:
  /// What a peer was told of the core VMs.
  struct SentCoreVms {
    std::size_t Count_ = 0;
    unsigned MessagesSince_ = 0; ///< messages since then
  };

  bool insert(const VmId &Vm);
  void updateTransport();

  const VmId Self_;
  const unsigned short Port_;
  PeerTransport &Transport_;
  mutable std::mutex Lock_;
  std::map<VmId, Address> Peers_;
  std::set<VmId> Seeds_;
  std::set<VmId> CoreVms_;
  std::map<VmId, SentCoreVms> SentCoreVms_;
};

/// \returns the ids of the VMs that the settings name as seeds.
std::vector<VmId> seedVms(const FleetSettings &S);

/// \returns what a transport of a fleet's VM is started with.
PeerOptions fleetPeerOptions(const FleetSettings &S);

} // namespace lagoonpoint
