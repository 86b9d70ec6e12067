#include "lagoonpoint/src/Node/Dispatcher.h"

#include <algorithm>
#include <chrono>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.dispatch";
/// Waiters look again this often, as upstreams come back without an event.
constexpr Duration RecheckEvery = Duration::millis(100);

Placement placementOf(const DispatchWish &Wish) {
  Placement P;
  P.Excluded_ = Wish.Tried_;
  P.MayProbe_ = Wish.MayProbe_;
  return P;
}

bool contains(const std::vector<UpstreamAnnouncement> &News,
              const UpstreamId &Id) {
  return std::any_of(
      News.begin(), News.end(),
      [&](const UpstreamAnnouncement &N) { return N.Id_ == Id; });
}

/// News that an upstream which is no longer announced leaves.
UpstreamAnnouncement leavingNews(const Upstream &U) {
  UpstreamAnnouncement News;
  News.Id_ = U.Id_;
  News.Zone_ = U.Zone_;
  News.Address_ = U.Address_;
  News.Slots_ = U.Slots_;
  News.Connections_ = U.Connections_;
  News.Leaving_ = true;
  return News;
}

} // namespace

Dispatcher::Shard &Dispatcher::shardOf(const ServiceId &Service) {
  std::lock_guard Guard(MapLock_);
  std::unique_ptr<Shard> &S = Shards_[Service];
  if (!S)
    S = std::make_unique<Shard>();
  return *S;
}

void Dispatcher::learn(const ServiceId &Service,
                       const std::vector<UpstreamAnnouncement> &News,
                       const std::set<VmId> &Vms, const VmId &Self,
                       Duration SlowStart) {
  Shard &S = shardOf(Service);
  std::lock_guard Guard(S.Lock_);
  Time Now = Clock_.now();
  S.Group_.Options_.SlowStart_ = SlowStart;
  std::vector<UpstreamAnnouncement> Gone;
  for (const Upstream &U : S.Group_.Upstreams_)
    if (!U.Leaving_ && !contains(News, U.Id_))
      Gone.push_back(leavingNews(U));
  for (const UpstreamAnnouncement &N : Gone)
    lagoonpoint::applyAnnouncement(S.Group_, N, 0, Now);
  for (const UpstreamAnnouncement &N : News)
    lagoonpoint::applyAnnouncement(
        S.Group_, N, divideSlots(N.Id_, N.Slots_, Vms, Self), Now);
  forgetExpired(S.Group_, Now);
  serveQueue(S);
}

std::optional<CallTarget> Dispatcher::placeNow(Shard &S,
                                               const DispatchWish &Wish) {
  Upstream *U = place(S.Group_, placementOf(Wish), Clock_.now(), S.Random_);
  if (!U)
    return std::nullopt;
  return CallTarget{U->Id_, {}, U->Address_};
}

/// Hands free slots to waiting calls in the order of the fair queue.
void Dispatcher::serveQueue(Shard &S) {
  std::vector<std::uint64_t> Expired;
  while (hasFreeSlot(S.Group_, Clock_.now())) {
    std::optional<QueuedCall> Call = pop(S.Queue_, Clock_.now(), Expired);
    if (!Call)
      break;
    const DispatchWish &Wish = S.Waiting_.at(Call->Ticket_);
    std::optional<CallTarget> Target = placeNow(S, Wish);
    if (!Target) {
      push(S.Queue_, *Call, Wish.Weight_, Clock_.now());
      break;
    }
    S.Grants_[Call->Ticket_] = *Target;
  }
  S.Placed_.notify_all();
}

std::optional<CallTarget> Dispatcher::tryAcquire(const DispatchWish &Wish) {
  Shard &S = shardOf(Wish.Service_);
  std::lock_guard Guard(S.Lock_);
  if (!S.Waiting_.empty())
    return std::nullopt;
  return placeNow(S, Wish);
}

CallTarget Dispatcher::acquire(const DispatchWish &Wish) {
  Shard &S = shardOf(Wish.Service_);
  std::unique_lock Guard(S.Lock_);
  if (S.Waiting_.empty())
    if (auto Target = placeNow(S, Wish))
      return *Target;
  if (assignedSlots(S.Group_, Clock_.now()) <= 0)
    throw Refusal(RefusalReason::NoUpstream, Ran::No, Step,
                  "no healthy upstream of " + Wish.Service_.str());
  std::uint64_t Ticket = ++S.NextTicket_;
  QueuedCall Queued{Ticket, Wish.Team_, 1, Wish.Deadline_};
  if (!push(S.Queue_, Queued, Wish.Weight_, Clock_.now()))
    throw Refusal(RefusalReason::QueueFull, Ran::No, Step,
                  "too many calls of the team wait", Duration::seconds(1));
  S.Waiting_[Ticket] = Wish;
  return await(S, Guard, Ticket, Wish);
}

CallTarget Dispatcher::await(Shard &S, std::unique_lock<std::mutex> &Guard,
                             std::uint64_t Ticket, const DispatchWish &Wish) {
  auto Granted = [&] { return S.Grants_.count(Ticket) > 0; };
  while (!Granted() && Clock_.now() < Wish.Deadline_) {
    Duration Left = std::min(Wish.Deadline_ - Clock_.now(), RecheckEvery);
    S.Placed_.wait_for(Guard, std::chrono::milliseconds(Left.count()), Granted);
    if (!Granted())
      serveQueue(S);
  }
  S.Waiting_.erase(Ticket);
  auto It = S.Grants_.find(Ticket);
  if (It == S.Grants_.end()) {
    cancel(S.Queue_, Wish.Team_, Ticket);
    throw Refusal(RefusalReason::DeadlinePassed, Ran::No, Step,
                  "no free slot before the deadline");
  }
  CallTarget Target = It->second;
  S.Grants_.erase(It);
  return Target;
}

void Dispatcher::release(const ServiceId &Service, const UpstreamId &Id,
                         UpstreamOutcome Outcome, Duration Spent) {
  Shard &S = shardOf(Service);
  std::lock_guard Guard(S.Lock_);
  finish(S.Group_, Id, Outcome, Spent, Clock_.now());
  serveQueue(S);
}

double Dispatcher::slots(const ServiceId &Service) {
  Shard &S = shardOf(Service);
  std::lock_guard Guard(S.Lock_);
  return assignedSlots(S.Group_, Clock_.now());
}

std::vector<DispatchRow> Dispatcher::rows() {
  std::vector<ServiceId> Services;
  {
    std::lock_guard Guard(MapLock_);
    for (const auto &[Service, S] : Shards_)
      Services.push_back(Service);
  }
  std::vector<DispatchRow> Rows;
  for (const ServiceId &Service : Services) {
    Shard &S = shardOf(Service);
    std::lock_guard Guard(S.Lock_);
    for (const Upstream &U : S.Group_.Upstreams_)
      Rows.push_back({Service, U});
  }
  return Rows;
}

} // namespace lagoonpoint
