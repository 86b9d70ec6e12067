#pragma once

#include "lagoonpoint/Steering"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"
#include "lagoonpoint/src/Node/MembershipHost.h"
#include "lagoonpoint/src/Node/util/CallSize.h"

#include <map>
#include <mutex>
#include <optional>

namespace lagoonpoint {

/// \class SteeringHost
/// \ingroup Node
/// \brief The steering state of this VM, guarded by a lock. Thread-safe.
class SteeringHost {
public:
  SteeringHost(const Settings &S, const Clock &C, Transport &T);

  void setDeclarations(std::shared_ptr<const ActiveDeclarations> F);
  /// Advances the plans and sends them to the other VMs. Call it twice a
  /// second.
  /// \param Slots number of slots that this VM has, by service
  void tick(const FleetView &Fleet, const std::map<ServiceId, double> &Slots);
  void receive(const Envelope &Message);

  /// \returns the zone that a caller with this address is assigned to.
  ZoneId zoneOfCaller(const std::string &ClientAddress) const;
  /// \returns the entry VMs for callers of a zone, best first.
  std::vector<EntryTarget> entryVms(const ServiceId &Service,
                                    const ZoneId &Zone, const FleetView &Fleet);
  /// Draws the region that serves a call by the plan's shares, and counts the
  /// call for the plan.
  /// \param Home zone of the caller
  /// \throws Refusal if that region can't take the call
  RegionId chooseRegion(const ServiceId &Service, const ZoneId &Home);
  /// \returns the zone that serves once-requests of these callers: the callers'
  /// own zone if its region has a share of the flow and the zone has upstreams,
  /// else a zone with upstreams in the region with the largest share, else the
  /// callers' own zone.
  ZoneId onceZone(const ServiceId &Service, const ZoneId &Home,
                  const FleetView &Fleet);
  /// \returns a VM of the region, outside this VM's zone, to forward a call to;
  /// empty if there is none that has not been tried.
  std::optional<VmId> forwardVm(const ServiceId &Service,
                                const RegionId &Region, const FleetView &Fleet,
                                const std::set<VmId> &Tried);

  /// \returns the expected request and response bytes of a call of the service.
  CallBytes expectedBytes(const ServiceId &Service) const;
  void recordBytes(const ServiceId &Service, const CallBytes &Measured);

private:
  std::set<VmId> reachableVms(const FleetView &Fleet) const;

  const Settings &Settings_;
  const Clock &Clock_;
  Transport &Transport_;
  mutable std::mutex Lock_;
  std::shared_ptr<const ActiveDeclarations> Active_ =
      std::make_shared<ActiveDeclarations>();
  VmSteering Steering_;
  std::map<ServiceId, CallSize> Sizes_;
  Random Random_{std::random_device()()};
};

} // namespace lagoonpoint
