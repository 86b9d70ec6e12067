#include "lagoonpoint/src/Peer/PeerLoop.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonpoint::internal {

namespace {

constexpr Duration MaintenanceInterval = Duration::millis(50);
/// A connection to a live peer is answered within this time, also across
/// regions.
constexpr Duration UsualAnswerTime = Duration::millis(300);

} // namespace

void PeerLoop::runMaintenance() {
  Time Now = Clock_.now();
  NextMaintenance_ = Now + MaintenanceInterval;
  Queues_.expire(Now);
  for (const VmId &Peer : Queues_.peersWithMessages())
    sendQueued(Peer);
  std::vector<VmId> Peers;
  for (const auto &[Peer, Out] : Outbound_)
    Peers.push_back(Peer);
  for (const VmId &Peer : Peers)
    checkOutbound(Peer, Outbound_[Peer]);
  checkInbound();
}

void PeerLoop::checkOutbound(const VmId &Peer, OutboundConnection &Out) {
  std::optional<Address> PeerAddress = Queues_.address(Peer);
  if (!PeerAddress) {
    closeOutbound(Peer, nullptr);
    Outbound_.erase(Peer);
    return;
  }
  if (!Out.Connection_)
    return;
  if (!(*PeerAddress == Out.Address_)) {
    Out.NextDialAt_ = Time();
    return closeOutbound(Peer, nullptr);
  }
  const PeerLimits &Limits = Options_.Limits_;
  PeerConnection &Connection = *Out.Connection_;
  Time Now = Clock_.now();
  bool HandshakePending = !Connection.sender();
  bool HandshakeTimedOut = HandshakePending && Now - Connection.openedAt() >
                                                   Limits.HandshakeTimeout_;
  bool AwaitsAcknowledgement =
      !HandshakePending && Connection.sender()->unacknowledged() > 0;
  bool Stalled = AwaitsAcknowledgement &&
                 Now - Connection.lastRead() > Limits.StallTimeout_;
  if (HandshakeTimedOut || Stalled) {
    Error Reason(HandshakeTimedOut ? "peer.handshake" : "peer.write",
                 Peer.str(), "no answer from the peer within the time-out");
    return closeOutbound(Peer, &Reason);
  }
  if (!HandshakePending && !AwaitsAcknowledgement &&
      Now - Connection.lastActivity() > Limits.IdleTimeout_)
    closeOutbound(Peer, nullptr);
}

/// Called when a peer has dialed this VM. A connection to it that is not
/// answered leads to its process before a restart or loss of power.
void PeerLoop::redialUnanswered(const VmId &Peer) {
  auto Found = Outbound_.find(Peer);
  if (Found == Outbound_.end())
    return;
  OutboundConnection &Out = Found->second;
  if (Out.Connection_) {
    PeerConnection &Connection = *Out.Connection_;
    bool HandshakePending = !Connection.sender();
    bool Awaits = HandshakePending || Connection.sender()->unacknowledged() > 0;
    Time Since =
        HandshakePending ? Connection.openedAt() : Connection.lastRead();
    if (!Awaits || Clock_.now() - Since <= UsualAnswerTime)
      return;
    Error Reason("peer.write", Peer.str(),
                 "unanswered connection replaced, the peer has dialed anew");
    closeOutbound(Peer, &Reason);
  }
  Out.NextDialAt_ = Time();
}

void PeerLoop::checkInbound() {
  const PeerLimits &Limits = Options_.Limits_;
  Time Now = Clock_.now();
  bool Paused = Inbox_.full();
  bool Changed = std::exchange(ReadsPaused_, Paused) != Paused;
  std::vector<Poco::Net::Socket> TimedOut;
  std::vector<Poco::Net::Socket> Idle;
  for (auto &[Socket, Connection] : Inbound_) {
    if (!Connection->authenticated() &&
        Now - Connection->openedAt() > Limits.HandshakeTimeout_)
      TimedOut.push_back(Socket);
    else if (!Paused &&
             Now - Connection->lastActivity() > Limits.IdleTimeout_ * 2)
      Idle.push_back(Socket);
    else if (Changed)
      updatePollMode(*Connection, true);
  }
  Error Reason("peer.handshake", "", "no handshake in time");
  for (const auto &Socket : TimedOut)
    closeInbound(Socket, &Reason);
  for (const auto &Socket : Idle)
    closeInbound(Socket, nullptr);
}

void PeerLoop::closeOldestUnauthenticated() {
  std::size_t Unauthenticated = 0;
  const ConnectionMap::value_type *Oldest = nullptr;
  for (const auto &Entry : Inbound_) {
    if (Entry.second->authenticated())
      continue;
    ++Unauthenticated;
    if (!Oldest || Entry.second->openedAt() < Oldest->second->openedAt())
      Oldest = &Entry;
  }
  if (Unauthenticated < Options_.Limits_.UnauthenticatedConnections_)
    return;
  Error Reason("peer.handshake", "", "too many unauthenticated connections");
  closeInbound(Poco::Net::Socket(Oldest->first), &Reason);
}

void PeerLoop::closeOlderConnections(const PeerConnection &Newest) {
  std::vector<Poco::Net::Socket> Older;
  for (const auto &[Socket, Connection] : Inbound_)
    if (Connection.get() != &Newest && Connection->authenticated() &&
        Connection->peer() == Newest.peer())
      Older.push_back(Socket);
  for (const auto &Socket : Older)
    closeInbound(Socket, nullptr);
}

void PeerLoop::closeOutbound(const VmId &Peer, const Error *Reason) {
  auto It = Outbound_.find(Peer);
  if (It == Outbound_.end() || !It->second.Connection_)
    return;
  std::unique_ptr<PeerConnection> Connection =
      std::move(It->second.Connection_);
  PollSet_.remove(Connection->socket());
  DialedPeers_.erase(Connection->socket());
  if (Connection->sender())
    Counters_.add(&PeerCounters::FailedInFlight_,
                  Connection->sender()->unacknowledged());
  Connection->socket().close();
  if (Reason)
    report(*Reason, Connection->authenticated());
}

void PeerLoop::closeInbound(const Poco::Net::Socket &Socket,
                            const Error *Reason) {
  auto It = Inbound_.find(Socket);
  if (It == Inbound_.end())
    return;
  std::unique_ptr<PeerConnection> Connection = std::move(It->second);
  Inbound_.erase(It);
  PollSet_.remove(Connection->socket());
  Connection->socket().close();
  if (Reason)
    report(*Reason, Connection->authenticated());
}

void PeerLoop::report(const Error &Reason, bool Authenticated) {
  if (dynamic_cast<const Http2Error *>(&Reason))
    Counters_.add(&PeerCounters::ProtocolErrors_);
  else if (!Authenticated && Reason.step() != "peer.connect")
    Counters_.add(&PeerCounters::AuthFailures_);
  if (OnError_)
    OnError_(Reason);
}

} // namespace lagoonpoint::internal
