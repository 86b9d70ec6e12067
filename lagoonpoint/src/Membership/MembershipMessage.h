#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/src/Membership/MemberRecord.h"
#include "lagoonpoint/src/Membership/UpstreamRecord.h"

#include <vector>

namespace lagoonpoint {

/// A zone's digest as one of its VMs saw it.
struct ZoneReport {
  ZoneId Zone_;
  RecordVersion Version_; ///< counter of the VM that made the report
  std::uint64_t Digest_ = 0;

  MSGPACK_DEFINE(Zone_, Version_, Digest_)
};

/// What a message wants of its receiver.
enum class MessageKind : std::uint8_t { Ping, Ack, Update };

/// \class MembershipMessage
/// \ingroup Membership
/// \brief Any message of this module; unused lists are empty.
struct MembershipMessage {
  MessageKind Kind_ = MessageKind::Update;
  MemberRecord Sender_;
  std::uint64_t Digest_ = 0;      ///< of the sender's zone, in a ping
  Incarnation PingerIncarnation_; ///< of the ping, repeated in its answer
  Duration PingSentAt_;           ///< on the pinger's clock, repeated likewise
  std::vector<MemberRecord> Members_;
  std::vector<UpstreamRecord> Upstreams_;
  std::vector<ZoneReport> Reports_;
  std::vector<ZoneId>
      RequestedZones_; ///< zones whose records the sender asks for

  MSGPACK_DEFINE(Kind_, Sender_, Digest_, PingerIncarnation_, PingSentAt_,
                 Members_, Upstreams_, Reports_, RequestedZones_)
};

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::MessageKind)
