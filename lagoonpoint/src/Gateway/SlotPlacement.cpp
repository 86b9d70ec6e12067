#include "lagoonpoint/src/Gateway/SlotPlacement.h"

#include "lagoonpoint/Log"

namespace lagoonpoint {

namespace {

constexpr Duration ExpiryInterval = Duration::millis(100);
/// Time that the first update is taken to cover.
constexpr Duration FirstElapsed = Duration::millis(500);
/// Request numbers start at the process start times this, so that a later
/// process of a VM never reuses the numbers of an earlier one.
constexpr std::uint64_t NumbersPerMilli = 1 << 20;

} // namespace

SlotPlacement::SlotPlacement(const FleetSettings &S, std::uint64_t StartedAtMs,
                             const Clock &C, MetricRegistry &Metrics,
                             SharedDispatcher &D, SlotClient::Sender Send)
    : Settings_(S), Self_(S.Host_), Clock_(C), Dispatcher_(D),
      Send_(std::move(Send)), Active_(S.Placement_ == PlacementMode::On),
      Holder_(Self_, C, Metrics,
              [this](const VmId &To, const SlotReply &M) { send(To, M); }),
      Client_(S, StartedAtMs * NumbersPerMilli, C, Metrics,
              [this](const VmId &To, const FleetMessage &M) { send(To, M); }),
      Expiry_("pool.expire", ExpiryInterval,
              [this] { Holder_.expire(false); }) {}

void SlotPlacement::start() {
  if (Settings_.Placement_ != PlacementMode::Off)
    Expiry_.start();
}

void SlotPlacement::stop() {
  Client_.stop();
  Expiry_.stop();
}

void SlotPlacement::activate(const char *Cause) {
  if (Settings_.Placement_ != PlacementMode::Auto || Active_.exchange(true))
    return;
  log({.Step_ = "placement.active",
       .Message_ = std::string("calls are placed by pools: ") + Cause});
}

/// Messages to this VM itself are handled at once. Neither the holder nor the
/// client holds a lock while it sends.
void SlotPlacement::send(const VmId &To, const FleetMessage &M) {
  if (To != Self_)
    Send_(To, M);
  else
    receive(To, M);
}

bool SlotPlacement::receive(const VmId &From, const FleetMessage &M) {
  if (const auto *Request = std::get_if<SlotRequest>(&M)) {
    activate("another entry VM asks for a slot");
    Holder_.onRequest(From, *Request);
  } else if (const auto *Reply = std::get_if<SlotReply>(&M)) {
    Client_.onReply(From, *Reply);
  } else if (const auto *Release = std::get_if<SlotRelease>(&M)) {
    Holder_.onRelease(From, *Release);
  } else {
    return false;
  }
  return true;
}

void SlotPlacement::update(const PlacementView &View) {
  if (!Active_)
    return;
  Time Now = Clock_.now();
  Duration Elapsed = UpdatedAt_ == Time() ? FirstElapsed : Now - UpdatedAt_;
  UpdatedAt_ = Now;
  Holder_.setLiveVms(View.EntryVms_);
  Client_.setEntryVms(View.RegionEntryVms_);
  for (auto &[Service, In] : Dispatcher_.placedServices(View.RegionRates_)) {
    double WarmupRate = In.WarmupRate_;
    auto Map =
        Client_.update(Service, std::move(In), View.RegionEntryVms_, Elapsed);
    Holder_.update(Service, *Map, WarmupRate);
    // Calls that are not placed by pools must not go to other regions than
    // those that are: every difference counts as a change of region.
    Dispatcher_.setShares(Service, Client_.shares(Service));
  }
  Holder_.expire(true);
  Holder_.exportMetrics();
}

Duration SlotPlacement::sinceFirstRequest(const std::string &Route,
                                          std::optional<Duration> Allowed) {
  if (!Active_ || !Allowed)
    return {};
  return FirstDeadline_.sinceFirstRequest(Route, *Allowed, Clock_.now());
}

} // namespace lagoonpoint
