#include "lagoonpoint/src/Peer/Http2Receiver.h"

#include "lagoonpoint/src/Peer/util/Hmac.h"

#include <charconv>
#include <optional>
#include <utility>

namespace lagoonpoint::internal {

namespace {

constexpr std::string_view ChannelPath = "/channel/";

std::string_view asStringView(const std::uint8_t *Bytes, std::size_t Size) {
  return {reinterpret_cast<const char *>(Bytes), Size};
}

std::optional<Channel> channelOf(std::string_view Path) {
  if (!Path.starts_with(ChannelPath))
    return std::nullopt;
  Path.remove_prefix(ChannelPath.size());
  int Number = 0;
  auto [Last, Code] =
      std::from_chars(Path.data(), Path.data() + Path.size(), Number);
  if (Code != std::errc() || Last != Path.data() + Path.size() ||
      Number < static_cast<int>(Channel::Replication) ||
      Number > static_cast<int>(LastChannel))
    return std::nullopt;
  return static_cast<Channel>(Number);
}

bool endsRequest(const nghttp2_frame *Frame) {
  bool MayEndStream =
      Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
  return MayEndStream && (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM);
}

} // namespace

Http2Receiver::Http2Receiver(VmId Self, VmId Peer, std::string SessionKey,
                             Limits MessageLimits)
    : Http2Session(std::move(Peer)), Self_(std::move(Self)),
      SessionKey_(std::move(SessionKey)), Limits_(MessageLimits) {
  Http2Callbacks Callbacks = newCallbacks();
  auto *RawCallbacks = Callbacks.get();
  nghttp2_session_callbacks_set_on_begin_headers_callback(RawCallbacks,
                                                          onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(RawCallbacks, onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(RawCallbacks,
                                                            onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(RawCallbacks, onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(RawCallbacks,
                                                         onStreamClose);
  createSession(true, RawCallbacks);
  submitSettings(Limits_.OpenStreams_);
}

int Http2Receiver::onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                                  void *Self) {
  if (Frame->hd.type == NGHTTP2_HEADERS)
    static_cast<Http2Receiver *>(Self)->Streams_[Frame->hd.stream_id];
  return 0;
}

int Http2Receiver::onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                            const std::uint8_t *Name, std::size_t NameSize,
                            const std::uint8_t *Value, std::size_t ValueSize,
                            std::uint8_t, void *Self) {
  auto &Streams = static_cast<Http2Receiver *>(Self)->Streams_;
  auto It = Streams.find(Frame->hd.stream_id);
  if (It == Streams.end())
    return 0;
  std::string_view Key = asStringView(Name, NameSize);
  std::string_view Text = asStringView(Value, ValueSize);
  if (Key == ":method")
    It->second.Method_ = Text;
  else if (Key == ":path")
    It->second.Path_ = Text;
  else if (Key == "from")
    It->second.From_ = Text;
  else if (Key == ":authority")
    It->second.To_ = Text;
  return 0;
}

int Http2Receiver::onData(nghttp2_session *, std::uint8_t, std::int32_t Stream,
                          const std::uint8_t *Data, std::size_t Size,
                          void *Self) {
  return static_cast<Http2Receiver *>(Self)->appendData(
      Stream, asStringView(Data, Size));
}

int Http2Receiver::onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                           void *Self) {
  if (!endsRequest(Frame))
    return 0;
  return static_cast<Http2Receiver *>(Self)->completeMessage(
      Frame->hd.stream_id);
}

int Http2Receiver::onStreamClose(nghttp2_session *, std::int32_t Stream,
                                 std::uint32_t, void *Self) {
  auto *Receiver = static_cast<Http2Receiver *>(Self);
  auto It = Receiver->Streams_.find(Stream);
  if (It == Receiver->Streams_.end())
    return 0;
  Receiver->PartialBytes_ -= It->second.Content_.size();
  Receiver->Streams_.erase(It);
  return 0;
}

int Http2Receiver::appendData(std::int32_t Stream, std::string_view Data) {
  auto It = Streams_.find(Stream);
  if (It == Streams_.end() || It->second.Rejected_)
    return 0;
  IncomingMessage &Message = It->second;
  std::size_t Size = Message.Content_.size() + Data.size();
  if (Size > Limits_.MessageBytes_ + MacBytes ||
      PartialBytes_ + Data.size() > Limits_.PartialBytes_)
    return rejectOversized(Stream, Message);
  Message.Content_ += Data;
  PartialBytes_ += Data.size();
  return 0;
}

int Http2Receiver::rejectOversized(std::int32_t Stream,
                                   IncomingMessage &Message) {
  ++OversizedCount_;
  PartialBytes_ -= Message.Content_.size();
  Message.Content_ = std::string();
  Message.Rejected_ = true;
  return nghttp2_submit_rst_stream(nativeSession(), NGHTTP2_FLAG_NONE, Stream,
                                   NGHTTP2_REFUSED_STREAM);
}

int Http2Receiver::completeMessage(std::int32_t Stream) {
  auto It = Streams_.find(Stream);
  if (It == Streams_.end() || It->second.Rejected_)
    return 0;
  IncomingMessage &Message = It->second;
  if (Message.From_ != Peer_.str() || Message.To_ != Self_.str())
    return failCallback("message from " + Message.From_ + " to " + Message.To_ +
                        " on a connection of another VM");
  std::optional<Channel> MessageChannel = channelOf(Message.Path_);
  if (Message.Method_ != "POST" || !MessageChannel ||
      Message.Content_.size() < MacBytes)
    return failCallback("malformed message");
  PartialBytes_ -= Message.Content_.size();
  std::string Mac = Message.Content_.substr(0, MacBytes);
  Message.Content_.erase(0, MacBytes);
  Envelope Received{Peer_, Self_, *MessageChannel, std::move(Message.Content_)};
  Streams_.erase(It);
  if (!equalConstantTime(Mac, messageMac(SessionKey_, Stream, Received)))
    return failCallback("message authentication failed");
  Received_.push_back(std::move(Received));
  static const std::string Status = ":status";
  static const std::string NoContent = "204";
  nghttp2_nv Header{
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Status.data())),
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(NoContent.data())),
      Status.size(), NoContent.size(), NGHTTP2_NV_FLAG_NONE};
  return nghttp2_submit_response(nativeSession(), Stream, &Header, 1, nullptr);
}

} // namespace lagoonpoint::internal
