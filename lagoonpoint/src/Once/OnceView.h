#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <vector>

namespace lagoonpoint {

/// One VM of a zone's view.
struct OnceMember {
  VmId Vm_;
  Incarnation Incarnation_; ///< a restarted process is another member
  Epoch MemberSince_;       ///< first view since which it is a member

  friend bool operator==(const OnceMember &, const OnceMember &) = default;
  MSGPACK_DEFINE(Vm_, Incarnation_, MemberSince_)
};

/// \class OnceView
/// \ingroup Once
/// \brief The VMs that together remember a zone's once-requests.
///
/// Changes only through the replicated log, one epoch at a time.
struct OnceView {
  ZoneId Zone_;
  Epoch Epoch_;
  std::vector<OnceMember> Members_; ///< by VM

  friend bool operator==(const OnceView &, const OnceView &) = default;
  MSGPACK_DEFINE(Zone_, Epoch_, Members_)
};

/// A VM found alive, with the incarnation of its process.
struct OnceProcess {
  VmId Vm_;
  Incarnation Incarnation_;
};

/// \returns the view after \p Old with the VMs now alive; processes that stay
/// keep the epoch since which they are members.
/// \ingroup Once
OnceView nextView(const OnceView &Old, std::vector<OnceProcess> Alive);

/// \returns the member with this VM, null if there is none.
/// \ingroup Once
const OnceMember *memberOf(const OnceView &View, const VmId &Vm);

/// \returns the oldest epoch whose keys some member remembers in full.
/// \ingroup Once
Epoch oldestCoveredEpoch(const OnceView &View);

/// \returns the member that claims a key unless another one already has.
/// \ingroup Once
VmId homeVm(const OnceView &View, const std::string &Key);

} // namespace lagoonpoint
