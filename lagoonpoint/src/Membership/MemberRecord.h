#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <cstdint>

namespace lagoonpoint {

/// What is known of a VM's process. Of two records with the same incarnation
/// and version the one with the greater state holds.
enum class VmState : std::uint8_t { Alive, Draining, Suspect, Dead };

/// \returns "alive", "draining", "suspect" or "dead".
const char *toString(VmState State);

/// \class MemberRecord
/// \ingroup Membership
/// \brief What VMs tell each other of one VM.
struct MemberRecord {
  VmId Vm_;
  Incarnation Incarnation_;   ///< grows with each start of the process
  std::uint64_t Version_ = 0; ///< raised by the VM itself only
  VmState State_ = VmState::Alive;
  Revision Revision_; ///< in force there

  MSGPACK_DEFINE(Vm_, Incarnation_, Version_, State_, Revision_)
};

/// \returns whether \p In says more than \p Mine does.
/// \ingroup Membership
bool supersedes(const MemberRecord &In, const MemberRecord &Mine);

/// \returns a hash of what the record says, its revision aside.
std::uint64_t digestOf(const MemberRecord &Record);

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::VmState)
