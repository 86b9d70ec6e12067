#pragma once

#include "lagoonpoint/src/Peer/Handshake.h"
#include "lagoonpoint/src/Peer/Http2Receiver.h"
#include "lagoonpoint/src/Peer/Http2Sender.h"
#include "lagoonpoint/src/Peer/PeerOptions.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <optional>
#include <string>

namespace lagoonpoint::internal {

/// \class PeerConnection
/// \ingroup Peer
/// \brief A non-blocking socket with its handshake and then its session.
///
/// Dialed connections carry this VM's messages, accepted ones the peer's.
class PeerConnection {
public:
  PeerConnection(Poco::Net::StreamSocket Socket, Handshake InitialHandshake,
                 VmId Self, const PeerLimits &Limits, Time Now);

  /// Reads what has arrived, up to a bound.
  /// \returns bytes read
  /// \throws Error if the peer closed the connection or broke the protocol
  std::size_t read(Time Now);
  /// Writes what the socket takes, up to a bound.
  /// \returns bytes written
  std::size_t write(Time Now);

  bool wantsWrite() const;
  bool authenticated() const { return Handshake_.done(); }
  const VmId &peer() const { return Handshake_.peer(); }
  /// \returns the session of a dialed connection, null before it is ready.
  Http2Sender *sender() { return Sender_.get(); }
  /// \returns the session of an accepted connection, null before it is ready.
  Http2Receiver *receiver() { return Receiver_.get(); }
  Poco::Net::StreamSocket &socket() { return Socket_; }

  Time openedAt() const { return OpenedAt_; }
  Time lastRead() const { return LastRead_; }
  /// \returns when bytes last moved, or a message was first due.
  Time lastActivity() const { return LastActivity_; }
  /// Begins to wait for bytes of the peer anew.
  void restartReadTimer(Time Now) { LastRead_ = Now; }

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
};

} // namespace lagoonpoint::internal
