#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Gateway/PlacedService.h"
#include "lagoonpoint/src/Gateway/SlotWire.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace lagoonpoint {

/// One attempt of a call that needs a slot.
struct SlotCall {
  ServiceId Service_;
  AllowedRegions Regions_; ///< that may serve the call
  std::string Spread_; ///< distributes calls without an object over the pools
  SlotDemand Demand_;  ///< without From_ and Number_
};

/// A slot that a holder granted. It has to be released.
struct GrantedSlot {
  PoolKey Pool_;
  VmId Holder_;
  std::uint64_t Number_ = 0; ///< of the request
  UpstreamId Upstream_;
  std::uint64_t StartedAtMs_ = 0; ///< of the upstream's process
  Duration ExpectedRun_;
  Duration RunLimit_; ///< longer runs are unusual; 0 if unknown
};

/// Result of a request for a slot.
struct SlotOutcome {
  enum class Kind {
    Granted,
    Refused,     ///< no slot will be free in time
    Unavailable, ///< the holder can't be asked; place the call without it
  };
  Kind Kind_ = Kind::Unavailable;
  GrantedSlot Slot_;        ///< if granted
  Duration RetryAfter_;     ///< if refused
  std::string Explanation_; ///< if refused: pool, wait, queue, reservations
};

/// \class SlotClient
/// \ingroup Gateway
/// \brief Requests slots from the entry VMs that hold the pools, and waits for
/// their replies. Thread-safe; no lock is held while a message is sent.
class SlotClient {
public:
  using Sender = std::function<void(const VmId &, const FleetMessage &)>;

  /// \param S outlives this object
  /// \param FirstNumber first request number; higher than those of earlier
  /// processes of this VM
  /// \param Send sends a request or a release; must not block
  SlotClient(const FleetSettings &S, std::uint64_t FirstNumber, const Clock &C,
             MetricRegistry &Metrics, Sender Send)
      : Settings_(S), Clock_(C), Metrics_(Metrics), Send_(std::move(Send)),
        NextNumber_(FirstNumber) {}

  /// Computes the pools of a service.
  /// \param EntryVms ready ones of the own region
  /// \param Elapsed time since the last call for this service
  std::shared_ptr<const PoolMap> update(const ServiceId &Service,
                                        PlacedService In,
                                        const std::vector<VmId> &EntryVms,
                                        Duration Elapsed);
  /// \returns the parts of the own region's calls by the region that serves
  /// them; empty if unknown
  RegionShares shares(const ServiceId &Service) const;
  /// Ends the waits for holders that are not in this list any more.
  void setEntryVms(const std::vector<VmId> &EntryVms);

  /// \returns the upstreams of the call's pool; empty if it has none
  std::set<UpstreamId> poolMembers(const SlotCall &C) const;
  /// Requests a slot and waits for the reply.
  SlotOutcome request(SlotCall C);
  void release(const GrantedSlot &Slot, const RunReport &R);
  void onReply(const VmId &From, const SlotReply &M);
  /// Ends all waits; later requests are not sent.
  void stop();

private:
  struct Wait {
    VmId Holder_;
    PoolKey Pool_;
    Time SentAt_;
    bool Queued_ = false;
    bool Abandoned_ = false; ///< the holder is not expected to reply any more
    std::optional<SlotAnswer> Answer_; ///< the last one
    unsigned Waiting_ = 0;             ///< at the holder, if refused
    unsigned Reserved_ = 0;
    std::condition_variable Changed_;
  };
  struct Service {
    FlowState Flows_;
    RegionShares OwnShares_;
    std::shared_ptr<const PoolMap> Map_;
  };

  /// Called with Lock_ held. The pool belongs to \p Map.
  const Pool *choosePool(const SlotCall &C,
                         std::shared_ptr<const PoolMap> &Map) const;
  void greetHolders(const PoolMap &Map);
  bool isSuspected(const VmId &Holder, Time Now);
  void suspect(const VmId &Holder, Time Now);
  SlotOutcome unavailable(const ServiceId &Service, const char *Reason);
  SlotOutcome outcomeOf(const SlotCall &C, std::uint64_t Number,
                        const Wait &W) const;

  const FleetSettings &Settings_;
  const Clock &Clock_;
  MetricRegistry &Metrics_;
  const Sender Send_;
  mutable std::mutex Lock_; ///< guards what follows
  std::map<ServiceId, Service> Services_;
  std::map<std::uint64_t, Wait *> Waits_; ///< by request number
  std::set<std::uint64_t> Granted_;       ///< numbers of the slots in use
  std::map<VmId, Time> SuspectedUntil_;
  std::set<VmId> Greeted_; ///< holders to which a message was sent
  std::uint64_t NextNumber_;
  bool Stopped_ = false;
};

} // namespace lagoonpoint
