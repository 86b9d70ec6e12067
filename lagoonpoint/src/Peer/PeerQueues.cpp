#include "lagoonpoint/src/Peer/PeerQueues.h"

namespace lagoonpoint::internal {

void PeerQueues::setPeers(std::map<VmId, Address> Peers) {
  std::lock_guard Guard(Lock_);
  std::erase_if(Queues_, [&](const auto &E) { return !Peers.count(E.first); });
  for (auto &[Vm, At] : Peers)
    Queues_[Vm].Address_ = std::move(At);
}

std::optional<Address> PeerQueues::address(const VmId &Peer) const {
  std::lock_guard Guard(Lock_);
  auto It = Queues_.find(Peer);
  if (It == Queues_.end())
    return std::nullopt;
  return It->second.Address_;
}

void PeerQueues::push(Envelope Message, Time Now) {
  std::size_t Size = Message.Body_.size();
  if (Size > Limits_.MessageBytes_)
    return Counters_.add(&PeerCounters::DroppedTooLarge_);
  std::lock_guard Guard(Lock_);
  auto It = Queues_.find(Message.To_);
  if (It == Queues_.end())
    return Counters_.add(&PeerCounters::DroppedUnknownPeer_);
  Queue &Q = It->second;
  while (!Q.Messages_.empty() &&
         (Q.Messages_.size() >= Limits_.QueueMessages_ ||
          Q.Bytes_ + Size > Limits_.QueueBytes_)) {
    takeOldest(Q);
    Counters_.add(&PeerCounters::DroppedQueueFull_);
  }
  NewlyQueuedPeers_.insert(Message.To_);
  Q.Bytes_ += Size;
  Q.Messages_.push_back({std::move(Message), Now});
}

Envelope PeerQueues::takeOldest(Queue &Q) {
  Envelope Message = std::move(Q.Messages_.front().Message_);
  Q.Messages_.pop_front();
  Q.Bytes_ -= Message.Body_.size();
  return Message;
}

std::optional<Envelope> PeerQueues::pop(const VmId &Peer) {
  std::lock_guard Guard(Lock_);
  auto It = Queues_.find(Peer);
  if (It == Queues_.end() || It->second.Messages_.empty())
    return std::nullopt;
  return takeOldest(It->second);
}

bool PeerQueues::empty(const VmId &Peer) const {
  std::lock_guard Guard(Lock_);
  auto It = Queues_.find(Peer);
  return It == Queues_.end() || It->second.Messages_.empty();
}

void PeerQueues::expire(Time Now) {
  std::lock_guard Guard(Lock_);
  for (auto &[Vm, Q] : Queues_)
    while (!Q.Messages_.empty() &&
           Now - Q.Messages_.front().QueuedAt_ > Limits_.QueueAge_) {
      takeOldest(Q);
      Counters_.add(&PeerCounters::DroppedExpired_);
    }
}

std::set<VmId> PeerQueues::takeNewlyQueuedPeers() {
  std::lock_guard Guard(Lock_);
  return std::exchange(NewlyQueuedPeers_, {});
}

std::set<VmId> PeerQueues::peersWithMessages() const {
  std::lock_guard Guard(Lock_);
  std::set<VmId> Peers;
  for (const auto &[Vm, Q] : Queues_)
    if (!Q.Messages_.empty())
      Peers.insert(Vm);
  return Peers;
}

} // namespace lagoonpoint::internal
