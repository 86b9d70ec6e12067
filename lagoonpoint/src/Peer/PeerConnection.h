#pragma once

#include "lagoonpoint/src/Peer/Handshake.h"
#include "lagoonpoint/src/Peer/Http2Receiver.h"
#include "lagoonpoint/src/Peer/Http2Sender.h"
#include "lagoonpoint/src/Peer/PeerOptions.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lagoonpoint::internal {

/// \class PeerConnection
/// \ingroup Peer
/// \brief Non-blocking connection: a handshake, followed by an HTTP/2 session.
///
/// A dialed connection carries only messages to the peer, an accepted one only
/// messages from the peer.
class PeerConnection {
public:
  PeerConnection(Poco::Net::StreamSocket Socket, Handshake InitialHandshake,
                 VmId Self, const PeerLimits &Limits, Time Now);

  /// Reads and processes the available bytes, up to a bound.
  /// \returns the number of bytes read
  /// \throws Error if the peer closed the connection or violated the protocol
  std::size_t read(Time Now);
  /// Writes as much as the socket accepts, up to a bound.
  /// \returns the number of bytes written
  /// \throws Error if the connection is lost
  std::size_t write(Time Now);

  bool wantsWrite() const;
  bool authenticated() const { return Handshake_.done(); }
  const VmId &peer() const { return Handshake_.peer(); }
  /// \returns the session of a dialed connection; null before the handshake is
  /// done, and for an accepted connection.
  Http2Sender *sender() { return Sender_.get(); }
  /// \returns the session of an accepted connection; null before the handshake
  /// is done, and for a dialed connection.
  Http2Receiver *receiver() { return Receiver_.get(); }
  Poco::Net::StreamSocket &socket() { return Socket_; }

  Time openedAt() const { return OpenedAt_; }
  Time lastRead() const { return LastRead_; }
  /// \returns when bytes were last read or written.
  Time lastActivity() const { return LastActivity_; }
  /// Restarts the wait for bytes from the peer, as if bytes had just been read.
  void restartReadTimer(Time Now) { LastRead_ = Now; }
  /// Records the events that this connection is polled for.
  /// \returns false if they are unchanged, which saves a system call
  bool changePollMode(int Mode) {
    return std::exchange(PollMode_, Mode) != Mode;
  }

private:
  void processInput(std::string_view Bytes);
  void startSession();
  Http2Session *session() const;

  Poco::Net::StreamSocket Socket_;
  Handshake Handshake_;
  VmId Self_;
  PeerLimits Limits_;
  bool IsDialed_;
  std::unique_ptr<Http2Sender> Sender_;
  std::unique_ptr<Http2Receiver> Receiver_;
  std::string Output_;
  Time OpenedAt_;
  Time LastRead_;
  Time LastActivity_;
  int PollMode_ = 0;
};

} // namespace lagoonpoint::internal
