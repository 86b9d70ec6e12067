#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <vector>

namespace lagoonpoint {

/// A member of a zone's view.
struct OnceMember {
  VmId Vm_;
  Incarnation Incarnation_; ///< a restarted process counts as a new member
  Epoch MemberSince_;       ///< first epoch of its membership

  friend bool operator==(const OnceMember &, const OnceMember &) = default;
  MSGPACK_DEFINE(Vm_, Incarnation_, MemberSince_)
};

/// \class OnceView
/// \ingroup Once
/// \brief The VMs that store the records of a zone's once-requests.
///
/// Changed only through the replicated log, one epoch at a time.
struct OnceView {
  ZoneId Zone_;
  Epoch Epoch_;
  std::vector<OnceMember> Members_; ///< sorted by VM

  friend bool operator==(const OnceView &, const OnceView &) = default;
  MSGPACK_DEFINE(Zone_, Epoch_, Members_)
};

/// A live VM, with the incarnation of its process.
struct OnceProcess {
  VmId Vm_;
  Incarnation Incarnation_;
};

/// \returns the view that follows \p Old, with the VMs now alive. Processes
/// that stay keep MemberSince_.
/// \ingroup Once
OnceView nextView(const OnceView &Old, std::vector<OnceProcess> Alive);

/// \returns the member on this VM, null if there is none.
/// \ingroup Once
const OnceMember *memberOf(const OnceView &View, const VmId &Vm);

/// \returns the oldest epoch for which some member has complete records; the
/// epoch after \p View if it has no members.
/// \ingroup Once
Epoch oldestCoveredEpoch(const OnceView &View);

/// \returns the member that claims a key unless another one already has, chosen
/// by rendezvous hashing.
/// \ingroup Once
VmId homeVm(const OnceView &View, const std::string &Key);

} // namespace lagoonpoint
