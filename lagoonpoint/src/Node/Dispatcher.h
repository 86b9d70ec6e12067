#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/Limits"
#include "lagoonpoint/Steering"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace lagoonpoint {

/// What a call wants of an upstream of this zone.
struct DispatchRequest {
  ServiceId Service_;
  TeamId Team_;         ///< empty on an open route
  unsigned Weight_ = 1; ///< of the team
  std::set<UpstreamId> Tried_;
  bool MayProbe_ = true; ///< false for calls that must not run twice
  Time Deadline_;
};

/// One upstream as `status` shows it.
struct UpstreamRow {
  ServiceId Service_;
  Upstream Upstream_;
};

/// \class Dispatcher
/// \ingroup Node
/// \brief Places calls at the upstreams of this zone; calls that find no free
/// slot wait in a fair queue. A lock per service. Thread-safe.
class Dispatcher {
public:
  explicit Dispatcher(const Clock &C) : Clock_(C) {}

  /// Takes in all usable upstreams of the zone; one that is missing is leaving.
  /// \param Vms entry VMs of the zone that divide the slots
  void setUpstreams(const ServiceId &Service,
                    const std::vector<UpstreamAnnouncement> &Announcements,
                    const std::set<VmId> &Vms, const VmId &Self,
                    Duration SlowStart);

  /// Takes a free slot if there is one and nobody waits for it.
  std::optional<CallTarget> tryAcquire(const DispatchRequest &Request);
  /// Takes a slot, waiting for one until the deadline.
  /// \throws Refusal with NoUpstream, QueueFull or DeadlinePassed
  CallTarget acquire(const DispatchRequest &Request);
  /// Frees a slot and learns from how the try ended.
  void release(const ServiceId &Service, const UpstreamId &Id,
               UpstreamOutcome Outcome, Duration ServiceTime);

  /// \returns the slots this VM holds at the service's upstreams that take
  /// work.
  double slots(const ServiceId &Service);
  std::vector<UpstreamRow> upstreamRows();

private:
  struct Shard {
    std::mutex Lock_;
    std::condition_variable SlotGranted_;
    UpstreamGroup Group_;
    FairQueue Queue_;
    std::map<std::uint64_t, DispatchRequest> Waiting_;
    std::map<std::uint64_t, CallTarget> Grants_;
    std::uint64_t NextTicket_ = 0;
    Random Random_{std::random_device()()};
  };

  Shard &findOrCreateShard(const ServiceId &Service);
  std::optional<CallTarget> tryPlace(Shard &S, const DispatchRequest &Request);
  void grantFreeSlots(Shard &S);
  CallTarget await(Shard &S, std::unique_lock<std::mutex> &Guard,
                   std::uint64_t Ticket, const DispatchRequest &Request);

  const Clock &Clock_;
  std::mutex MapLock_;
  std::map<ServiceId, std::unique_ptr<Shard>> Shards_;
};

} // namespace lagoonpoint
