#pragma once

#include "lagoonpoint/Config"

#include <map>
#include <set>

namespace lagoonpoint {

/// \class SlotSharers
/// \ingroup Steering
/// \brief Which VMs of a zone divide the slots of its upstreams.
struct SlotSharers {
  std::map<VmId, Time> LastReady_; ///< or when it was first asked about
};

/// Slots of a silent VM are left alone for this long: it may be slow only, and
/// its calls may still run.
inline constexpr Duration SlotTakeoverDelay = Duration::seconds(5);

/// \returns the declared entry VMs of a zone, less those out of contact for
/// SlotTakeoverDelay. Give the result to divideSlots().
/// \ingroup Steering
/// \param Ready VMs in contact
/// \param Self always one of the result
std::set<VmId> slotSharers(SlotSharers &State, const Declarations &D,
                           const ZoneId &Zone, const std::set<VmId> &Ready,
                           const VmId &Self, Time Now);

} // namespace lagoonpoint
