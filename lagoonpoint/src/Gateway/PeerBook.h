#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Peer"

#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace lagoonpoint {

/// \class PeerBook
/// \ingroup Gateway
/// \brief The VMs that this one can talk to. A VM's id is its IP number, and
/// the peers' port is the same on all of them. Thread-safe.
class PeerBook {
public:
  PeerBook(const FleetSettings &S, PeerTransport &T);

  /// Adds VMs.
  void add(const std::vector<VmId> &Vms);
  /// Adds core VMs, to which beats are sent.
  void addCores(const std::vector<VmId> &Vms);
  /// \returns all core VMs known, without this one.
  std::vector<VmId> cores() const;
  /// \returns the core VMs to name to a peer: none if they were named to it
  /// lately and are the same.
  std::vector<VmId> coresFor(const VmId &Peer);

private:
  /// What a peer was told of the core VMs.
  struct Naming {
    std::size_t Cores_ = 0;
    unsigned Skipped_ = 0; ///< messages since then
  };

  bool insert(const VmId &Vm);
  void publish();

  const VmId Self_;
  const unsigned short Port_;
  PeerTransport &Transport_;
  mutable std::mutex Lock_;
  std::map<VmId, Address> Peers_;
  std::set<VmId> Seeds_;
  std::set<VmId> Cores_;
  std::map<VmId, Naming> Named_;
};

/// \returns the ids of the VMs that the settings name as seeds.
std::vector<VmId> seedVms(const FleetSettings &S);

/// \returns what a transport of a fleet's VM is started with.
PeerOptions fleetPeerOptions(const FleetSettings &S);

} // namespace lagoonpoint
