#include "lagoonpoint/src/Peer/Http2Sender.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonpoint::internal {

namespace {

/// The result refers to the arguments; nghttp2 copies them on submission.
nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  auto Bytes = [](std::string_view Text) {
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(Text.data()));
  };
  return {Bytes(Name), Bytes(Value), Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

/// Copies up to \p Size bytes of \p Text, starting at \p Offset.
/// \returns the number of bytes copied
std::size_t copyChunk(const std::string &Text, std::size_t Offset,
                      std::uint8_t *Buffer, std::size_t Size) {
  if (Offset >= Text.size())
    return 0;
  std::size_t Count = std::min(Size, Text.size() - Offset);
  std::copy_n(Text.data() + Offset, Count, Buffer);
  return Count;
}

} // namespace

Http2Sender::Http2Sender(VmId Peer, std::string SessionKey)
    : Http2Session(std::move(Peer)), SessionKey_(std::move(SessionKey)) {
  Http2Callbacks Callbacks = newCallbacks();
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks.get(),
                                                         onStreamClose);
  createSession(false, Callbacks.get());
  submitSettings(1);
}

void Http2Sender::submit(Envelope Message) {
  auto Stream = static_cast<std::int32_t>(
      nghttp2_session_get_next_stream_id(nativeSession()));
  std::string Path =
      "/channel/" + std::to_string(static_cast<unsigned>(Message.Channel_));
  const nghttp2_nv Headers[] = {
      makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
      makeHeader(":authority", Message.To_.str()), makeHeader(":path", Path),
      makeHeader("from", Message.From_.str())};
  nghttp2_data_provider Provider{{.ptr = nullptr}, readBody};
  std::int32_t Assigned =
      nghttp2_submit_request(nativeSession(), nullptr, Headers,
                             std::size(Headers), &Provider, nullptr);
  if (Assigned < 0)
    check(Assigned, "peer.write");
  LAGOONPOINT_ASSERT(Assigned == Stream, "peer.write");
  std::string Mac = messageMac(SessionKey_, Stream, Message);
  Streams_[Stream] = {std::move(Mac), std::move(Message.Body_)};
}

ssize_t Http2Sender::readBody(nghttp2_session *, std::int32_t Stream,
                              std::uint8_t *Buffer, std::size_t Size,
                              std::uint32_t *Flags, nghttp2_data_source *,
                              void *Self) {
  auto &Streams = static_cast<Http2Sender *>(Self)->Streams_;
  auto It = Streams.find(Stream);
  if (It == Streams.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  OutgoingMessage &Message = It->second;
  std::size_t Count = copyChunk(Message.Mac_, Message.Offset_, Buffer, Size);
  std::size_t BodyOffset = Message.Offset_ + Count - Message.Mac_.size();
  if (Message.Offset_ + Count >= Message.Mac_.size())
    Count += copyChunk(Message.Body_, BodyOffset, Buffer + Count, Size - Count);
  Message.Offset_ += Count;
  if (Message.Offset_ == Message.Mac_.size() + Message.Body_.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Count);
}

int Http2Sender::onStreamClose(nghttp2_session *, std::int32_t Stream,
                               std::uint32_t ErrorCode, void *Self) {
  auto *Sender = static_cast<Http2Sender *>(Self);
  if (Sender->Streams_.erase(Stream) == 0)
    return 0;
  ++(ErrorCode == NGHTTP2_NO_ERROR ? Sender->Acknowledged_ : Sender->Failed_);
  return 0;
}

} // namespace lagoonpoint::internal
