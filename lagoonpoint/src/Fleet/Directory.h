#pragma once

#include "lagoonpoint/src/Fleet/NodeRegistry.h"

namespace lagoonpoint {

/// Who asks for entry VMs.
struct DirectoryQuery {
  RegionId Region_;
  ZoneId Zone_;
  std::vector<RegionId> Allowed_; ///< regions to name VMs of; empty: any
};

/// Most entry VMs that one answer names.
inline constexpr std::size_t MaxDirectoryEntries = 64;

/// Chooses entry VMs for a caller: ready ones of its region, else of any
/// allowed region. VMs not heard of within \p Within are left out.
/// \ingroup Fleet
/// \returns "host:port" of each, empty if none is known
std::vector<std::string> chooseEntries(const NodeRegistry &R,
                                       const DirectoryQuery &Query,
                                       Duration MaxSilence, Time Now);

} // namespace lagoonpoint
