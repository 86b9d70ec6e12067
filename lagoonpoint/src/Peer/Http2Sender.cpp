#include "lagoonpoint/src/Peer/Http2Sender.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonpoint::internal {

namespace {

/// Refers to the texts given, which the library copies when it submits.
nghttp2_nv header(std::string_view Name, std::string_view Value) {
  auto Bytes = [](std::string_view Text) {
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(Text.data()));
  };
  return {Bytes(Name), Bytes(Value), Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

/// Copies what fits of \p Text from \p At on.
std::size_t copyPart(const std::string &Text, std::size_t At,
                     std::uint8_t *Buffer, std::size_t Size) {
  if (At >= Text.size())
    return 0;
  std::size_t Count = std::min(Size, Text.size() - At);
  std::copy_n(Text.data() + At, Count, Buffer);
  return Count;
}

} // namespace

Http2Sender::Http2Sender(VmId Peer, std::string SessionKey)
    : Http2Session(std::move(Peer)), SessionKey_(std::move(SessionKey)) {
  Http2Callbacks Callbacks = newCallbacks();
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks.get(),
                                                         onStreamClose);
  createSession(false, Callbacks.get());
  settings(1);
}

void Http2Sender::submit(Envelope Message) {
  auto Stream =
      static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(raw()));
  std::string Path =
      "/channel/" + std::to_string(static_cast<unsigned>(Message.Channel_));
  const nghttp2_nv Headers[] = {
      header(":method", "POST"), header(":scheme", "http"),
      header(":authority", Message.To_.str()), header(":path", Path),
      header("from", Message.From_.str())};
  nghttp2_data_provider Provider{{.ptr = nullptr}, readBody};
  std::int32_t Given = nghttp2_submit_request(
      raw(), nullptr, Headers, std::size(Headers), &Provider, nullptr);
  if (Given < 0)
    check(Given, "peer.write");
  LAGOONPOINT_ASSERT(Given == Stream, "peer.write");
  std::string Mac = messageMac(SessionKey_, Stream, Message);
  Open_[Stream] = {std::move(Mac), std::move(Message.Body_)};
}

ssize_t Http2Sender::readBody(nghttp2_session *, std::int32_t Stream,
                              std::uint8_t *Buffer, std::size_t Size,
                              std::uint32_t *Flags, nghttp2_data_source *,
                              void *Self) {
  auto &Open = static_cast<Http2Sender *>(Self)->Open_;
  auto It = Open.find(Stream);
  if (It == Open.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  Outgoing &Out = It->second;
  std::size_t Count = copyPart(Out.Mac_, Out.Offset_, Buffer, Size);
  std::size_t BodyAt = Out.Offset_ + Count - Out.Mac_.size();
  if (Out.Offset_ + Count >= Out.Mac_.size())
    Count += copyPart(Out.Body_, BodyAt, Buffer + Count, Size - Count);
  Out.Offset_ += Count;
  if (Out.Offset_ == Out.Mac_.size() + Out.Body_.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Count);
}

int Http2Sender::onStreamClose(nghttp2_session *, std::int32_t Stream,
                               std::uint32_t ErrorCode, void *Self) {
  auto *Sender = static_cast<Http2Sender *>(Self);
  if (Sender->Open_.erase(Stream) == 0)
    return 0;
  ++(ErrorCode == NGHTTP2_NO_ERROR ? Sender->Acknowledged_ : Sender->Failed_);
  return 0;
}

} // namespace lagoonpoint::internal
