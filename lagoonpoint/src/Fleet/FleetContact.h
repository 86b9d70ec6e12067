#pragma once

#include "lagoonpoint/Core"

#include <optional>

namespace lagoonpoint {

/// \class FleetContact
/// \ingroup Fleet
/// \brief Tells whether a core VM has heard of all VMs that are in contact with
/// a quorum of the core VMs.
///
/// A core VM that has just started, was suspended or was cut off hears of them
/// one after the other: entry VMs send heartbeats, and core VMs report the
/// entry VMs that they hear, once a second each. Until then it must not take
/// those that it has heard of for all.
struct FleetContact {
  std::optional<Time> InContactSince_; ///< with a quorum, without interruption
  Time UpdatedAt_;
};

/// Records whether a core VM is in contact with a quorum now. To be called more
/// often than once a second: a longer pause counts as a suspension.
/// \ingroup Fleet
void updateContact(FleetContact &C, bool HasQuorum, Time Now);

/// \returns whether the VMs heard of are all, as of the last update.
/// \ingroup Fleet
bool knowsAll(const FleetContact &C);

} // namespace lagoonpoint
