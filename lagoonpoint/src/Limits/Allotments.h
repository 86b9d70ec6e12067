#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Limits/Quantity.h"

namespace lagoonpoint {

/// Divides a team's rate and burst: FleetDecl::FloorShare_ of it evenly over
/// the zones that have entry VMs, then over each zone's VMs.
///
/// A bucket that can't hold one whole request admits none. Where an even share
/// of the burst would be less than one, VMs get one whole unit each, taking
/// turns over the zones from a place that depends on the team, and only these
/// have a floor.
/// \ingroup Limits
Allotment teamAllotment(const Declarations &D, Revision R,
                        const TeamDecl &Team);

/// Divides a region's whole capacity over its own VMs, so that a region that is
/// cut off keeps all of it. VMs elsewhere send there only with a lease of what
/// these VMs have set aside.
/// \ingroup Limits
Allotment regionAllotment(const Declarations &D, Revision R,
                          const RegionDecl &Region);

/// Divides all of a link's bytes over the VMs of the region it leaves.
/// \ingroup Limits
Allotment linkAllotment(const Declarations &D, Revision R,
                        const LinkDecl &Link);

/// \returns all quantities a revision declares.
/// \ingroup Limits
std::map<QuantityId, Allotment> allotments(const Declarations &D, Revision R);

} // namespace lagoonpoint
