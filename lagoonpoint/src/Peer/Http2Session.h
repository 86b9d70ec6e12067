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
/// \brief Thrown if the HTTP/2 session fails or the peer violates the protocol;
/// the connection is then closed.
class Http2Error : public Error {
public:
  using Error::Error;
};

/// \class Http2Session
/// \ingroup Peer
/// \brief One side of an HTTP/2 connection, without I/O.
///
/// Each message is one request, `POST /channel/N`. `:authority` is the
/// receiver and the header `from` is the sender. The content is a message
/// authentication code followed by the body. The response is 204 without
/// content.
class Http2Session {
public:
  virtual ~Http2Session() = default;
  Http2Session(const Http2Session &) = delete;
  Http2Session &operator=(const Http2Session &) = delete;

  /// \throws Http2Error if the bytes violate the protocol
  void receive(std::string_view Bytes);

  /// Appends bytes to send until \p Out holds at least \p Bytes or there are
  /// no more.
  /// \throws Http2Error if the session failed
  void takeOutput(std::string &Out, std::size_t Bytes);

  /// \returns whether there are bytes to send.
  bool wantsWrite() const;
  /// \returns false once the session has ended.
  bool alive() const;

protected:
  explicit Http2Session(VmId Peer) : Peer_(std::move(Peer)) {}

  /// Creates the nghttp2 session. \p Callbacks receive this object as user
  /// data.
  void createSession(bool IsListener,
                     const nghttp2_session_callbacks *Callbacks);
  void submitSettings(std::size_t OpenStreams);
  void check(int Result, const char *Step) const;

  /// Stores the error of a callback; receive() or takeOutput() throws it.
  /// \returns the error code that the callback must return
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

/// Length of the message authentication code that precedes each body.
constexpr std::size_t MacBytes = 16;

/// \returns the authentication code of a message, which is valid only for the
/// given stream of one connection.
std::string messageMac(const std::string &SessionKey, std::int32_t Stream,
                       const Envelope &Message);

struct DeleteCallbacks {
  void operator()(nghttp2_session_callbacks *C) const {
    nghttp2_session_callbacks_del(C);
  }
};
using Http2Callbacks =
    std::unique_ptr<nghttp2_session_callbacks, DeleteCallbacks>;

/// \returns an empty callback table.
/// \throws Http2Error if out of memory
Http2Callbacks newCallbacks();

} // namespace lagoonpoint::internal
