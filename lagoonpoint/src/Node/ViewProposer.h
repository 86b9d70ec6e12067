#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"
#include "lagoonpoint/src/Node/MembershipHost.h"

#include <optional>

namespace lagoonpoint {

/// \class ViewProposer
/// \ingroup Node
/// \brief Tracks since when a zone's view for once-requests has differed from
/// the live processes of the zone.
///
/// The first live VM of the zone, by id, proposes the next view after the
/// difference has lasted for a minimum time. If two VMs propose at the same
/// time, the check of the view's epoch accepts only one of the proposals.
struct ViewProposer {
  std::optional<Time> DiffersSince_;
  Time NextProposal_;
};

/// \returns the view to propose now, empty if none is due.
/// \ingroup Node
std::optional<ZoneView> viewToPropose(ViewProposer &Proposer,
                                      const ActiveDeclarations &F,
                                      const FleetView &Fleet,
                                      const ZoneId &Zone, const VmId &Self,
                                      Time Now);

} // namespace lagoonpoint
