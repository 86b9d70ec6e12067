#include "lagoonpoint/src/Http/util/CallSlots.h"

#include <algorithm>

namespace lagoonpoint::internal {

namespace {

// Part of the threads that only look-ups may use.
constexpr unsigned LookupShare = 8;
constexpr Duration RetryWhenFull = Duration::millis(100);

Refusal full(const char *Message) {
  return Refusal(RefusalReason::QueueFull, Ran::No, "http.slots", Message,
                 RetryWhenFull);
}

} // namespace

CallSlots::CallSlots(unsigned Threads)
    : Total_(std::max(1U, Threads - Threads / LookupShare)) {}

CallSlots::Held::Held(CallSlots &Slots) : Slots_(Slots) {
  std::lock_guard Lock(Slots_.Lock_);
  if (Slots_.InUse_ >= Slots_.Total_)
    throw full("this VM passes on as many calls as it can");
  ++Slots_.InUse_;
}

CallSlots::Held::~Held() {
  std::lock_guard Lock(Slots_.Lock_);
  --Slots_.InUse_;
  if (!Assigned_)
    return;
  auto It = Slots_.Teams_.find(Team_);
  if (--It->second == 0)
    Slots_.Teams_.erase(It);
}

void CallSlots::Held::assign(const TeamId &Team) {
  std::lock_guard Lock(Slots_.Lock_);
  auto Own = Slots_.Teams_.find(Team);
  std::size_t Count = Own == Slots_.Teams_.end() ? 0 : Own->second;
  bool Scarce = Slots_.InUse_ * 4 > Slots_.Total_ * 3;
  if (Scarce && Count * 2 >= Slots_.Total_)
    throw full("the team holds half of this VM's call slots");
  ++Slots_.Teams_[Team];
  Team_ = Team;
  Assigned_ = true;
}

} // namespace lagoonpoint::internal
