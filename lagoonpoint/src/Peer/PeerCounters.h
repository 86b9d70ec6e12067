#pragma once

#include <cstdint>

namespace lagoonpoint {

/// \class PeerCounters
/// \ingroup Peer
/// \brief What a transport has done since it started.
struct PeerCounters {
  std::uint64_t MessagesSent_ = 0; ///< the peer has acknowledged them
  std::uint64_t MessagesReceived_ = 0;
  std::uint64_t BytesSent_ = 0; ///< on the wire, handshakes included
  std::uint64_t BytesReceived_ = 0;
  std::uint64_t DroppedUnknownPeer_ = 0; ///< no address for the receiver
  std::uint64_t DroppedQueueFull_ = 0;   ///< oldest of a full queue
  std::uint64_t DroppedExpired_ = 0;     ///< waited too long for a connection
  std::uint64_t DroppedTooLarge_ = 0;
  std::uint64_t FailedInFlight_ = 0; ///< sent, but not acknowledged
  std::uint64_t Connects_ = 0;       ///< authenticated connections, both ways
  std::uint64_t AuthFailures_ = 0;
  std::uint64_t ProtocolErrors_ = 0;
  std::uint64_t HandlerFailures_ = 0; ///< messages whose handler threw
};

} // namespace lagoonpoint
