#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/src/Membership/MemberRecord.h"
#include "lagoonpoint/src/Membership/UpstreamRecord.h"

#include <vector>

namespace lagoonpoint {

/// The digest of a zone, computed by one of its VMs.
struct ZoneReport {
  ZoneId Zone_;
  /// Report counter and id of the VM that issued the report.
  RecordVersion Version_;
  std::uint64_t Digest_ = 0;

  MSGPACK_DEFINE(Zone_, Version_, Digest_)
};

/// Kind of a message. A Ping is answered by an Ack.
enum class MessageKind : std::uint8_t { Ping, Ack, Update };

/// \class MembershipMessage
/// \ingroup Membership
/// \brief A message of the membership protocol; unused lists are empty.
struct MembershipMessage {
  MessageKind Kind_ = MessageKind::Update;
  MemberRecord Sender_;
  std::uint64_t Digest_ = 0; ///< digest of the sender's zone, in a Ping
  /// Incarnation of the pinging VM; the Ack repeats it.
  Incarnation PingerIncarnation_;
  /// Send time of the Ping by the pinging VM's clock; the Ack repeats it.
  Duration PingSentAt_;
  std::vector<MemberRecord> Members_;
  std::vector<UpstreamRecord> Upstreams_;
  std::vector<ZoneReport> Reports_;
  std::vector<ZoneId>
      RequestedZones_; ///< zones whose records the sender requests

  MSGPACK_DEFINE(Kind_, Sender_, Digest_, PingerIncarnation_, PingSentAt_,
                 Members_, Upstreams_, Reports_, RequestedZones_)
};

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::MessageKind)
