#pragma once

#include "lagoonpoint/src/Peer/PeerOptions.h"
#include "lagoonpoint/src/Peer/util/SharedPeerCounters.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace lagoonpoint::internal {

/// \class PeerQueues
/// \ingroup Peer
/// \brief One bounded queue of outgoing messages for each peer. Thread-safe.
///
/// A full queue drops its oldest messages, since newer ones carry more current
/// information.
class PeerQueues {
public:
  PeerQueues(const PeerLimits &Limits, SharedPeerCounters &Counters)
      : Limits_(Limits), Counters_(Counters) {}

  /// Replaces the set of peers; messages queued for removed peers are
  /// discarded.
  void setPeers(std::map<VmId, Address> Peers);
  /// \returns the address of a peer, or nothing if it is not in the set.
  std::optional<Address> address(const VmId &Peer) const;

  /// Queues a message; counts messages that have to be dropped.
  void push(Envelope Message, Time Now);
  std::optional<Envelope> pop(const VmId &Peer);
  bool empty(const VmId &Peer) const;
  /// Drops messages queued for longer than PeerLimits::QueueAge_.
  void expire(Time Now);
  /// Returns and clears the set of peers with messages queued since the last
  /// call.
  std::set<VmId> takeNewlyQueuedPeers();
  /// \returns the peers whose queue is not empty.
  std::set<VmId> peersWithMessages() const;

private:
  struct QueuedMessage {
    Envelope Message_;
    Time QueuedAt_;
  };
  struct Queue {
    Address Address_;
    std::deque<QueuedMessage> Messages_;
    std::size_t Bytes_ = 0;
  };

  static Envelope takeOldest(Queue &Q);

  const PeerLimits Limits_;
  SharedPeerCounters &Counters_;
  mutable std::mutex Lock_;
  std::map<VmId, Queue> Queues_;
  std::set<VmId> NewlyQueuedPeers_;
};

} // namespace lagoonpoint::internal
