#include "lagoonpoint/src/Gateway/LoadSharing.h"

#include "lagoonpoint/Log"
#include "lagoonpoint/src/Gateway/LoadRelay.h"

namespace lagoonpoint {

namespace {

/// Notices are collected for this long. An upstream's load changes within
/// tenths of a second.
constexpr Duration SendInterval = Duration::millis(100);
/// Selects the core VM that relays the notices of a region.
constexpr const char *RelayRole = "load notices";

} // namespace

LoadSharing::LoadSharing(const FleetSettings &S, const Clock &C,
                         MetricRegistry &Metrics, SharedDispatcher &D,
                         Sender Send)
    : Clock_(C), Metrics_(Metrics), Dispatcher_(D), Send_(std::move(Send)),
      Mode_(S.LoadSharing_), Active_(S.LoadSharing_ == PlacementMode::On),
      Worker_("loads.send", SendInterval, [this] { send(); }) {}

void LoadSharing::start() {
  std::lock_guard Guard(WorkerLock_);
  Started_ = true;
  if (Active_)
    Worker_.start();
}

void LoadSharing::stop() {
  {
    std::lock_guard Guard(WorkerLock_);
    Started_ = false;
  }
  Worker_.stop();
}

void LoadSharing::activate() {
  if (Mode_ != PlacementMode::Auto || Active_)
    return;
  std::lock_guard Guard(WorkerLock_);
  if (Active_)
    return;
  if (Started_)
    Worker_.start();
  Active_ = true;
  log({.Step_ = "loads.active",
       .Message_ = "loads of upstreams are shared: one states its pace"});
}

void LoadSharing::recordTry(const TryReport &Report,
                            const std::optional<LoadNotice> &Changed) {
  if (Report.Load_ && Report.Load_->PacePercent_)
    activate();
  if (!Active_ || !Changed)
    return;
  std::lock_guard Guard(Lock_);
  if (!Relay_.empty())
    Pending_[Changed->Id_] = {*Changed, Clock_.now()};
}

void LoadSharing::receive(const LoadNotices &M) {
  if (Mode_ == PlacementMode::Off || M.Notices_.size() > MaxLoadNotices)
    return;
  for (const LoadNotice &N : M.Notices_)
    if (N.PacePercent_ > 0)
      activate();
  Metrics_.add(Metric::LoadNotices, {"received"},
               static_cast<double>(M.Notices_.size()));
  Dispatcher_.recordLoads(M.Notices_);
}

void LoadSharing::setRelayCandidates(std::vector<VmId> Cores) {
  VmId Relay;
  if (!Cores.empty())
    Relay = rankHolders(RelayRole, std::move(Cores)).front();
  Dispatcher_.setLoadSharing(Active_ && !Relay.empty());
  std::lock_guard Guard(Lock_);
  Relay_ = Relay;
}

void LoadSharing::send() {
  LoadNotices Out;
  VmId To;
  {
    std::lock_guard Guard(Lock_);
    Time Now = Clock_.now();
    for (auto &[Id, F] : Pending_) {
      if (Out.Notices_.size() == MaxLoadNotices)
        break;
      F.Notice_.Age_ = Now - F.At_;
      Out.Notices_.push_back(std::move(F.Notice_));
    }
    Pending_.clear();
    To = Relay_;
  }
  if (Out.Notices_.empty() || To.empty())
    return;
  Metrics_.add(Metric::LoadNotices, {"sent"},
               static_cast<double>(Out.Notices_.size()));
  Send_(To, Out);
}

} // namespace lagoonpoint
