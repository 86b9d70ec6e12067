#include "lagoonpoint/src/Node/Dispatcher.h"

#include <algorithm>
#include <chrono>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.dispatch";
/// Waiting calls retry at this interval, because an upstream can become
/// available again without any event.
constexpr Duration RecheckInterval = Duration::millis(100);

Placement placementOf(const DispatchRequest &Request) {
  Placement P;
  P.Excluded_ = Request.Tried_;
  P.MayProbe_ = Request.MayProbe_;
  return P;
}

bool contains(const std::vector<UpstreamAnnouncement> &Announcements,
              const UpstreamId &Id) {
  return std::any_of(
      Announcements.begin(), Announcements.end(),
      [&](const UpstreamAnnouncement &A) { return A.Id_ == Id; });
}

/// \returns an announcement that marks an upstream as leaving, for upstreams
/// that are no longer announced.
UpstreamAnnouncement leavingAnnouncement(const Upstream &U) {
  UpstreamAnnouncement Announcement;
  Announcement.Id_ = U.Id_;
  Announcement.Zone_ = U.Zone_;
  Announcement.Address_ = U.Address_;
  Announcement.Slots_ = U.Slots_;
  Announcement.Connections_ = U.Connections_;
  Announcement.Leaving_ = true;
  return Announcement;
}

} // namespace

Dispatcher::Shard &Dispatcher::findOrCreateShard(const ServiceId &Service) {
  std::lock_guard Guard(MapLock_);
  std::unique_ptr<Shard> &S = Shards_[Service];
  if (!S)
    S = std::make_unique<Shard>();
  return *S;
}

void Dispatcher::setUpstreams(
    const ServiceId &Service,
    const std::vector<UpstreamAnnouncement> &Announcements,
    const std::set<VmId> &Vms, const VmId &Self, Duration SlowStart) {
  Shard &S = findOrCreateShard(Service);
  std::lock_guard Guard(S.Lock_);
  Time Now = Clock_.now();
  S.Group_.Options_.SlowStart_ = SlowStart;
  std::vector<UpstreamAnnouncement> Removed;
  for (const Upstream &U : S.Group_.Upstreams_)
    if (!U.Leaving_ && !contains(Announcements, U.Id_))
      Removed.push_back(leavingAnnouncement(U));
  for (const UpstreamAnnouncement &A : Removed)
    lagoonpoint::applyAnnouncement(S.Group_, A, 0, Now);
  for (const UpstreamAnnouncement &A : Announcements)
    lagoonpoint::applyAnnouncement(
        S.Group_, A, divideSlots(A.Id_, A.Slots_, Vms, Self), Now);
  forgetExpired(S.Group_, Now);
  grantFreeSlots(S);
}

std::optional<CallTarget> Dispatcher::tryPlace(Shard &S,
                                               const DispatchRequest &Request) {
  Upstream *U = place(S.Group_, placementOf(Request), Clock_.now(), S.Random_);
  if (!U)
    return std::nullopt;
  return CallTarget{U->Id_, {}, U->Address_};
}

/// Grants free slots to waiting calls in the order of the fair queue.
void Dispatcher::grantFreeSlots(Shard &S) {
  std::vector<std::uint64_t> Expired;
  while (hasFreeSlot(S.Group_, Clock_.now())) {
    std::optional<QueuedCall> Call = pop(S.Queue_, Clock_.now(), Expired);
    if (!Call)
      break;
    const DispatchRequest &Request = S.Waiting_.at(Call->Ticket_);
    std::optional<CallTarget> Target = tryPlace(S, Request);
    if (!Target) {
      push(S.Queue_, *Call, Request.Weight_, Clock_.now());
      break;
    }
    S.Grants_[Call->Ticket_] = *Target;
  }
  S.SlotGranted_.notify_all();
}

std::optional<CallTarget>
Dispatcher::tryAcquire(const DispatchRequest &Request) {
  Shard &S = findOrCreateShard(Request.Service_);
  std::lock_guard Guard(S.Lock_);
  if (!S.Waiting_.empty())
    return std::nullopt;
  return tryPlace(S, Request);
}

CallTarget Dispatcher::acquire(const DispatchRequest &Request) {
  Shard &S = findOrCreateShard(Request.Service_);
  std::unique_lock Guard(S.Lock_);
  if (S.Waiting_.empty())
    if (auto Target = tryPlace(S, Request))
      return *Target;
  if (assignedSlots(S.Group_, Clock_.now()) <= 0)
    throw Refusal(RefusalReason::NoUpstream, Ran::No, Step,
                  "no healthy upstream of " + Request.Service_.str());
  std::uint64_t Ticket = ++S.NextTicket_;
  QueuedCall Queued{Ticket, Request.Team_, 1, Request.Deadline_};
  if (!push(S.Queue_, Queued, Request.Weight_, Clock_.now()))
    throw Refusal(RefusalReason::QueueFull, Ran::No, Step,
                  "the team's queue is full", Duration::seconds(1));
  S.Waiting_[Ticket] = Request;
  return await(S, Guard, Ticket, Request);
}

CallTarget Dispatcher::await(Shard &S, std::unique_lock<std::mutex> &Guard,
                             std::uint64_t Ticket,
                             const DispatchRequest &Request) {
  auto Granted = [&] { return S.Grants_.count(Ticket) > 0; };
  while (!Granted() && Clock_.now() < Request.Deadline_) {
    Duration Remaining =
        std::min(Request.Deadline_ - Clock_.now(), RecheckInterval);
    S.SlotGranted_.wait_for(Guard, std::chrono::milliseconds(Remaining.count()),
                            Granted);
    if (!Granted())
      grantFreeSlots(S);
  }
  S.Waiting_.erase(Ticket);
  auto It = S.Grants_.find(Ticket);
  if (It == S.Grants_.end()) {
    cancel(S.Queue_, Request.Team_, Ticket);
    throw Refusal(RefusalReason::DeadlinePassed, Ran::No, Step,
                  "no free slot before the deadline");
  }
  CallTarget Target = It->second;
  S.Grants_.erase(It);
  return Target;
}

void Dispatcher::release(const ServiceId &Service, const UpstreamId &Id,
                         UpstreamOutcome Outcome, Duration ServiceTime) {
  Shard &S = findOrCreateShard(Service);
  std::lock_guard Guard(S.Lock_);
  finish(S.Group_, Id, Outcome, ServiceTime, Clock_.now());
  grantFreeSlots(S);
}

double Dispatcher::slots(const ServiceId &Service) {
  Shard &S = findOrCreateShard(Service);
  std::lock_guard Guard(S.Lock_);
  return assignedSlots(S.Group_, Clock_.now());
}

std::vector<UpstreamRow> Dispatcher::upstreamRows() {
  std::vector<ServiceId> Services;
  {
    std::lock_guard Guard(MapLock_);
    for (const auto &[Service, S] : Shards_)
      Services.push_back(Service);
  }
  std::vector<UpstreamRow> Rows;
  for (const ServiceId &Service : Services) {
    Shard &S = findOrCreateShard(Service);
    std::lock_guard Guard(S.Lock_);
    for (const Upstream &U : S.Group_.Upstreams_)
      Rows.push_back({Service, U});
  }
  return Rows;
}

} // namespace lagoonpoint
