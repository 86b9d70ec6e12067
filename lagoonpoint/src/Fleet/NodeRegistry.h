#pragma once

#include "lagoonpoint/src/Fleet/FleetMessage.h"

#include <map>

namespace lagoonpoint {

/// Silence after which a VM counts as not live. Tolerates the loss of two
/// heartbeats in a row, which are sent once a second.
inline constexpr Duration LivenessTimeout = Duration::millis(2700);

/// What a core VM knows of a VM from its heartbeats.
struct KnownNode {
  NodeRecord Record_;
  Time HeardAt_;         ///< last heartbeat, to this or another core VM
  Time DirectlyHeardAt_; ///< last heartbeat to this core VM
  bool Ready_ = false;   ///< entry VM: accepts new callers
  Revision ItemsRevision_;
  RateMap TeamRates_;
  RateMap ServiceRates_;
};

/// \class NodeRegistry
/// \ingroup Fleet
/// \brief The VMs that send heartbeats to a core VM, and the entry VMs that
/// other core VMs report.
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

/// Records entry VMs that another core VM has heard.
/// \ingroup Fleet
void recordReports(NodeRegistry &R, const std::vector<EntryReport> &Reports,
                   Time Now);

/// \returns reports on the entry VMs whose last heartbeat to this core VM is
/// not older than \p MaxSilence. \ingroup Fleet \param[in,out] RecordsSent
/// entry VMs whose record the receiver has, by the start of their process
std::vector<EntryReport>
reportEntryVms(const NodeRegistry &R, Duration MaxSilence,
               std::map<VmId, std::uint64_t> &RecordsSent, Time Now);

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
