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
/// \brief This VM's steering under its lock. Thread-safe.
class SteeringHost {
public:
  SteeringHost(const Settings &S, const Clock &C, Transport &T);

  /// Takes in new declarations.
  void setDeclarations(std::shared_ptr<const ActiveDeclarations> F);
  /// Moves the plans and tells the other VMs; to be called twice a second.
  /// \param Slots that this VM holds, by service
  void tick(const FleetView &Fleet, const std::map<ServiceId, double> &Slots);
  void receive(const Envelope &Message);

  /// \returns the zone whose callers an address counts among.
  ZoneId zoneOfCaller(const std::string &ClientAddress) const;
  /// \returns the entry VMs for callers of a zone, best first.
  std::vector<EntryTarget> entryVms(const ServiceId &Service,
                                    const ZoneId &Zone, const FleetView &Fleet);
  /// Draws the region that serves a call, and counts the call.
  /// \param Home zone of the caller
  /// \throws Refusal if that region can't take it
  RegionId chooseRegion(const ServiceId &Service, const ZoneId &Home);
  /// \returns the zone that serves once-requests of these callers: their own
  /// if its region does and it has upstreams, else another of that region.
  ZoneId onceZone(const ServiceId &Service, const ZoneId &Home,
                  const FleetView &Fleet);
  /// \returns a VM of another zone of the region to pass a call to; nothing if
  /// there is none left to try.
  std::optional<VmId> forwardVm(const ServiceId &Service,
                                const RegionId &Region, const FleetView &Fleet,
                                const std::set<VmId> &Tried);

  /// \returns the bytes that a call of the service is expected to carry.
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
