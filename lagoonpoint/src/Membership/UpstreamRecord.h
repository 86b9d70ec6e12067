#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace lagoonpoint {

/// Names an upstream; ids are unique within a service.
struct UpstreamKey {
  ServiceId Service_;
  UpstreamId Upstream_;

  friend auto operator<=>(const UpstreamKey &, const UpstreamKey &) = default;
  MSGPACK_DEFINE(Service_, Upstream_)
};

/// Version of a record: grows with each announcement that a VM takes.
struct RecordVersion {
  std::uint64_t Counter_ = 0; ///< above all counters the issuer knew
  VmId Issuer_;               ///< VM that took the announcement

  friend auto operator<=>(const RecordVersion &,
                          const RecordVersion &) = default;
  MSGPACK_DEFINE(Counter_, Issuer_)
};

/// The highest counter of a leaving announcement that each VM took.
using LeaveVector = std::map<VmId, std::uint64_t>;

/// \class UpstreamRecord
/// \ingroup Membership
/// \brief What VMs know of one upstream from its announcements.
struct UpstreamRecord {
  UpstreamKey Key_;
  RecordVersion Version_;
  std::string Host_;
  unsigned short Port_ = 0;
  ZoneId Zone_;
  unsigned Slots_ = 0;
  unsigned Connections_ = 0;
  double Load_ = 0; ///< share of its slots in use, as it says
  bool LoadReported_ = false;
  Duration LoadAge_;          ///< since the load was reported to a VM
  Duration Lease_;            ///< remaining; the upstream is gone at its end
  LeaveVector KnownLeaves_;   ///< all leaving announcements known
  LeaveVector LeavesAtIssue_; ///< of these, known when this version was issued

  MSGPACK_DEFINE(Key_, Version_, Host_, Port_, Zone_, Slots_, Connections_,
                 Load_, LoadReported_, LoadAge_, Lease_, KnownLeaves_,
                 LeavesAtIssue_)
};

/// \returns whether the upstream left and has not announced itself since to a
/// VM that knew it.
/// \ingroup Membership
bool leaving(const UpstreamRecord &Record);

} // namespace lagoonpoint
