#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Limits/Quantity.h"

namespace lagoonpoint {

/// Reserves a floor, a guaranteed minimum of a team's rate and burst, for each
/// entry VM: FleetDecl::FloorShare_ is divided evenly over the zones that have
/// entry VMs, then over the VMs of each zone.
///
/// A bucket with a burst below 1 admits no request. If an even share of the
/// burst is below 1, whole units are assigned to single VMs instead,
/// round-robin over the zones, starting at a zone and VM derived from a hash of
/// the team. The other VMs have no floor.
/// \ingroup Limits
Allotment teamAllotment(const Declarations &D, Revision R,
                        const TeamDecl &Team);

/// Divides a region's whole capacity over its own VMs, so that an isolated
/// region keeps all of it. VMs of other regions may send there only with a
/// lease on floors that these VMs have ceded.
/// \ingroup Limits
Allotment regionAllotment(const Declarations &D, Revision R,
                          const RegionDecl &Region);

/// Divides a link's whole capacity over the VMs of its source region.
/// \ingroup Limits
Allotment linkAllotment(const Declarations &D, Revision R,
                        const LinkDecl &Link);

/// \returns the allotments of all quantities that a revision declares.
/// \ingroup Limits
std::map<QuantityId, Allotment> allotments(const Declarations &D, Revision R);

} // namespace lagoonpoint
