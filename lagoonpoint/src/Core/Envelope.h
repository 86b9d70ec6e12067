#pragma once

#include "lagoonpoint/src/Core/Id.h"

#include <cstdint>
#include <functional>
#include <string>

namespace lagoonpoint {

/// Which module a message between VMs belongs to.
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

/// The highest channel; a transport carries all from 1 to this one.
inline constexpr Channel LastChannel = Channel::Fleet;

/// \class Envelope
/// \ingroup Core
/// \brief One encoded message from a VM to another.
///
/// Delivery may lose, delay, repeat or reorder; every protocol copes.
struct Envelope {
  VmId From_;
  VmId To_;
  Channel Channel_ = Channel::Membership;
  std::string Body_;
};

/// \class Transport
/// \ingroup Core
/// \brief Port that carries envelopes to other VMs.
class Transport {
public:
  virtual ~Transport() = default;

  /// Queues a message and returns at once. A message that can't be delivered
  /// is dropped and counted; nothing is thrown for an unreachable VM.
  virtual void send(Envelope Message) = 0;
};

/// Called for each message that arrives, on a thread of the adapter.
using EnvelopeHandler = std::function<void(Envelope)>;

} // namespace lagoonpoint
