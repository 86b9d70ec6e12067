#include "lagoonpoint/src/Peer/PeerConnection.h"

#include "lagoonpoint/src/Core/util/TrySend.h"

#include <sys/socket.h>

#include <array>
#include <utility>

namespace lagoonpoint::internal {

namespace {

constexpr std::size_t ReadBufferBytes = 64 << 10;
/// Maximum bytes read or written per loop iteration, so that one connection
/// does not starve the others.
constexpr std::size_t BytesPerIteration = 1 << 20;
/// Bytes taken from the session before the socket accepts them. Kept small, so
/// that a small message does not wait behind a large one.
constexpr std::size_t OutputBufferBytes = 64 << 10;

} // namespace

PeerConnection::PeerConnection(Poco::Net::StreamSocket Socket,
                               Handshake InitialHandshake, VmId Self,
                               const PeerLimits &Limits, Time Now)
    : Socket_(std::move(Socket)), Handshake_(std::move(InitialHandshake)),
      Self_(std::move(Self)), Limits_(Limits),
      IsDialed_(Handshake_.role() == Handshake::Role::Dialer), OpenedAt_(Now),
      LastRead_(Now), LastActivity_(Now) {
  Socket_.setBlocking(false);
}

Http2Session *PeerConnection::session() const {
  if (Sender_)
    return Sender_.get();
  return Receiver_.get();
}

std::size_t PeerConnection::read(Time Now) {
  static thread_local std::array<char, ReadBufferBytes> Buffer;
  std::size_t Total = 0;
  while (Total < BytesPerIteration) {
    int Count = Socket_.receiveBytes(Buffer.data(), ReadBufferBytes);
    if (Count < 0)
      break;
    if (Count == 0)
      throw Error("peer.read", peer().str(), "connection closed by the peer");
    Total += static_cast<std::size_t>(Count);
    processInput({Buffer.data(), static_cast<std::size_t>(Count)});
  }
  if (Total > 0)
    LastRead_ = LastActivity_ = Now;
  return Total;
}

void PeerConnection::processInput(std::string_view Bytes) {
  if (Http2Session *Session = session())
    return Session->receive(Bytes);
  std::string Rest = Handshake_.receive(Bytes);
  if (!Handshake_.done())
    return;
  startSession();
  if (!Rest.empty())
    session()->receive(Rest);
}

void PeerConnection::startSession() {
  const std::string &Key = Handshake_.sessionKey();
  if (IsDialed_)
    Sender_ = std::make_unique<Http2Sender>(peer(), Key);
  else
    Receiver_ = std::make_unique<Http2Receiver>(
        Self_, peer(), Key,
        Http2Receiver::Limits{Limits_.MessageBytes_, Limits_.PartialBytes_,
                              Limits_.OpenStreams_});
}

std::size_t PeerConnection::write(Time Now) {
  std::size_t Total = 0;
  while (Total < BytesPerIteration) {
    Output_ += Handshake_.takeOutput();
    if (Http2Session *Session = session())
      Session->takeOutput(Output_, OutputBufferBytes);
    if (Output_.empty())
      break;
    int Count = trySend(Socket_.impl()->sockfd(), Output_);
    if (Count < 0)
      throw Error("peer.write", peer().str(), "connection lost");
    if (Count == 0)
      break;
    Output_.erase(0, static_cast<std::size_t>(Count));
    Total += static_cast<std::size_t>(Count);
  }
  if (Total > 0)
    LastActivity_ = Now;
  return Total;
}

bool PeerConnection::wantsWrite() const {
  if (!Output_.empty() || Handshake_.hasOutput())
    return true;
  return session() && session()->wantsWrite();
}

} // namespace lagoonpoint::internal
