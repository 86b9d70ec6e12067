#pragma once

#include "lagoonpoint/Admission"
#include "lagoonpoint/Fleet"
#include "lagoonpoint/Http"
#include "lagoonpoint/Items"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/Steering"
#include "lagoonpoint/src/Gateway/PlacedService.h"
#include "lagoonpoint/src/Gateway/VmRanking.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

namespace lagoonpoint {

/// One call's request for an upstream.
struct SharedDispatchRequest {
  ServiceId Service_;
  std::string Object_;
  AllowedRegions Regions_; ///< that may serve the call
  std::set<UpstreamId> Tried_;
  unsigned Priority_ = 0;     ///< lower values are served first
  Time WaitUntil_;            ///< limit of the wait for free capacity
  Time Deadline_;             ///< of the response
  std::set<UpstreamId> Only_; ///< that may serve the call; empty: all
};

/// An upstream reserved for one try.
struct SharedSlot {
  CallTarget Target_;
  double InFlightAtSend_ = 0; ///< expected load before this try
  Time AcquiredAt_;
  std::uint64_t StartedAtMs_ = 0; ///< of the upstream's process
  Time Deadline_;                 ///< of the response
  RegionId Region_;               ///< of the upstream; empty if granted
};

/// The fleet's state as the dispatcher needs it; refers to data of the caller.
struct FleetSnapshot {
  const UpstreamRegistry &Upstreams_;
  const std::set<ZoneId> &DrainedZones_;
  const std::vector<VmId> &EntryVms_; ///< live entry VMs
  const ItemMap<ServiceItem> &Services_;
  Time Now_;
};

/// \class SharedDispatcher
/// \ingroup Gateway
/// \brief Chooses an upstream for each try of a call. Calls that find no free
/// capacity wait in order of priority. Thread-safe, one lock per service.
class SharedDispatcher {
public:
  SharedDispatcher(const FleetSettings &S, const Clock &C,
                   MetricRegistry &Metrics);

  /// Replaces the known upstreams of all services.
  void update(const FleetSnapshot &Fleet);
  /// Replaces some upstreams. Others are not looked at, so that the cost of an
  /// announcement does not grow with the number of upstreams.
  void update(const FleetSnapshot &Fleet,
              const std::vector<UpstreamId> &Changed);
  /// Moves the regions' shares towards the targets that follow from demand and
  /// slots; at once while a service has not had calls.
  /// \param RegionRates requests per second by region and service
  /// \param Elapsed time since the last call
  void rebalance(const std::map<std::string, RateMap> &RegionRates,
                 Duration Elapsed);

  /// Reserves an upstream.
  /// \throws Refusal if none has free capacity in time
  SharedSlot acquire(const SharedDispatchRequest &Request);
  /// Reserves an upstream whose slot was granted by the holder of its pool.
  /// The grant covers its capacity and its warm-up.
  /// \param StartedAtMs of the granted upstream's process
  /// \returns nothing if this VM knows that the upstream must not be used
  std::optional<SharedSlot> reserveGranted(const ServiceId &Service,
                                           const UpstreamId &Upstream,
                                           std::uint64_t StartedAtMs);
  /// Records what the upstream of a try states about itself.
  void recordStatement(const ServiceId &Service, const SharedSlot &Slot,
                       const UpstreamStatement &Statement);
  /// Releases the slot of a try and records its outcome.
  /// \returns the load that the upstream stated, if others should know of it
  std::optional<LoadNotice> release(const ServiceId &Service,
                                    const SharedSlot &Slot,
                                    const TryReport &Report);
  /// Records loads that upstreams stated to other VMs.
  void recordLoads(const std::vector<LoadNotice> &Notices);
  /// Sets whether other VMs share the loads that they find.
  void setLoadSharing(bool On) { LoadsAreShared_ = On; }

  /// \returns what the pools of all services follow from.
  /// \param RegionRates requests per second by region and service
  std::map<ServiceId, PlacedService>
  placedServices(const std::map<std::string, RateMap> &RegionRates);
  /// Sets the shares of a service. rebalance() leaves them alone from then on.
  void setShares(const ServiceId &Service, RegionShares Shares);

private:
  struct Shard {
    std::mutex Lock_;
    std::condition_variable Changed_;
    SharedGroup Group_;
    RegionShares Shares_;
    bool SharesAreSet_ = false; ///< by setShares()
    bool HadCalls_ = false;     ///< the fleet, or this VM, has had calls
    std::map<RegionId, double> Demand_;    ///< smoothed fractions of all demand
    std::map<unsigned, unsigned> Waiting_; ///< calls by priority
    std::map<RegionId, ConcurrencyLimit> Limits_;
  };

  KeyedChoiceOptions options() const;
  void recordDuration(Shard &S, const SharedSlot &Slot, const TryReport &Report,
                      Time Now);
  void checkLimits(Shard &S, const SharedDispatchRequest &Request,
                   const std::vector<RegionId> &Regions);
  std::vector<std::pair<ServiceId, Shard *>> shards();
  Shard *findShard(const ServiceId &Service);
  Shard &findOrCreateShard(const ServiceId &Service);
  RegionId regionOf(const ZoneId &Zone) const;
  KeyedRequest makeKeyedRequest(const Shard &S,
                                const SharedDispatchRequest &Request) const;
  SharedUpstream makeUpstream(const KnownUpstream &Known,
                              const FleetSnapshot &Fleet,
                              const VmRanking &Ranking) const;
  std::shared_ptr<const VmRanking>
  updateRanking(const std::vector<VmId> &EntryVms);
  LimitSharer limitSharer(const UpstreamId &Id);
  std::map<RegionId, double> slotsOf(const SharedGroup &G) const;

  const FleetSettings &Settings_;
  const VmId Self_;
  const Clock &Clock_;
  MetricRegistry &Metrics_;
  std::atomic<bool> LoadsAreShared_{false};
  std::mutex Lock_; ///< guards what follows, but not the shards themselves
  std::map<ServiceId, std::unique_ptr<Shard>> Shards_;
  std::shared_ptr<const VmRanking> Ranking_ =
      std::make_shared<VmRanking>(std::vector<VmId>());
};

} // namespace lagoonpoint
