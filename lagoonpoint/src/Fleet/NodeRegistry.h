#pragma once

#include "lagoonpoint/src/Fleet/FleetMessage.h"

#include <map>

namespace lagoonpoint {

/// What a core VM knows of a VM from its heartbeats.
struct KnownNode {
  NodeRecord Record_;
  Time HeardAt_;
  bool Ready_ = false; ///< entry VM: accepts new callers
  Revision ItemsRevision_;
  RateMap TeamRates_;
  RateMap ServiceRates_;
};

/// \class NodeRegistry
/// \ingroup Fleet
/// \brief The VMs that send heartbeats to a core VM.
struct NodeRegistry {
  std::map<VmId, KnownNode> Nodes_;
};

/// Result of recording a heartbeat.
enum class HeartbeatResult {
  Accepted,
  UnknownSender, ///< the sender has to send its record
  Outdated       ///< of an earlier process of the sender
};

/// Records a heartbeat.
/// \ingroup Fleet
HeartbeatResult record(NodeRegistry &R, const VmId &From, const Heartbeat &B,
                       Time Now);

/// Removes VMs whose last heartbeat is older than \p MaxSilence.
/// \ingroup Fleet
void removeSilent(NodeRegistry &R, Duration MaxSilence, Time Now);

/// \returns the entry VMs, ready or not, whose last heartbeat is not older than
/// \p MaxSilence.
/// \ingroup Fleet
std::vector<const KnownNode *> liveEntryVms(const NodeRegistry &R,
                                            Duration MaxSilence, Time Now);

/// \returns the core VMs whose last heartbeat is not older than \p MaxSilence.
/// \ingroup Fleet
std::vector<const KnownNode *> liveCoreVms(const NodeRegistry &R,
                                           Duration MaxSilence, Time Now);

} // namespace lagoonpoint
