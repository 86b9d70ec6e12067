#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"
#include "lagoonpoint/src/Node/MembershipHost.h"

#include <optional>

namespace lagoonpoint {

/// \class ViewProposer
/// \ingroup Node
/// \brief Notices when a zone's view for once-requests no longer fits the
/// processes that are alive there.
///
/// The zone's first living VM proposes the next view, once the difference has
/// lasted for a while. Of two that propose at once the epoch lets one win.
struct ViewProposer {
  std::optional<Time> DiffersSince_;
  Time NextProposal_;
};

/// \returns the view to propose now, if any.
/// \ingroup Node
std::optional<ZoneView> viewToPropose(ViewProposer &Proposer,
                                      const ActiveDeclarations &F,
                                      const FleetView &Fleet,
                                      const ZoneId &Zone, const VmId &Self,
                                      Time Now);

} // namespace lagoonpoint
