#pragma once

#include "lagoonpoint/src/Peer/Http2Session.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lagoonpoint::internal {

/// \class Http2Receiver
/// \ingroup Peer
/// \brief Listener side of an HTTP/2 connection; turns requests into
/// envelopes.
///
/// A message that names other VMs than those of the connection, is malformed,
/// or has a wrong authentication code ends the connection. A message over a
/// size limit resets only its stream.
class Http2Receiver final : public Http2Session {
public:
  struct Limits {
    std::size_t MessageBytes_ = 0;
    std::size_t PartialBytes_ = 0; ///< sum over all incomplete messages
    std::size_t OpenStreams_ = 0;
  };

  Http2Receiver(VmId Self, VmId Peer, std::string SessionKey,
                Limits MessageLimits);

  /// Returns and clears the messages completed since the last call.
  std::vector<Envelope> takeMessages() { return std::exchange(Received_, {}); }
  /// Returns and resets the count of messages rejected for their size.
  std::uint64_t takeOversizedCount() {
    return std::exchange(OversizedCount_, 0);
  }

private:
  struct IncomingMessage {
    std::string Method_;
    std::string Path_;
    std::string From_;
    std::string To_;
    std::string Content_;
    bool Rejected_ = false;
  };

  static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                            void *Self);
  static int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameSize,
                      const std::uint8_t *Value, std::size_t ValueSize,
                      std::uint8_t Flags, void *Self);
  static int onData(nghttp2_session *, std::uint8_t Flags, std::int32_t Stream,
                    const std::uint8_t *Data, std::size_t Size, void *Self);
  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame, void *Self);
  static int onStreamClose(nghttp2_session *, std::int32_t Stream,
                           std::uint32_t ErrorCode, void *Self);

  int appendData(std::int32_t Stream, std::string_view Data);
  int completeMessage(std::int32_t Stream);
  int rejectOversized(std::int32_t Stream, IncomingMessage &Message);

  VmId Self_;
  std::string SessionKey_;
  Limits Limits_;
  std::map<std::int32_t, IncomingMessage> Streams_;
  std::vector<Envelope> Received_;
  std::size_t PartialBytes_ = 0;
  std::uint64_t OversizedCount_ = 0;
};

} // namespace lagoonpoint::internal
