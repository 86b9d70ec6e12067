#include "lagoonpoint/src/Peer/Http2Session.h"

#include "lagoonpoint/src/Peer/util/Hmac.h"

#include <utility>

namespace lagoonpoint::internal {

namespace {

constexpr std::int32_t StreamWindowBytes = 1 << 20;
constexpr std::int32_t ConnectionWindowBytes = 8 << 20;
constexpr std::uint32_t MaxHeaderListBytes = 4096;

} // namespace

void Http2Session::createSession(bool IsListener,
                                 const nghttp2_session_callbacks *Callbacks) {
  nghttp2_session *Session = nullptr;
  int Result = IsListener
                   ? nghttp2_session_server_new(&Session, Callbacks, this)
                   : nghttp2_session_client_new(&Session, Callbacks, this);
  check(Result, "peer.open");
  Session_.reset(Session);
}

void Http2Session::submitSettings(std::size_t OpenStreams) {
  const nghttp2_settings_entry Entries[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
       static_cast<std::uint32_t>(OpenStreams)},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, MaxHeaderListBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  };
  check(nghttp2_submit_settings(nativeSession(), NGHTTP2_FLAG_NONE, Entries,
                                std::size(Entries)),
        "peer.open");
  check(nghttp2_session_set_local_window_size(
            nativeSession(), NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes),
        "peer.open");
}

void Http2Session::receive(std::string_view Bytes) {
  ssize_t Consumed = nghttp2_session_mem_recv(
      nativeSession(), reinterpret_cast<const std::uint8_t *>(Bytes.data()),
      Bytes.size());
  if (CallbackError_)
    throw *std::exchange(CallbackError_, std::nullopt);
  if (Consumed < 0)
    check(static_cast<int>(Consumed), "peer.read");
}

void Http2Session::takeOutput(std::string &Out, std::size_t Bytes) {
  while (Out.size() < Bytes) {
    const std::uint8_t *Data = nullptr;
    ssize_t Size = nghttp2_session_mem_send(nativeSession(), &Data);
    if (CallbackError_)
      throw *std::exchange(CallbackError_, std::nullopt);
    if (Size < 0)
      check(static_cast<int>(Size), "peer.write");
    if (Size <= 0)
      return;
    Out.append(reinterpret_cast<const char *>(Data),
               static_cast<std::size_t>(Size));
  }
}

bool Http2Session::wantsWrite() const {
  return nghttp2_session_want_write(nativeSession()) != 0;
}

bool Http2Session::alive() const {
  return nghttp2_session_want_read(nativeSession()) || wantsWrite();
}

void Http2Session::check(int Result, const char *Step) const {
  if (Result != 0)
    throw Http2Error(Step, Peer_.str(), nghttp2_strerror(Result));
}

int Http2Session::failCallback(const std::string &Message) {
  CallbackError_.emplace("peer.read", Peer_.str(), Message);
  return NGHTTP2_ERR_CALLBACK_FAILURE;
}

std::string messageMac(const std::string &SessionKey, std::int32_t Stream,
                       const Envelope &Message) {
  std::string StreamAndChannel =
      std::to_string(Stream) + '/' +
      std::to_string(static_cast<unsigned>(Message.Channel_));
  std::string Mac =
      hmac(SessionKey, {"message", StreamAndChannel, Message.From_.str(),
                        Message.To_.str(), Message.Body_});
  Mac.resize(MacBytes);
  return Mac;
}

Http2Callbacks newCallbacks() {
  nghttp2_session_callbacks *Callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&Callbacks) != 0)
    throw Http2Error("peer.open", "", "out of memory");
  return Http2Callbacks(Callbacks);
}

} // namespace lagoonpoint::internal
