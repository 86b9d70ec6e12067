#pragma once

#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Gateway/SlotWire.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace lagoonpoint {

/// \class SlotHolder
/// \ingroup Gateway
/// \brief Hosts the pools whose slots this VM grants, and answers the requests
/// of all entry VMs of its region, this one included. Thread-safe, one lock per
/// service; none is held while a reply is sent.
class SlotHolder {
public:
  using Sender = std::function<void(const VmId &, const SlotReply &)>;

  /// \param Send sends a reply; must not block
  SlotHolder(VmId Self, const Clock &C, MetricRegistry &Metrics, Sender Send)
      : Self_(std::move(Self)), Clock_(C), Metrics_(Metrics),
        Send_(std::move(Send)) {}

  /// Takes over and gives up pools of a service, and updates the upstreams of
  /// the others.
  /// \param WarmupRate calls per second that a cold upstream can take
  void update(const ServiceId &Service, const PoolMap &Map, double WarmupRate);
  /// Sets the live entry VMs. The grants of others end.
  void setLiveVms(std::vector<VmId> Vms);

  void onRequest(const VmId &From, const SlotRequest &M);
  void onRelease(const VmId &From, const SlotRelease &M);

  /// Ends what has expired. To be called every 100 ms.
  /// \param All also in services without waiting calls
  void expire(bool All);
  /// Exports the state of the pools. \p Services are those with pools.
  void exportMetrics();

private:
  struct HeldPool {
    SlotPool Pool_;
    bool IsHeld_ = true; ///< else it was given up, and only grants remain
    Time GivenUpAt_;
  };
  struct Shard {
    std::mutex Lock_;
    std::map<PoolKey, HeldPool> Pools_;
    std::map<VmId, Time> LastRequestAt_; ///< by requester
    std::atomic<bool> HasWaiting_{false};
  };
  using Replies = std::vector<std::pair<VmId, SlotReply>>;

  Shard *findShard(const ServiceId &Service);
  Shard &findOrCreateShard(const ServiceId &Service);
  std::vector<std::pair<ServiceId, Shard *>> shards();
  void giveUp(const PoolKey &Key, HeldPool &P, Replies &Out, Time Now);
  void append(Replies &Out, const PoolKey &Key, const SlotPool &P,
              const std::vector<SlotAnswer> &Answers, Time Now);
  std::set<VmId> liveVms(Shard &S, Time Now);
  void expireShard(Shard &S, Replies &Out, Time Now);
  void send(const Replies &R);

  const VmId Self_;
  const Clock &Clock_;
  MetricRegistry &Metrics_;
  const Sender Send_;
  std::mutex Lock_; ///< guards what follows, but not the shards themselves
  std::map<ServiceId, std::unique_ptr<Shard>> Shards_;
  std::vector<VmId> LiveVms_;
};

} // namespace lagoonpoint
