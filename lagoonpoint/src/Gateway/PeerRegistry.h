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
/// \brief The VMs that this VM exchanges messages with. A VM's id is its IP
/// address, and all VMs use the same peer port. Thread-safe.
class PeerRegistry {
public:
  PeerRegistry(const FleetSettings &S, PeerTransport &T);

  void add(const std::vector<VmId> &Vms);
  /// Adds core VMs, which receive this VM's heartbeats.
  void addCoreVms(const std::vector<VmId> &Vms);
  /// \returns all known core VMs except this one.
  std::vector<VmId> coreVms() const;
  /// \returns the core VMs to list in the next message to \p Peer; empty if the
  /// list is unchanged and was sent recently.
  std::vector<VmId> coreVmsToSend(const VmId &Peer);

private:
  /// State of the list of core VMs last sent to a peer.
  struct SentCoreVms {
    std::size_t Count_ = 0;
    unsigned MessagesSince_ = 0; ///< messages without the list
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

/// \returns the options of this VM's peer transport.
PeerOptions fleetPeerOptions(const FleetSettings &S);

} // namespace lagoonpoint
