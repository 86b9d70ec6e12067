#pragma once

#include "lagoonpoint/src/Fleet/FleetMessage.h"

#include <map>

namespace lagoonpoint {

/// One VM as this core VM hears of it.
struct KnownNode {
  NodeRecord Record_;
  Time HeardAt_;
  bool Ready_ = false; ///< entry VM: takes new callers
  Revision ItemsRevision_;
  RateMap TeamRates_;
  RateMap ServiceRates_;
};

/// \class NodeRegistry
/// \ingroup Fleet
/// \brief The VMs that a core VM hears from directly.
struct NodeRegistry {
  std::map<VmId, KnownNode> Nodes_;
};

/// How a beat was taken.
enum class HeartbeatResult {
  Accepted,
  UnknownSender, ///< the sender has to describe itself
  Outdated       ///< of an earlier start of the sender
};

/// Takes in a beat.
/// \ingroup Fleet
HeartbeatResult record(NodeRegistry &R, const VmId &From, const Heartbeat &B,
                       Time Now);

/// Drops VMs not heard of for a span.
/// \ingroup Fleet
void removeSilent(NodeRegistry &R, Duration MaxSilence, Time Now);

/// \returns entry VMs heard of within a span, ready or not.
/// \ingroup Fleet
std::vector<const KnownNode *> liveEntryVms(const NodeRegistry &R,
                                            Duration MaxSilence, Time Now);

/// \returns core VMs heard of within a span.
/// \ingroup Fleet
std::vector<const KnownNode *> liveCoreVms(const NodeRegistry &R,
                                           Duration MaxSilence, Time Now);

} // namespace lagoonpoint
