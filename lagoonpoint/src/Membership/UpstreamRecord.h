#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace lagoonpoint {

/// Identifies an upstream. Upstream ids are unique within a service.
struct UpstreamKey {
  ServiceId Service_;
  UpstreamId Upstream_;

  friend auto operator<=>(const UpstreamKey &, const UpstreamKey &) = default;
  MSGPACK_DEFINE(Service_, Upstream_)
};

/// Version of a record. It increases with each announcement.
struct RecordVersion {
  std::uint64_t Counter_ = 0; ///< greater than all counters known to the issuer
  VmId Issuer_;               ///< VM that received the announcement

  friend auto operator<=>(const RecordVersion &,
                          const RecordVersion &) = default;
  MSGPACK_DEFINE(Counter_, Issuer_)
};

/// Version vector of leave announcements: for each VM, the record counter of
/// the latest one that it received.
using LeaveVector = std::map<VmId, std::uint64_t>;

/// \class UpstreamRecord
/// \ingroup Membership
/// \brief The state of one upstream, as given by its announcements.
struct UpstreamRecord {
  UpstreamKey Key_;
  RecordVersion Version_;
  std::string Host_;
  unsigned short Port_ = 0;
  ZoneId Zone_;
  unsigned Slots_ = 0;
  unsigned Connections_ = 0;
  double Load_ = 0; ///< share of its slots in use, as reported by the upstream
  bool LoadReported_ = false;
  Duration LoadAge_;          ///< time since the upstream reported it
  Duration Lease_;            ///< remaining; the upstream is gone when it ends
  LeaveVector KnownLeaves_;   ///< all known leave announcements
  LeaveVector LeavesAtIssue_; ///< those known when this version was issued

  MSGPACK_DEFINE(Key_, Version_, Host_, Port_, Zone_, Slots_, Connections_,
                 Load_, LoadReported_, LoadAge_, Lease_, KnownLeaves_,
                 LeavesAtIssue_)
};

/// \returns true if a leave announcement is known that the issuer of this
/// version didn't know. The upstream then stays unusable until it announces
/// itself again to a VM that knows that it left.
/// \ingroup Membership
bool leaving(const UpstreamRecord &Record);

} // namespace lagoonpoint
