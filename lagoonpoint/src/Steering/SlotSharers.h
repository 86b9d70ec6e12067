#pragma once

#include "lagoonpoint/Config"

#include <map>
#include <set>

namespace lagoonpoint {

/// \class SlotSharers
/// \ingroup Steering
/// \brief Tracks the VMs of a zone that share the slots of its upstreams.
struct SlotSharers {
  std::map<VmId, Time> LastReady_; ///< or when it was first seen declared
};

/// How long the slots of a VM out of contact stay reserved. It may only be
/// slow, and its calls may still be running.
inline constexpr Duration SlotTakeoverDelay = Duration::seconds(5);

/// \returns the declared entry VMs of a zone, except those out of contact for
/// SlotTakeoverDelay. Pass the result to divideSlots().
/// \ingroup Steering
/// \param Ready VMs in contact
/// \param Self always part of the result
std::set<VmId> slotSharers(SlotSharers &State, const Declarations &D,
                           const ZoneId &Zone, const std::set<VmId> &Ready,
                           const VmId &Self, Time Now);

} // namespace lagoonpoint
