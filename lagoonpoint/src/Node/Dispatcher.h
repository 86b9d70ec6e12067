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

/// A call that asks for a slot at an upstream of this zone.
struct DispatchRequest {
  ServiceId Service_;
  TeamId Team_;         ///< empty on an open route
  unsigned Weight_ = 1; ///< of the team in the fair queue
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
/// \brief Assigns calls to the upstreams of this zone. Calls that find no free
/// slot wait in a fair queue. Each service has its own lock. Thread-safe.
class Dispatcher {
public:
  explicit Dispatcher(const Clock &C) : Clock_(C) {}

  /// Sets all usable upstreams of the zone. A known upstream that is missing
  /// from the list is marked as leaving.
  /// \param Vms entry VMs of the zone among which the slots are divided
  void setUpstreams(const ServiceId &Service,
                    const std::vector<UpstreamAnnouncement> &Announcements,
                    const std::set<VmId> &Vms, const VmId &Self,
                    Duration SlowStart);

  /// Takes a free slot if there is one and no other call waits for it.
  std::optional<CallTarget> tryAcquire(const DispatchRequest &Request);
  /// Takes a slot, waiting for one until the deadline.
  /// \throws Refusal with NoUpstream, QueueFull or DeadlinePassed
  CallTarget acquire(const DispatchRequest &Request);
  /// Frees a slot and updates the upstream's health by the outcome of the try.
  void release(const ServiceId &Service, const UpstreamId &Id,
               UpstreamOutcome Outcome, Duration ServiceTime);

  /// \returns the number of slots assigned to this VM at those upstreams of the
  /// service that accept calls.
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
