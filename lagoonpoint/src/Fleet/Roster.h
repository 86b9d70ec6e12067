#pragma once

#include "lagoonpoint/src/Fleet/FleetMessage.h"

#include <map>

namespace lagoonpoint {

/// One VM as this core VM hears of it.
struct HeardNode {
  NodeRecord Record_;
  Time HeardAt_;
  bool Ready_ = false; ///< entry VM: takes new callers
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

/// How a beat was taken.
enum class BeatNote {
  Taken,
  Unknown, ///< the sender has to describe itself
  Outdated ///< of an earlier start of the sender
};

/// Takes in a beat.
/// \ingroup Fleet
BeatNote note(Roster &R, const VmId &From, const Beat &B, Time Now);

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
