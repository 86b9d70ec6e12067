#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Membership"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace lagoonpoint {

/// \class FleetView
/// \ingroup Node
/// \brief Snapshot of the VMs and upstreams as this VM knows them. Immutable.
struct FleetView {
  std::map<VmId, MemberView> Vms_;
  std::vector<UpstreamRecord> Upstreams_; ///< usable ones, of all zones
  Contact Contact_ = Contact::Connected;
  std::set<VmId> AnsweringPeers_; ///< VMs of this zone that answered
                                  ///< recently

  /// \returns true if the VM is alive, not draining, and has active
  /// declarations.
  bool isReady(const VmId &Vm) const;
  /// \returns all VMs that are ready.
  std::set<VmId> readyVms() const;
};

/// \class MembershipHost
/// \ingroup Node
/// \brief The membership of this VM, guarded by a lock. Thread-safe.
class MembershipHost {
public:
  MembershipHost(const Settings &S, Incarnation I, const Clock &C,
                 Transport &T);

  void announce(const AnnouncedUpstream &Announced);
  void setDeclarations(const ActiveDeclarations &F);
  void setDraining();
  void receive(const Envelope &Message);
  /// Sends the messages that are due and replaces the view.
  void tick();
  std::shared_ptr<const FleetView> view() const;

private:
  template <class Function> void runLocked(Function F);

  const Clock &Clock_;
  Transport &Transport_;
  mutable std::mutex Lock_;
  Members Members_;
  mutable std::mutex ViewLock_;
  std::shared_ptr<const FleetView> View_ = std::make_shared<FleetView>();
};

} // namespace lagoonpoint
