#pragma once

#include "lagoonpoint/src/Core/Id.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lagoonpoint {

/// The module that a message between VMs belongs to. The values are part of
/// the wire protocol.
enum class Channel : std::uint8_t {
  Replication = 1,
  Membership = 2,
  Dissemination = 3,
  Withdrawal = 4,
  Lease = 5,
  Once = 6,
  Upstreams = 7,
  Forward = 8,
  Steering = 9,
  Fleet = 10,
};

/// The highest valid channel number; channels are numbered from 1.
inline constexpr Channel LastChannel = Channel::Fleet;

/// \class Envelope
/// \ingroup Core
/// \brief One encoded message from a VM to another.
///
/// Messages can be lost, delayed, duplicated or reordered. Every protocol on
/// top must tolerate this.
struct Envelope {
  VmId From_;
  VmId To_;
  Channel Channel_ = Channel::Membership;
  std::string Body_;
};

/// \class Transport
/// \ingroup Core
/// \brief Interface that sends envelopes to other VMs.
class Transport {
public:
  virtual ~Transport() = default;

  /// Queues a message without blocking. A message that cannot be delivered is
  /// dropped and counted; an unreachable VM does not cause an exception.
  virtual void send(Envelope Message) = 0;
};

/// Called for each received message, on a thread of the transport.
using EnvelopeHandler = std::function<void(Envelope)>;

} // namespace lagoonpoint
