#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/src/Node/InForce.h"
#include "lagoonpoint/src/Node/MemberHost.h"

#include <optional>

namespace lagoonpoint {

/// \class ViewKeeper
/// \ingroup Node
/// \brief Notices when a zone's view for once-requests no longer fits the
/// processes that are alive there.
///
/// The zone's first living VM proposes the next view, once the difference has
/// lasted for a while. Of two that propose at once the epoch lets one win.
struct ViewKeeper {
  std::optional<Time> DiffersSince_;
  Time NextProposal_;
};

/// \returns the view to propose now, if any.
/// \ingroup Node
std::optional<ZoneView> viewToPropose(ViewKeeper &Keeper, const InForce &F,
                                      const FleetView &Fleet,
                                      const ZoneId &Zone, const VmId &Self,
                                      Time Now);

} // namespace lagoonpoint
