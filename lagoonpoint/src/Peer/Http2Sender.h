#pragma once

#include "lagoonpoint/src/Peer/Http2Session.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace lagoonpoint::internal {

/// \class Http2Sender
/// \ingroup Peer
/// \brief The dialer's end: sends envelopes as requests, several at once, so
/// that a large one doesn't hold up the small.
class Http2Sender final : public Http2Session {
public:
  Http2Sender(VmId Peer, std::string SessionKey);

  /// Begins to send a message.
  /// \throws Http2Error if the session takes no more requests
  void submit(Envelope Message);

  /// \returns messages begun and not yet acknowledged.
  std::size_t unacknowledged() const { return Streams_.size(); }
  /// Takes the count of messages acknowledged since the last call.
  std::uint64_t takeAcknowledgedCount() {
    return std::exchange(Acknowledged_, 0);
  }
  /// Takes the count of messages refused since the last call.
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
