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
/// \brief Messages that wait for their peer's connection. Thread-safe.
///
/// A full queue drops its oldest message: what is newer says more.
class PeerQueues {
public:
  PeerQueues(const PeerLimits &Limits, SharedPeerCounters &Counters)
      : Limits_(Limits), Counters_(Counters) {}

  void setPeers(std::map<VmId, Address> Peers);
  /// \returns the address of a peer, or nothing if it is not declared.
  std::optional<Address> address(const VmId &Peer) const;

  /// Queues a message; counts what it has to drop.
  void push(Envelope Message, Time Now);
  std::optional<Envelope> pop(const VmId &Peer);
  bool empty(const VmId &Peer) const;
  /// Drops messages that have waited longer than the limit.
  void expire(Time Now);
  /// Takes the peers for which messages came since the last call.
  std::set<VmId> takeNewlyQueuedPeers();
  /// \returns peers for which messages wait.
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
