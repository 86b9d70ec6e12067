#pragma once

#include "lagoonpoint/src/Fleet/FleetMessage.h"

#include <map>
#include <optional>

namespace lagoonpoint {

/// \class ItemFreshness
/// \ingroup Fleet
/// \brief Proves up to which time this VM's items were complete.
///
/// Each core VM's reply to a heartbeat reports the last log entry on its disk.
/// A change is acknowledged only once a quorum of voters has it on disk. So if
/// a quorum has no entry that this VM lacks, this VM had all acknowledged
/// changes when the oldest of the heartbeats so answered was sent. This needs
/// no leader, and works in either half of a partitioned core as long as this VM
/// reaches enough voters.
///
/// A core VM that has such a proof relays it, so that entry VMs need not ask a
/// quorum of voters in all regions themselves.
struct ItemFreshness {
  struct Answer {
    Time RequestedAt_;
    LogProof Proof_;
  };
  struct Relay {
    Time ProvenAt_;     ///< on this VM's clock, never later than it was
    Revision Revision_; ///< of the items that it proves to be current
    std::vector<std::string> UnprovenTeams_;
  };
  LogIndex AppliedIndex_; ///< last log entry applied to the items
  Revision Revision_;     ///< of the items
  LogIndex VoterConfigIndex_;
  VoterConfig VoterConfig_; ///< newest one reported by a core VM
  std::map<VmId, Answer> Answers_;
  std::map<VmId, Relay> Relays_;
};

/// Records a core VM's reply to a heartbeat that was sent at \p RequestedAt.
/// \ingroup Fleet
void record(ItemFreshness &C, const VmId &Core, Time RequestedAt,
            const LogProof &Proof);

/// Records a proof that a core VM relayed in its reply to a heartbeat that was
/// sent at \p RequestedAt. The proof's age was taken after that, so that the
/// result is not too late even if the reply was delayed or the core VM was
/// paused.
/// \ingroup Fleet
/// \param R revision of the core VM's items
void recordRelay(ItemFreshness &C, const VmId &Core, Time RequestedAt,
                 const RelayedProof &Proof, Revision R);

/// \returns the proof to relay to entry VMs, if this core VM has one.
/// \ingroup Fleet
std::optional<RelayedProof> relayedProof(const ItemFreshness &C, Time Now);

/// \returns the latest time at which a team's items are proven to have been
/// complete; nothing without a quorum of replies. Uncommitted log entries, as
/// in a partitioned core, prevent the proof only for the teams that they
/// concern.
/// \ingroup Fleet
std::optional<Time> provenCurrentAt(const ItemFreshness &C, const TeamId &Team);

} // namespace lagoonpoint
