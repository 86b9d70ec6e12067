#pragma once

#include "lagoonpoint/src/Fleet/FleetMessage.h"

#include <map>

namespace lagoonpoint {

/// One VM as this core VM hears of it.
struct HeardNode {
  NodeRecord Record_;
  Time HeardAt_;
  Revision Holds_;
  RateMap TeamRates_;
  RateMap ServiceRates_;
};

/// \class Roster
/// \ingroup Fleet
/// \brief The VMs that a core VM hears from directly.
struct Roster {
  std::map<VmId, HeardNode> Nodes_;
};

/// Takes in a beat; one of an earlier start of the sender is dropped.
/// \ingroup Fleet
/// \returns false if it was dropped
bool note(Roster &R, const Beat &B, Time Now);

/// Drops VMs not heard of for a span.
/// \ingroup Fleet
void forget(Roster &R, Duration Silence, Time Now);

/// \returns entry VMs heard of within a span, ready or not.
/// \ingroup Fleet
std::vector<const HeardNode *> liveEntries(const Roster &R, Duration Within,
                                           Time Now);

/// \returns core VMs heard of within a span.
/// \ingroup Fleet
std::vector<const HeardNode *> liveCores(const Roster &R, Duration Within,
                                         Time Now);

} // namespace lagoonpoint
