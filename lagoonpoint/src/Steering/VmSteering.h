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

/// Periodic steering update to the other VMs. It holds the rows that the sender
/// carries, or all rows if a starting VM has requested them.
struct SteeringUpdate {
  RegionPlanSnapshot Regions_;
  LookupPlanSnapshot Lookups_;
  bool IsComplete_ = false; ///< contains all rows
  std::vector<RegionPlanSnapshot::Entry>
      SendRates_;                  ///< requests per second by region
  std::vector<ServiceId> Serving_; ///< services for which it has upstreams
  double Slots_ = 0;       ///< assigned to it at upstreams that accept calls
  bool IsStarted_ = false; ///< false: requests the plans
  MSGPACK_DEFINE(Regions_, Lookups_, IsComplete_, SendRates_, Serving_, Slots_,
                 IsStarted_)
};

/// \class VmSteering
/// \ingroup Steering
/// \brief Steering state of one VM, except for its upstreams.
///
/// A VM that starts requests the plans of the others and continues with them.
/// It starts from the declarations if all other declared VMs are starting too,
/// or if none has sent its plans within PlanRequestTimeout.
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
  bool IsPlanRequested_ = false; ///< by a VM that is starting
};

/// How long a starting VM waits for the plans of a peer.
inline constexpr Duration PlanRequestTimeout = Duration::seconds(3);

/// \returns the state of a VM that starts now.
/// \ingroup Steering
VmSteering startSteering(const VmId &Self, Time Now);

/// Advances the plans. Call it about twice per second.
/// \ingroup Steering
/// \param Ready VMs in contact, this one included
/// \param Slots by service, see assignedSlots(); 0 or absent if none
/// \returns the update to send to all other VMs, if one is due
std::optional<SteeringUpdate> tick(VmSteering &S, const Declarations &D,
                                   const std::set<VmId> &Ready,
                                   const std::map<ServiceId, double> &Slots,
                                   Time Now);

/// Applies an update from another VM.
/// \ingroup Steering
/// \throws Error if it is malformed; nothing is changed then
void applyPeerUpdate(VmSteering &S, const VmId &From,
                     const SteeringUpdate &Update, Time Now);

/// Chooses the region of a call and counts the call. Until the VM has started,
/// calls are refused with NotReady.
/// \ingroup Steering
/// \param Home home zone of the caller, see homeZoneOf()
RegionDecision chooseRegion(VmSteering &S, const Declarations &D,
                            const ServiceId &Service, const ZoneId &Home,
                            const std::map<RegionId, RegionCredit> &Credits,
                            const CallBytes &Bytes, Random &Source);

/// \returns the VMs of a region that report upstreams of the service, in random
/// order. A call is forwarded to them in that order until one takes it. A
/// forwarded call is never forwarded again.
/// \ingroup Steering
std::vector<VmId> forwardTargets(const VmSteering &S, const Declarations &D,
                                 const ServiceId &Service,
                                 const RegionId &Region,
                                 const std::set<VmId> &Ready, Time Now,
                                 Random &Source);

} // namespace lagoonpoint
