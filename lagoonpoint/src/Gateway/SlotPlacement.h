#pragma once

#include "lagoonpoint/src/Gateway/FirstDeadline.h"
#include "lagoonpoint/src/Gateway/SharedDispatcher.h"
#include "lagoonpoint/src/Gateway/SlotClient.h"
#include "lagoonpoint/src/Gateway/SlotHolder.h"
#include "lagoonpoint/src/Node/Worker.h"

#include <atomic>

namespace lagoonpoint {

/// The fleet as an entry VM knows it from its nearest core VM.
struct PlacementView {
  std::map<std::string, RateMap> RegionRates_; ///< service rates by region
  std::vector<VmId> EntryVms_;                 ///< live ones of all regions
  std::vector<VmId> RegionEntryVms_;           ///< ready ones of this region
};

/// \class SlotPlacement
/// \ingroup Gateway
/// \brief Placement with shared knowledge at one entry VM: connects its
/// SlotHolder, its SlotClient and the SharedDispatcher. Thread-safe.
class SlotPlacement {
public:
  /// \param S outlives this object
  /// \param StartedAtMs process start, Unix time in ms
  /// \param Send sends a message to another VM; must not block
  SlotPlacement(const FleetSettings &S, std::uint64_t StartedAtMs,
                const Clock &C, MetricRegistry &Metrics, SharedDispatcher &D,
                SlotClient::Sender Send);

  void start();
  /// Ends the waits for slots.
  void stop();

  /// \returns whether calls are placed by pools.
  bool isActive() const { return Active_; }
  /// Records that an upstream states its pace.
  void recordPace() { activate("an upstream states its pace"); }

  /// Recomputes the pools. Called regularly.
  void update(const PlacementView &View);
  /// \returns whether the message is about slots; it has been handled then
  bool receive(const VmId &From, const FleetMessage &M);

  SlotClient &client() { return Client_; }
  /// \returns the time since a caller's first request, by the time that it
  /// allows for this one; zero if this is the first
  Duration sinceFirstRequest(const std::string &Route,
                             std::optional<Duration> Allowed);

private:
  void activate(const char *Cause);
  void send(const VmId &To, const FleetMessage &M);

  const FleetSettings &Settings_;
  const VmId Self_;
  const Clock &Clock_;
  SharedDispatcher &Dispatcher_;
  const SlotClient::Sender Send_;
  std::atomic<bool> Active_;
  FirstDeadline FirstDeadline_;
  SlotHolder Holder_;
  SlotClient Client_;
  Time UpdatedAt_; ///< used by update() only
  Worker Expiry_;
};

} // namespace lagoonpoint
