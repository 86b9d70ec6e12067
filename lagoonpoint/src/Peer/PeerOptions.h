#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"

#include <cstddef>
#include <functional>
#include <string>

namespace lagoonpoint {

/// \class PeerLimits
/// \ingroup Peer
/// \brief Bounds on the resources that peers can use in this process.
struct PeerLimits {
  std::size_t MessageBytes_ = 64 << 20;  ///< body of one message
  std::size_t QueueBytes_ = 128 << 20;   ///< queued for one peer
  std::size_t QueueMessages_ = 4096;     ///< queued for one peer
  std::size_t InboxBytes_ = 128 << 20;   ///< received but not yet handled
  std::size_t PartialBytes_ = 128 << 20; ///< incomplete, of one connection
  std::size_t OpenStreams_ = 64;         ///< concurrent, of one connection
  std::size_t UnauthenticatedConnections_ =
      128; ///< connections not yet authenticated
  Duration QueueAge_ = Duration::seconds(10); ///< maximum wait of a message
  Duration HandshakeTimeout_ = Duration::seconds(3);
  /// A dialed connection is closed if messages are unacknowledged and no bytes
  /// were read for this long.
  Duration StallTimeout_ = Duration::seconds(10);
  /// A connection is closed after this time without bytes in either direction;
  /// an accepted one after twice this time.
  Duration IdleTimeout_ = Duration::seconds(60);
  Duration MinBackoff_ = Duration::millis(50);
  Duration MaxBackoff_ = Duration::seconds(1);
};

/// \class PeerOptions
/// \ingroup Peer
/// \brief Settings of a transport.
struct PeerOptions {
  VmId Self_;
  Address Listen_;     ///< port 0 selects a free one
  std::string Secret_; ///< shared by all VMs of the deployment
  PeerLimits Limits_;
};

/// Called for each error of a connection or of the event loop, on a thread of
/// the transport.
using PeerErrorHandler = std::function<void(const Error &)>;

} // namespace lagoonpoint
