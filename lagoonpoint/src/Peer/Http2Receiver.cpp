#include "lagoonpoint/src/Peer/Http2Receiver.h"

#include "lagoonpoint/src/Peer/util/Hmac.h"

#include <charconv>
#include <optional>
#include <utility>

namespace lagoonpoint::internal {

namespace {

constexpr std::string_view ChannelPath = "/channel/";

std::string_view view(const std::uint8_t *Bytes, std::size_t Size) {
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
  bool Carries =
      Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
  return Carries && (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM);
}

} // namespace

Http2Receiver::Http2Receiver(VmId Self, VmId Peer, std::string SessionKey,
                             Limits Bounds)
    : Http2Session(std::move(Peer)), Self_(std::move(Self)),
      SessionKey_(std::move(SessionKey)), Limits_(Bounds) {
  Http2Callbacks Callbacks = newCallbacks();
  auto *Table = Callbacks.get();
  nghttp2_session_callbacks_set_on_begin_headers_callback(Table,
                                                          onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(Table, onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Table, onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Table, onFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(Table, onStreamClose);
  createSession(true, Table);
  settings(Limits_.OpenStreams_);
}

int Http2Receiver::onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                                  void *Self) {
  if (Frame->hd.type == NGHTTP2_HEADERS)
    static_cast<Http2Receiver *>(Self)->Open_[Frame->hd.stream_id];
  return 0;
}

int Http2Receiver::onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                            const std::uint8_t *Name, std::size_t NameSize,
                            const std::uint8_t *Value, std::size_t ValueSize,
                            std::uint8_t, void *Self) {
  auto &Open = static_cast<Http2Receiver *>(Self)->Open_;
  auto It = Open.find(Frame->hd.stream_id);
  if (It == Open.end())
    return 0;
  std::string_view Key = view(Name, NameSize);
  std::string_view Text = view(Value, ValueSize);
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
  return static_cast<Http2Receiver *>(Self)->takeData(Stream, view(Data, Size));
}

int Http2Receiver::onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                           void *Self) {
  if (!endsRequest(Frame))
    return 0;
  return static_cast<Http2Receiver *>(Self)->finish(Frame->hd.stream_id);
}

int Http2Receiver::onStreamClose(nghttp2_session *, std::int32_t Stream,
                                 std::uint32_t, void *Self) {
  auto *Receiver = static_cast<Http2Receiver *>(Self);
  auto It = Receiver->Open_.find(Stream);
  if (It == Receiver->Open_.end())
    return 0;
  Receiver->PartialBytes_ -= It->second.Content_.size();
  Receiver->Open_.erase(It);
  return 0;
}

int Http2Receiver::takeData(std::int32_t Stream, std::string_view Data) {
  auto It = Open_.find(Stream);
  if (It == Open_.end() || It->second.Refused_)
    return 0;
  Incoming &Message = It->second;
  std::size_t Size = Message.Content_.size() + Data.size();
  if (Size > Limits_.MessageBytes_ + MacBytes ||
      PartialBytes_ + Data.size() > Limits_.PartialBytes_)
    return refuse(Stream, Message);
  Message.Content_ += Data;
  PartialBytes_ += Data.size();
  return 0;
}

int Http2Receiver::refuse(std::int32_t Stream, Incoming &Message) {
  ++TooLarge_;
  PartialBytes_ -= Message.Content_.size();
  Message.Content_ = std::string();
  Message.Refused_ = true;
  return nghttp2_submit_rst_stream(raw(), NGHTTP2_FLAG_NONE, Stream,
                                   NGHTTP2_REFUSED_STREAM);
}

int Http2Receiver::finish(std::int32_t Stream) {
  auto It = Open_.find(Stream);
  if (It == Open_.end() || It->second.Refused_)
    return 0;
  Incoming &Message = It->second;
  if (Message.From_ != Peer_.str() || Message.To_ != Self_.str())
    return fail("message from " + Message.From_ + " to " + Message.To_ +
                " on a connection of another VM");
  std::optional<Channel> On = channelOf(Message.Path_);
  if (Message.Method_ != "POST" || !On || Message.Content_.size() < MacBytes)
    return fail("malformed message");
  PartialBytes_ -= Message.Content_.size();
  std::string Mac = Message.Content_.substr(0, MacBytes);
  Message.Content_.erase(0, MacBytes);
  Envelope Whole{Peer_, Self_, *On, std::move(Message.Content_)};
  Open_.erase(It);
  if (!equalConstantTime(Mac, messageMac(SessionKey_, Stream, Whole)))
    return fail("message authentication failed");
  Whole_.push_back(std::move(Whole));
  static const std::string Status = ":status";
  static const std::string NoContent = "204";
  nghttp2_nv Header{
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(Status.data())),
      reinterpret_cast<std::uint8_t *>(const_cast<char *>(NoContent.data())),
      Status.size(), NoContent.size(), NGHTTP2_NV_FLAG_NONE};
  return nghttp2_submit_response(raw(), Stream, &Header, 1, nullptr);
}

} // namespace lagoonpoint::internal
