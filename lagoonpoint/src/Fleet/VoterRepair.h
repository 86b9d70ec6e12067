#pragma once

#include "lagoonpoint/Replication"
#include "lagoonpoint/src/Fleet/NodeRegistry.h"

#include <optional>
#include <set>

namespace lagoonpoint {

/// Silence after which the core VMs of a voter's zone are held as learners.
inline constexpr Duration HoldTimeout = Duration::seconds(1);
/// Silence after which a voter is removed although nothing has taken its place.
inline constexpr Duration VoterTimeout = Duration::seconds(12);

/// A voter or learner that the leader hasn't heard for some time.
struct SilentMember {
  VmId Vm_;
  ZoneId Zone_; ///< empty if the leader doesn't know it
  Duration For_;
};

/// \returns the voters and learners whose replica has not answered the leader
/// for longer than \p MinSilence, the longest silent first. One that never
/// answered is silent since the leader leads, or since its last heartbeat.
/// \ingroup Fleet
std::vector<SilentMember> silentMembers(const VoterConfig &Config,
                                        const MemberContact &Contact,
                                        const NodeRegistry &Nodes,
                                        const VmId &Self, Duration MinSilence,
                                        Time Now);

/// \returns the live core VMs in whose zone a voter is silent. They become
/// voters only after it was removed: until then, their vote would raise the
/// quorum by more than it is worth if they fail in turn.
/// \ingroup Fleet
std::set<VmId> heldLearners(const VoterConfig &Config,
                            const std::vector<NodeRecord> &Live,
                            const std::vector<SilentMember> &Silent);

/// One change of the voters that the leader makes automatically.
struct VoterRepairStep {
  bool Add_ = false; ///< add as a learner, else remove
  VmId Vm_;
};

/// Chooses the next change that adapts the voters to the live core VMs: one
/// that lost its disk is removed and added again as a learner, and a new one is
/// added. A silent one is removed at once if a live core VM of its zone has
/// taken its place, and after VoterTimeout otherwise.
///
/// Removing a silent voter never makes the number of further losses that the
/// voters bear smaller. Voters that are gone for good must not stay beside
/// their successors, as they raise the quorum.
/// \ingroup Fleet
/// \param Live core VMs in contact, the leader included
/// \param Silent members that don't count as live
std::optional<VoterRepairStep>
nextVoterRepairStep(const VoterConfig &Config,
                    const std::vector<NodeRecord> &Live,
                    const std::vector<SilentMember> &Silent);

} // namespace lagoonpoint
