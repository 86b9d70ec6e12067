#include "lagoonpoint/src/Gateway/LoadSharing.h"

#include "lagoonpoint/Log"

namespace lagoonpoint {

namespace {

/// Notices are collected for this long. An upstream's load changes within
/// tenths of a second.
constexpr Duration SendInterval = Duration::millis(100);
/// Selects the core VM that relays the notices of a region.
constexpr const char *RelayRole = "load notices";

} // namespace

LoadSharing::LoadSharing(const FleetSettings &S, MetricRegistry &Metrics,
                         SharedDispatcher &D, Sender Send)
    : Metrics_(Metrics), Dispatcher_(D), Send_(std::move(Send)),
      Mode_(S.LoadSharing_), Active_(S.LoadSharing_ == PlacementMode::On),
      Worker_("loads.send", SendInterval, [this] { send(); }) {
  Dispatcher_.setLoadSharing(Active_);
}

void LoadSharing::start() {
  if (Mode_ != PlacementMode::Off)
    Worker_.start();
}

void LoadSharing::stop() { Worker_.stop(); }

void LoadSharing::recordTry(const TryReport &Report,
                            const std::optional<LoadNotice> &Changed) {
  bool StatesPace = Report.Load_ && Report.Load_->PacePercent_;
  if (Mode_ == PlacementMode::Auto && StatesPace && !Active_.exchange(true)) {
    Dispatcher_.setLoadSharing(true);
    log({.Step_ = "loads.active",
         .Message_ = "loads of upstreams are shared: one states its pace"});
  }
  if (!Active_ || !Changed)
    return;
  std::lock_guard Guard(Lock_);
  Pending_[Changed->Id_] = *Changed;
}

void LoadSharing::receive(const LoadNotices &M) {
  if (Mode_ == PlacementMode::Off)
    return;
  Metrics_.add(Metric::LoadNotices, {"received"},
               static_cast<double>(M.Notices_.size()));
  Dispatcher_.recordLoads(M.Notices_);
}

void LoadSharing::setCores(std::vector<VmId> Cores) {
  VmId Relay;
  if (!Cores.empty())
    Relay = rankHolders(RelayRole, std::move(Cores)).front();
  std::lock_guard Guard(Lock_);
  Relay_ = Relay;
}

void LoadSharing::send() {
  LoadNotices Out;
  VmId To;
  {
    std::lock_guard Guard(Lock_);
    for (auto &[Id, Notice] : Pending_)
      Out.Notices_.push_back(std::move(Notice));
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
