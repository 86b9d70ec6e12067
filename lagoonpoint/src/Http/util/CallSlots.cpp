#include "lagoonpoint/src/Http/util/CallSlots.h"

#include <algorithm>

namespace lagoonpoint::internal {

namespace {

// One thread in this many is reserved for lookups.
constexpr unsigned LookupThreadDivisor = 8;
constexpr Duration RetryAfterFull = Duration::millis(100);

Refusal queueFull(const char *Message) {
  return Refusal(RefusalReason::QueueFull, Ran::No, "http.slots", Message,
                 RetryAfterFull);
}

} // namespace

CallSlots::CallSlots(unsigned Threads)
    : Total_(std::max(1U, Threads - Threads / LookupThreadDivisor)) {}

CallSlots::Slot::Slot(CallSlots &Slots) : Slots_(Slots) {
  std::lock_guard Lock(Slots_.Lock_);
  if (Slots_.InUse_ >= Slots_.Total_)
    throw queueFull("all of this VM's call slots are in use");
  ++Slots_.InUse_;
}

CallSlots::Slot::~Slot() {
  std::lock_guard Lock(Slots_.Lock_);
  --Slots_.InUse_;
  if (!Assigned_)
    return;
  auto It = Slots_.Teams_.find(Team_);
  if (--It->second == 0)
    Slots_.Teams_.erase(It);
}

void CallSlots::Slot::assign(const TeamId &Team) {
  std::lock_guard Lock(Slots_.Lock_);
  auto It = Slots_.Teams_.find(Team);
  std::size_t Count = It == Slots_.Teams_.end() ? 0 : It->second;
  bool Scarce = Slots_.InUse_ * 4 > Slots_.Total_ * 3;
  if (Scarce && Count * 2 >= Slots_.Total_)
    throw queueFull("the team holds half of this VM's call slots");
  ++Slots_.Teams_[Team];
  Team_ = Team;
  Assigned_ = true;
}

} // namespace lagoonpoint::internal
