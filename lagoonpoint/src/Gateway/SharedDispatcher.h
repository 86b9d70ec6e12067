#pragma once

#include "lagoonpoint/Fleet"
#include "lagoonpoint/Http"
#include "lagoonpoint/Items"
#include "lagoonpoint/Steering"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace lagoonpoint {

/// What one call asks of a dispatcher.
struct SharedDispatchRequest {
  ServiceId Service_;
  std::string Object_;
  std::set<RegionId> Regions_; ///< that may serve it; empty: all
  std::set<UpstreamId> Tried_;
  unsigned Priority_ = 0; ///< 0 goes first
  Time WaitUntil_;        ///< for an upstream with room
  Time Deadline_;         ///< of the answer
};

/// An upstream reserved for one try.
struct SharedSlot {
  CallTarget Target_;
  double InFlightAtSend_ = 0; ///< load that was there before
};

/// What the dispatcher learns of the fleet; refers to its caller's state.
struct FleetSnapshot {
  const UpstreamRegistry &Upstreams_;
  const std::set<ZoneId> &DrainedZones_;
  const std::vector<VmId> &EntryVms_; ///< live entry VMs
  const ItemMap<ServiceItem> &Services_;
  Time Now_;
};

/// \class SharedDispatcher
/// \ingroup Gateway
/// \brief Chooses an upstream for each try of a call, and lets calls wait for
/// one in the order of their priority. Thread-safe, a lock per service.
class SharedDispatcher {
public:
  SharedDispatcher(const FleetSettings &S, const Clock &C);

  /// Takes in what is known of the fleet.
  void update(const FleetSnapshot &Fleet);
  /// Moves the regions' shares towards what demand and slots ask for.
  /// \param RegionRates requests a second by region and service
  void rebalance(const std::map<std::string, RateMap> &RegionRates,
                 Duration Elapsed);

  /// Reserves an upstream.
  /// \throws Refusal if none has room in time
  SharedSlot acquire(const SharedDispatchRequest &Request);
  /// Ends a try.
  void release(const ServiceId &Service, const SharedSlot &Slot,
               const TryReport &Report);

private:
  struct Shard {
    std::mutex Lock_;
    std::condition_variable Changed_;
    SharedGroup Group_;
    RegionShares Shares_;
    std::map<RegionId, double> Demand_;    ///< parts of all, smoothed
    std::map<unsigned, unsigned> Waiting_; ///< calls by priority
  };

  Shard *findShard(const ServiceId &Service);
  Shard &findOrCreateShard(const ServiceId &Service);
  RegionId regionOf(const ZoneId &Zone) const;
  KeyedRequest makeKeyedRequest(const Shard &S,
                                const SharedDispatchRequest &Request) const;
  SharedUpstream makeUpstream(const KnownUpstream &Known,
                              const FleetSnapshot &Fleet) const;
  bool warmsUp(const UpstreamId &Id, const std::vector<VmId> &EntryVms) const;
  std::map<RegionId, double> slotsOf(const SharedGroup &G) const;

  const FleetSettings &Settings_;
  const Clock &Clock_;
  const KeyedChoiceOptions Options_;
  std::mutex Lock_; ///< guards the map, not its shards
  std::map<ServiceId, std::unique_ptr<Shard>> Shards_;
};

} // namespace lagoonpoint
