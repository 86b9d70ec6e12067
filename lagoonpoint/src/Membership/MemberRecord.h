#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <cstdint>

namespace lagoonpoint {

/// State of a VM's process. Of two records with the same incarnation and
/// version, the one with the greater state takes precedence.
enum class VmState : std::uint8_t { Alive, Draining, Suspect, Dead };

/// \returns "alive", "draining", "suspect" or "dead".
const char *toString(VmState State);

/// \class MemberRecord
/// \ingroup Membership
/// \brief The state of one VM, as VMs exchange it.
struct MemberRecord {
  VmId Vm_;
  Incarnation Incarnation_;   ///< increases with each start of the process
  std::uint64_t Version_ = 0; ///< incremented only by the VM itself
  VmState State_ = VmState::Alive;
  Revision Revision_; ///< revision in force at the VM

  MSGPACK_DEFINE(Vm_, Incarnation_, Version_, State_, Revision_)
};

/// \returns whether \p In takes precedence over \p Mine.
/// \ingroup Membership
bool supersedes(const MemberRecord &In, const MemberRecord &Mine);

/// \returns a hash of the record without its revision.
std::uint64_t digestOf(const MemberRecord &Record);

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::VmState)
