#pragma once

#include <cstdint>

namespace lagoonpoint {

/// \class PeerCounters
/// \ingroup Peer
/// \brief Counters of a transport since its start.
struct PeerCounters {
  std::uint64_t MessagesSent_ = 0; ///< acknowledged by the peer
  std::uint64_t MessagesReceived_ = 0;
  std::uint64_t BytesSent_ = 0; ///< on the wire, including handshakes
  std::uint64_t BytesReceived_ = 0;
  std::uint64_t DroppedUnknownPeer_ = 0; ///< no address known for the receiver
  std::uint64_t DroppedQueueFull_ = 0;   ///< oldest messages of a full queue
  std::uint64_t DroppedExpired_ = 0;     ///< waited longer than QueueAge_
  std::uint64_t DroppedTooLarge_ = 0; ///< over a size limit, sent or received
  std::uint64_t FailedInFlight_ = 0;  ///< submitted, but not acknowledged
  std::uint64_t Connects_ = 0;        ///< authenticated, in both directions
  std::uint64_t AuthFailures_ = 0; ///< connections that failed in the handshake
  std::uint64_t ProtocolErrors_ = 0;
  std::uint64_t HandlerFailures_ = 0; ///< exceptions thrown by the handler
};

} // namespace lagoonpoint
