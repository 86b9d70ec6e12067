#pragma once

#include "lagoonpoint/src/Fleet/FleetMessage.h"

#include <map>
#include <optional>

namespace lagoonpoint {

/// \class Currency
/// \ingroup Fleet
/// \brief Proves until when the items that this VM holds were complete.
///
/// Each core VM tells how far the log on its disk reaches. A change counts only
/// once a quorum of voters has it on disk, so if a quorum of them has nothing
/// beyond what this VM holds, then no change had been acknowledged that it
/// lacks when the oldest of these was asked. No leader is needed, and either
/// half of a split core will do as long as this VM reaches enough voters.
struct ItemFreshness {
  struct Answer {
    Time RequestedAt_;
    LogProof Proof_;
  };
  LogIndex AppliedIndex_; ///< entry up to which the items are complete
  LogIndex VoterConfigIndex_;
  VoterConfig VoterConfig_; ///< newest that any core VM told of
  std::map<VmId, Answer> Answers_;
};

/// Notes what a core VM answered to a question of \p RequestedAt.
/// \ingroup Fleet
void record(ItemFreshness &C, const VmId &Core, Time RequestedAt,
            const LogProof &Proof);

/// \returns the newest time for which the items of a team are proven to be
/// complete, nothing if no quorum has answered. Entries that aren't committed,
/// as in the halves of a split core, leave only the teams that they concern in
/// doubt.
/// \ingroup Fleet
std::optional<Time> provenCurrentAt(const ItemFreshness &C, const TeamId &Team);

} // namespace lagoonpoint
