#pragma once

#include "lagoonpoint/src/Peer/Http2Session.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace lagoonpoint::internal {

/// \class Http2Sender
/// \ingroup Peer
/// \brief Dialer side of an HTTP/2 connection; sends envelopes as requests.
///
/// Requests are sent concurrently, so that a large message does not delay small
/// ones.
class Http2Sender final : public Http2Session {
public:
  Http2Sender(VmId Peer, std::string SessionKey);

  /// Starts to send a message.
  /// \throws Http2Error if the session accepts no more requests
  void submit(Envelope Message);

  /// \returns the number of submitted messages not yet acknowledged.
  std::size_t unacknowledged() const { return Streams_.size(); }
  /// Returns and resets the count of acknowledged messages.
  std::uint64_t takeAcknowledgedCount() {
    return std::exchange(Acknowledged_, 0);
  }
  /// Returns and resets the count of messages whose stream ended with an error.
  std::uint64_t takeFailedCount() { return std::exchange(Failed_, 0); }

private:
  struct OutgoingMessage {
    std::string Mac_;
    std::string Body_;
    std::size_t Offset_ = 0;
  };

  static ssize_t readBody(nghttp2_session *, std::int32_t Stream,
                          std::uint8_t *Buffer, std::size_t Size,
                          std::uint32_t *Flags, nghttp2_data_source *Source,
                          void *Self);
  static int onStreamClose(nghttp2_session *, std::int32_t Stream,
                           std::uint32_t ErrorCode, void *Self);

  std::string SessionKey_;
  std::map<std::int32_t, OutgoingMessage> Streams_;
  std::uint64_t Acknowledged_ = 0;
  std::uint64_t Failed_ = 0;
};

} // namespace lagoonpoint::internal
