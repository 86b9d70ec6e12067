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
struct ItemFreshness {
  struct Answer {
    Time RequestedAt_;
    LogProof Proof_;
  };
  LogIndex AppliedIndex_; ///< last log entry applied to the items
  LogIndex VoterConfigIndex_;
  VoterConfig VoterConfig_; ///< newest one reported by a core VM
  std::map<VmId, Answer> Answers_;
};

/// Records a core VM's reply to a heartbeat that was sent at \p RequestedAt.
/// \ingroup Fleet
void record(ItemFreshness &C, const VmId &Core, Time RequestedAt,
            const LogProof &Proof);

/// \returns the latest time at which a team's items are proven to have been
/// complete; nothing without a quorum of replies. Uncommitted log entries, as
/// in a partitioned core, prevent the proof only for the teams that they
/// concern.
/// \ingroup Fleet
std::optional<Time> provenCurrentAt(const ItemFreshness &C, const TeamId &Team);

} // namespace lagoonpoint
