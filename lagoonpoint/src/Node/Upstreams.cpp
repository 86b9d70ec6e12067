#include "lagoonpoint/src/Node/Upstreams.h"

#include <chrono>

namespace lagoonpoint {

void Upstreams::announce(const Announcement &A, Duration Lease) {
  std::lock_guard Guard(Lock_);
  Row &R = Rows_[A.Upstream_];
  R.Announced_ = A;
  R.Until_ = Clock_.now() + Lease;
  Released_.notify_all();
}

Upstreams::Row *Upstreams::choose(const ServiceId &Service,
                                  const std::set<UpstreamId> &Tried,
                                  bool &AnyLeft) {
  Row *Best = nullptr;
  Time Now = Clock_.now();
  for (auto &[Id, R] : Rows_) {
    const Announcement &A = R.Announced_;
    if (A.Service_ != Service || A.Leaving_ || R.Until_ < Now ||
        Tried.count(Id))
      continue;
    AnyLeft = true;
    if (R.InFlight_ < A.Slots_ && (!Best || R.InFlight_ < Best->InFlight_))
      Best = &R;
  }
  return Best;
}

CallTarget Upstreams::acquire(const ServiceId &Service,
                              const std::set<UpstreamId> &Tried,
                              Time Deadline) {
  std::unique_lock Guard(Lock_);
  while (true) {
    bool AnyLeft = false;
    if (Row *R = choose(Service, Tried, AnyLeft)) {
      ++R->InFlight_;
      return {R->Announced_.Upstream_, {}, R->Announced_.Address_};
    }
    if (!AnyLeft)
      throw Refusal(RefusalReason::NoUpstream, Ran::No, "upstream.choose",
                    "no healthy upstream of " + Service.str());
    Duration Left = Deadline - Clock_.now();
    if (Left <= Duration())
      throw Refusal(RefusalReason::DeadlinePassed, Ran::No, "upstream.choose",
                    "no free slot before the deadline");
    Released_.wait_for(Guard, std::chrono::milliseconds(Left.count()));
  }
}

void Upstreams::release(const UpstreamId &Id) {
  std::lock_guard Guard(Lock_);
  auto It = Rows_.find(Id);
  if (It == Rows_.end())
    return;
  LAGOONPOINT_ASSERT(It->second.InFlight_ > 0, "upstream.release");
  --It->second.InFlight_;
  Released_.notify_one();
}

std::vector<Announcement> Upstreams::list() {
  std::lock_guard Guard(Lock_);
  std::vector<Announcement> Out;
  for (const auto &[Id, R] : Rows_)
    if (R.Until_ >= Clock_.now())
      Out.push_back(R.Announced_);
  return Out;
}

} // namespace lagoonpoint
