#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Gateway/SharedDispatcher.h"
#include "lagoonpoint/src/Node/Worker.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace lagoonpoint {

/// \class LoadSharing
/// \ingroup Gateway
/// \brief Tells the entry VMs of the region which upstreams this VM has found
/// full or free again, and learns the same from them. Thread-safe.
///
/// The notices go to a core VM of the region, which relays them. None is
/// repeated: a VM that misses one finds out by its own calls.
class LoadSharing {
public:
  using Sender = std::function<void(const VmId &, const FleetMessage &)>;

  /// \param C, Metrics, D and what \p Send refers to outlive this object
  LoadSharing(const FleetSettings &S, const Clock &C, MetricRegistry &Metrics,
              SharedDispatcher &D, Sender Send);

  void start();
  void stop();

  /// Records what a try learned of its upstream.
  /// \param Changed the load, if this VM did not expect it
  void recordTry(const TryReport &Report,
                 const std::optional<LoadNotice> &Changed);
  void receive(const LoadNotices &M);
  /// \param Cores core VMs of the region that are in contact. While there are
  /// none, this VM chooses upstreams as without notices.
  void setRelayCandidates(std::vector<VmId> Cores);

private:
  struct Found {
    LoadNotice Notice_;
    Time At_;
  };
  void activate();
  void send();

  const Clock &Clock_;
  MetricRegistry &Metrics_;
  SharedDispatcher &Dispatcher_;
  const Sender Send_;
  const PlacementMode Mode_;
  std::atomic<bool> Active_;
  std::mutex Lock_; ///< guards what follows
  VmId Relay_;
  std::map<UpstreamId, Found> Pending_;
  std::mutex WorkerLock_; ///< guards the start and the end of the worker
  bool Started_ = false;  ///< between start() and stop()
  Worker Worker_;         ///< runs once loads are shared
};

} // namespace lagoonpoint
