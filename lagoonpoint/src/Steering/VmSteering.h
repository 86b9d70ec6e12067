#pragma once

#include "lagoonpoint/src/Steering/FlowMeter.h"
#include "lagoonpoint/src/Steering/LookupPlan.h"
#include "lagoonpoint/src/Steering/RegionChoice.h"
#include "lagoonpoint/src/Steering/RegionLoads.h"
#include "lagoonpoint/src/Steering/RegionPlan.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoonpoint {

/// What a VM tells the others about its steering: the rows it carries, and all
/// rows where a VM that starts has asked for them.
struct SteeringUpdate {
  RegionPlanSnapshot Regions_;
  LookupPlanSnapshot Lookups_;
  bool IsComplete_ = false; ///< all rows are there
  std::vector<RegionPlanSnapshot::Entry>
      SendRates_;                  ///< requests a second by region
  std::vector<ServiceId> Serving_; ///< it has upstreams for these
  double Slots_ = 0;       ///< that it holds at upstreams which take work
  bool IsStarted_ = false; ///< false: it asks for plans
  MSGPACK_DEFINE(Regions_, Lookups_, IsComplete_, SendRates_, Serving_, Slots_,
                 IsStarted_)
};

/// \class VmSteering
/// \ingroup Steering
/// \brief All that one VM keeps in order to steer, except its upstreams.
///
/// A VM that starts asks for the plans of the others and goes on with them. It
/// starts from the declarations if all VMs in contact are starting too, or if
/// none has answered for PlanRequestTimeout.
struct VmSteering {
  struct Peer {
    Time ReceivedAt_;
    std::set<ServiceId> Serving_;
    bool IsStarted_ = false;
  };

  VmId Self_;
  Time StartedAt_;
  bool IsStarted_ = false;
  RegionPlan Regions_;
  LookupPlan Lookups_;
  RegionLoads Loads_;
  FlowMeter Meter_;
  std::map<VmId, Peer> Peers_;
  SteeringView View_;
  Time NextUpdateAt_;
  bool IsPlanRequested_ = false; ///< a VM that starts asks for the plans
};

/// How long a VM that starts waits for a peer's plans.
inline constexpr Duration PlanRequestTimeout = Duration::seconds(3);

/// \ingroup Steering
VmSteering startSteering(const VmId &Self, Time Now);

/// Moves the plans. Call it about twice a second.
/// \ingroup Steering
/// \param Ready VMs in contact, this one included
/// \param Slots of each service, see assignedSlots(); 0 or absent if none
/// \returns news to send to all other VMs, when they are due
std::optional<SteeringUpdate> tick(VmSteering &S, const Declarations &D,
                                   const std::set<VmId> &Ready,
                                   const std::map<ServiceId, double> &Slots,
                                   Time Now);

/// Takes in another VM's news.
/// \ingroup Steering
/// \throws Error if they are malformed; nothing is changed then
void applyPeerUpdate(VmSteering &S, const VmId &From,
                     const SteeringUpdate &Update, Time Now);

/// Chooses the region of a call and counts it. Until the VM has started, calls
/// are refused with NotReady.
/// \ingroup Steering
/// \param Home zone of the caller, see homeZoneOf()
RegionDecision chooseRegion(VmSteering &S, const Declarations &D,
                            const ServiceId &Service, const ZoneId &Home,
                            const std::map<RegionId, RegionCredit> &Credits,
                            const CallBytes &Bytes, Random &Source);

/// Lists the VMs of a region to which a call may be forwarded, in the order to
/// try them: those that say they have upstreams of the service, drawn at
/// random. A forwarded call is never forwarded again.
/// \ingroup Steering
std::vector<VmId> forwardTargets(const VmSteering &S, const Declarations &D,
                                 const ServiceId &Service,
                                 const RegionId &Region,
                                 const std::set<VmId> &Ready, Time Now,
                                 Random &Source);

} // namespace lagoonpoint
