#include "lagoonpoint/src/Gateway/LoadRelay.h"

namespace lagoonpoint {

namespace {

constexpr Duration ForwardInterval = Duration::millis(100);
/// Notices in one message. Later ones are dropped: their senders' calls find
/// the same again.
constexpr std::size_t MaxNotices = 64;

} // namespace

LoadRelay::LoadRelay(std::function<void(const LoadNotices &)> Forward)
    : Forward_(std::move(Forward)),
      Worker_("loads.relay", ForwardInterval, [this] { forward(); }) {}

void LoadRelay::receive(const LoadNotices &M) {
  std::lock_guard Guard(Lock_);
  for (const LoadNotice &N : M.Notices_)
    if (Pending_.size() < MaxNotices || Pending_.count(N.Id_))
      Pending_[N.Id_] = N;
}

void LoadRelay::forward() {
  LoadNotices Out;
  {
    std::lock_guard Guard(Lock_);
    for (auto &[Id, N] : Pending_)
      Out.Notices_.push_back(std::move(N));
    Pending_.clear();
  }
  if (!Out.Notices_.empty())
    Forward_(Out);
}

} // namespace lagoonpoint
