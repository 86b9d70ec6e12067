#pragma once

#include "lagoonpoint/src/Fleet/NodeRegistry.h"

namespace lagoonpoint {

/// A request for entry VMs.
struct DirectoryQuery {
  RegionId Region_;
  ZoneId Zone_;
  std::vector<RegionId> Allowed_; ///< regions of the VMs; empty: any
};

/// Maximum number of entry VMs in one look-up response.
inline constexpr std::size_t MaxDirectoryEntries = 64;

/// Chooses ready entry VMs for a caller: those of its region, else those of the
/// allowed regions, else any. VMs that were silent for longer than
/// \p MaxSilence are left out.
/// \ingroup Fleet
/// \returns their "host:port", empty if none is known
std::vector<std::string> chooseEntries(const NodeRegistry &R,
                                       const DirectoryQuery &Query,
                                       Duration MaxSilence, Time Now);

} // namespace lagoonpoint
