#include "lagoonpoint/src/Peer/PeerLoop.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoonpoint::internal {

namespace {

constexpr Duration HousekeepingEvery = Duration::millis(50);

} // namespace

void PeerLoop::housekeep() {
  Time Now = Clock_.now();
  NextHousekeeping_ = Now + HousekeepingEvery;
  Queues_.expire(Now);
  for (const VmId &Peer : Queues_.waiting())
    pump(Peer);
  std::vector<VmId> Peers;
  for (const auto &[Peer, Out] : Outbounds_)
    Peers.push_back(Peer);
  for (const VmId &Peer : Peers)
    checkOutbound(Peer, Outbounds_[Peer]);
  checkInbound();
}

void PeerLoop::checkOutbound(const VmId &Peer, Outbound &Out) {
  std::optional<Address> At = Queues_.address(Peer);
  if (!At) {
    closeOutbound(Peer, nullptr);
    Outbounds_.erase(Peer);
    return;
  }
  if (!Out.Link_)
    return;
  if (!(*At == Out.Address_)) {
    Out.NextTry_ = Time();
    return closeOutbound(Peer, nullptr);
  }
  const PeerLimits &Limits = Options_.Limits_;
  PeerConnection &Link = *Out.Link_;
  Time Now = Clock_.now();
  bool Greeting = !Link.sender();
  bool Late = Greeting && Now - Link.opened() > Limits.HandshakeTimeout_;
  bool Busy = !Greeting && Link.sender()->open() > 0;
  bool Stalled = Busy && Now - Link.lastRead() > Limits.StallTimeout_;
  if (Late || Stalled) {
    Error Why(Late ? "peer.handshake" : "peer.write", Peer.str(),
              "the peer doesn't answer");
    return closeOutbound(Peer, &Why);
  }
  if (!Greeting && !Busy && Now - Link.lastUse() > Limits.IdleTimeout_)
    closeOutbound(Peer, nullptr);
}

void PeerLoop::checkInbound() {
  const PeerLimits &Limits = Options_.Limits_;
  Time Now = Clock_.now();
  bool Paused = Inbox_.full();
  bool Changed = std::exchange(Paused_, Paused) != Paused;
  std::vector<Poco::Net::Socket> Late;
  std::vector<Poco::Net::Socket> Idle;
  for (auto &[Socket, Link] : Inbounds_) {
    if (!Link->authenticated() &&
        Now - Link->opened() > Limits.HandshakeTimeout_)
      Late.push_back(Socket);
    else if (!Paused && Now - Link->lastUse() > Limits.IdleTimeout_ * 2)
      Idle.push_back(Socket);
    else if (Changed)
      watch(*Link, true);
  }
  Error Why("peer.handshake", "", "no handshake in time");
  for (const auto &Socket : Late)
    closeInbound(Socket, &Why);
  for (const auto &Socket : Idle)
    closeInbound(Socket, nullptr);
}

void PeerLoop::dropOldestStranger() {
  std::size_t Strangers = 0;
  const Inbound::value_type *Oldest = nullptr;
  for (const auto &Entry : Inbounds_) {
    if (Entry.second->authenticated())
      continue;
    ++Strangers;
    if (!Oldest || Entry.second->opened() < Oldest->second->opened())
      Oldest = &Entry;
  }
  if (Strangers < Options_.Limits_.Strangers_)
    return;
  Error Why("peer.handshake", "", "too many connections without a handshake");
  closeInbound(Poco::Net::Socket(Oldest->first), &Why);
}

void PeerLoop::dropOlderLinks(const PeerConnection &Newest) {
  std::vector<Poco::Net::Socket> Older;
  for (const auto &[Socket, Link] : Inbounds_)
    if (Link.get() != &Newest && Link->authenticated() &&
        Link->peer() == Newest.peer())
      Older.push_back(Socket);
  for (const auto &Socket : Older)
    closeInbound(Socket, nullptr);
}

void PeerLoop::closeOutbound(const VmId &Peer, const Error *Why) {
  auto It = Outbounds_.find(Peer);
  if (It == Outbounds_.end() || !It->second.Link_)
    return;
  std::unique_ptr<PeerConnection> Link = std::move(It->second.Link_);
  Polled_.remove(Link->socket());
  Dialed_.erase(Link->socket());
  if (Link->sender())
    Counters_.add(&PeerCounters::FailedInFlight_, Link->sender()->open());
  Link->socket().close();
  if (Why)
    report(*Why, Link->authenticated());
}

void PeerLoop::closeInbound(const Poco::Net::Socket &Socket, const Error *Why) {
  auto It = Inbounds_.find(Socket);
  if (It == Inbounds_.end())
    return;
  std::unique_ptr<PeerConnection> Link = std::move(It->second);
  Inbounds_.erase(It);
  Polled_.remove(Link->socket());
  Link->socket().close();
  if (Why)
    report(*Why, Link->authenticated());
}

void PeerLoop::report(const Error &Why, bool Authenticated) {
  if (dynamic_cast<const Http2Error *>(&Why))
    Counters_.add(&PeerCounters::ProtocolErrors_);
  else if (!Authenticated && Why.step() != "peer.connect")
    Counters_.add(&PeerCounters::AuthFailures_);
  if (OnError_)
    OnError_(Why);
}

} // namespace lagoonpoint::internal
