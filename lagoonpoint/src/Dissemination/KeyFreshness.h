#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/Membership"
#include "lagoonpoint/src/Dissemination/WithdrawnKeys.h"

#include <optional>

namespace lagoonpoint {

/// \class KeyFreshness
/// \ingroup Dissemination
/// \brief How current this VM's keys are.
struct KeyFreshness {
  std::optional<Time> ProvedAt_; ///< last proof of the authority
  Duration Lease_;               ///< of a proof
  Contact Contact_ = Contact::Alone;
  bool ZoneExpired_ = false; ///< all peers in contact have lapsed too
};

/// What becomes of a call with a key that is known and right.
enum class KeyVerdict { Ok, Withdrawn, NotCurrent };

/// Judges a known key.
///
/// While the proof holds, the key is good unless withdrawn. When it has
/// lapsed, a VM without contact to its zone refuses. VMs that are in contact
/// and of which none has a proof go on for the time that the team declared
/// for a zone that is cut off, counted from this VM's last proof.
/// \ingroup Dissemination
/// \param CutOffFor TeamDecl::CutOffKeysFor_ of the key's team
KeyVerdict keyVerdict(const KeyFreshness &Freshness,
                      const WithdrawnKeys &Withdrawn, const KeyId &Key,
                      Duration CutOffFor, Time Now);

} // namespace lagoonpoint
