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
  std::optional<Time> ProvedAt_; ///< last proof by the leader
  Duration Lease_;               ///< validity of a proof
  Contact Contact_ = Contact::Alone;
  bool ZoneExpired_ = false; ///< the proofs of all peers in contact expired too
};

/// Whether a call with a known key and the right secret is accepted.
enum class KeyVerdict { Ok, Withdrawn, NotCurrent };

/// Decides whether a known key is accepted.
///
/// While the proof is valid, a key is accepted unless it was withdrawn. After
/// that, a VM without contact to its zone refuses it, and so does one in
/// contact with a VM of its zone whose proof is valid. If the proofs of all VMs
/// of the zone in contact have expired, keys are accepted for the time that the
/// team declares for a cut-off zone, counted from this VM's last proof.
/// \ingroup Dissemination
/// \param CutOffFor TeamDecl::CutOffKeysFor_ of the key's team
KeyVerdict keyVerdict(const KeyFreshness &Freshness,
                      const WithdrawnKeys &Withdrawn, const KeyId &Key,
                      Duration CutOffFor, Time Now);

} // namespace lagoonpoint
