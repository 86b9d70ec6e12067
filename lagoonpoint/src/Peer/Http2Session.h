#pragma once

#include "lagoonpoint/Core"

#include <nghttp2/nghttp2.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lagoonpoint::internal {

/// \class Http2Error
/// \ingroup Peer
/// \brief A peer broke the protocol; its connection is closed.
class Http2Error : public Error {
public:
  using Error::Error;
};

/// \class Http2Session
/// \ingroup Peer
/// \brief One end of an HTTP/2 connection: bytes in, bytes out.
///
/// Each message is one request, `POST /channel/N`, whose `:authority` is the
/// receiver and whose header `from` is the sender; its content is a message
/// authentication code and the body. The answer is 204 without content.
class Http2Session {
public:
  virtual ~Http2Session() = default;
  Http2Session(const Http2Session &) = delete;
  Http2Session &operator=(const Http2Session &) = delete;

  /// \throws Http2Error if the bytes break the protocol
  void receive(std::string_view Bytes);

  /// Appends bytes to send until \p Out holds about \p Bytes.
  /// \throws Http2Error if the session failed
  void takeOutput(std::string &Out, std::size_t Bytes);

  /// \returns whether there are bytes to send.
  bool wantsWrite() const;
  /// \returns false once the other side ended the session.
  bool alive() const;

protected:
  explicit Http2Session(VmId Peer) : Peer_(std::move(Peer)) {}

  /// Makes the callbacks of this class deal with the library's events.
  void createSession(bool IsListener,
                     const nghttp2_session_callbacks *Callbacks);
  void submitSettings(std::size_t OpenStreams);
  void check(int Result, const char *Step) const;

  /// Remembers why a callback fails; receive() throws it.
  int failCallback(const std::string &Message);

  nghttp2_session *nativeSession() const { return Session_.get(); }

  VmId Peer_;

private:
  struct Delete {
    void operator()(nghttp2_session *S) const { nghttp2_session_del(S); }
  };

  std::unique_ptr<nghttp2_session, Delete> Session_;
  std::optional<Http2Error> CallbackError_;
};

/// Bytes of the message authentication code before each body.
constexpr std::size_t MacBytes = 16;

/// \returns the code of one message: it holds for one stream of a connection.
std::string messageMac(const std::string &SessionKey, std::int32_t Stream,
                       const Envelope &Message);

struct DeleteCallbacks {
  void operator()(nghttp2_session_callbacks *C) const {
    nghttp2_session_callbacks_del(C);
  }
};
using Http2Callbacks =
    std::unique_ptr<nghttp2_session_callbacks, DeleteCallbacks>;

/// \returns an empty table of callbacks.
Http2Callbacks newCallbacks();

} // namespace lagoonpoint::internal
