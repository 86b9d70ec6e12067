#include "lagoonpoint/src/Gateway/LoadRelay.h"

namespace lagoonpoint {

namespace {

constexpr Duration ForwardInterval = Duration::millis(100);

} // namespace

LoadRelay::LoadRelay(const Clock &C,
                     std::function<void(const LoadNotices &)> Forward)
    : Clock_(C), Forward_(std::move(Forward)),
      Worker_("loads.relay", ForwardInterval, [this] { forward(); }) {}

void LoadRelay::start() {
  std::lock_guard Guard(Lock_);
  Started_ = true;
  if (!Pending_.empty())
    Worker_.start();
}

void LoadRelay::stop() {
  {
    std::lock_guard Guard(Lock_);
    Started_ = false;
  }
  Worker_.stop();
}

void LoadRelay::receive(const LoadNotices &M) {
  std::lock_guard Guard(Lock_);
  if (Started_)
    Worker_.start();
  Time Now = Clock_.now();
  for (const LoadNotice &N : M.Notices_) {
    auto Known = Pending_.find(N.Id_);
    bool IsKnown = Known != Pending_.end();
    // Notices of several VMs need not arrive in the order of the responses.
    bool IsOlder = IsKnown && Now - N.Age_ < Known->second.ReceivedAt_ -
                                                 Known->second.Notice_.Age_;
    if (!IsOlder && (IsKnown || Pending_.size() < MaxLoadNotices))
      Pending_[N.Id_] = {N, Now};
  }
}

void LoadRelay::forward() {
  LoadNotices Out;
  {
    std::lock_guard Guard(Lock_);
    Time Now = Clock_.now();
    for (auto &[Id, H] : Pending_) {
      H.Notice_.Age_ = H.Notice_.Age_ + (Now - H.ReceivedAt_);
      Out.Notices_.push_back(std::move(H.Notice_));
    }
    Pending_.clear();
  }
  if (!Out.Notices_.empty())
    Forward_(Out);
}

} // namespace lagoonpoint
