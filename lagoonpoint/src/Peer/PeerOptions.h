#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"

#include <cstddef>
#include <functional>
#include <string>

namespace lagoonpoint {

/// \class PeerLimits
/// \ingroup Peer
/// \brief Bounds on what peers may cost this process.
struct PeerLimits {
  std::size_t MessageBytes_ = 64 << 20;  ///< body of one message
  std::size_t QueueBytes_ = 128 << 20;   ///< waiting for one peer
  std::size_t QueueMessages_ = 4096;     ///< waiting for one peer
  std::size_t InboxBytes_ = 128 << 20;   ///< received, not yet handled
  std::size_t PartialBytes_ = 128 << 20; ///< unfinished, of one connection
  std::size_t OpenStreams_ = 64;         ///< of one connection
  std::size_t UnauthenticatedConnections_ =
      128; ///< connections not yet authenticated
  Duration QueueAge_ = Duration::seconds(10); ///< wait for a connection
  Duration HandshakeTimeout_ = Duration::seconds(3);
  Duration StallTimeout_ = Duration::seconds(10); ///< no byte though due
  Duration IdleTimeout_ = Duration::seconds(60);  ///< nothing to send
  Duration MinBackoff_ = Duration::millis(50);
  Duration MaxBackoff_ = Duration::seconds(1);
};

/// \class PeerOptions
/// \ingroup Peer
/// \brief What a transport is started with.
struct PeerOptions {
  VmId Self_;
  Address Listen_;     ///< port 0 takes a free one
  std::string Secret_; ///< shared by all VMs of the deployment
  PeerLimits Limits_;
};

/// Called for each failed connection or stream, on a thread of the transport.
using PeerErrorHandler = std::function<void(const Error &)>;

} // namespace lagoonpoint
