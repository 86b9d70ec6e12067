#include "lagoonpoint/src/Node/TeamLimits.h"

#include "lagoonpoint/Log"

#include <chrono>

namespace lagoonpoint {

namespace {

/// The replication leader lends all of them.
constexpr QuantityKind Kinds[] = {QuantityKind::TeamRate,
                                  QuantityKind::RegionCapacity,
                                  QuantityKind::LinkBytes};
/// How long a waiter outlasts its deadline before it counts as dry.
constexpr Duration WaitSlack = Duration::millis(100);

} // namespace

TeamLimits::TeamLimits(const VmId &Self, Incarnation I, const Clock &C,
                       Transport &T)
    : Clock_(C), Transport_(T) {
  for (unsigned N = 0; N < Slots_.size(); ++N)
    Slots_[N].Shard_ =
        std::make_unique<LeaseShard>(N, Self, I, true, Clock_.now());
}

std::vector<Envelope> TeamLimits::collect(Slot &S) {
  bool Any = false;
  for (const TakeResult &Result : S.Shard_->takeCompleted()) {
    if (!S.Waiting_.count(Result.Ticket_))
      continue;
    S.Results_[Result.Ticket_] = Result;
    Any = true;
  }
  if (Any)
    S.Ended_.notify_all();
  return S.Shard_->takeOutbox();
}

void TeamLimits::send(std::vector<Envelope> Messages) {
  for (Envelope &Message : Messages)
    Transport_.send(std::move(Message));
}

TakeResult TeamLimits::awaitTicket(Slot &S, std::unique_lock<std::mutex> &Guard,
                                   std::uint64_t Ticket, Time Deadline) {
  Duration Left = Deadline - Clock_.now() + WaitSlack;
  S.Ended_.wait_for(Guard, std::chrono::milliseconds(Left.count()),
                    [&] { return S.Results_.count(Ticket) > 0; });
  TakeResult Result;
  auto It = S.Results_.find(Ticket);
  if (It != S.Results_.end()) {
    Result = It->second;
    S.Results_.erase(It);
  }
  S.Waiting_.erase(Ticket);
  return Result;
}

void TeamLimits::take(const QuantityId &Id, double Cost, Time Deadline) {
  Slot &S = Slots_[LeaseShard::shardOf(Id)];
  std::unique_lock Guard(S.Lock_);
  TakeResult Result = S.Shard_->take(Id, Cost, Deadline, Clock_.now());
  if (Result.Status_ == TakeStatus::Taken)
    return;
  if (Result.Status_ == TakeStatus::Waiting) {
    std::uint64_t Ticket = Result.Ticket_;
    S.Waiting_.insert(Ticket);
    S.Shard_->tick(Clock_.now());
    std::vector<Envelope> Out = collect(S);
    Guard.unlock();
    send(std::move(Out));
    Guard.lock();
    Result = awaitTicket(S, Guard, Ticket, Deadline);
  }
  if (Result.Status_ != TakeStatus::Taken)
    throw Refusal(RefusalReason::OverRate, Ran::No, "limits.take",
                  "over the rate and burst of " + Id.Name_, Result.RetryAfter_);
}

void TeamLimits::setInForce(const InForce &F) {
  for (Slot &S : Slots_) {
    std::lock_guard Guard(S.Lock_);
    S.Shard_->setDeclarations(F.Declared_, F.Revision_, Clock_.now());
  }
}

void TeamLimits::settle(Revision R) {
  for (Slot &S : Slots_) {
    std::lock_guard Guard(S.Lock_);
    S.Shard_->setSettled(R, Clock_.now());
  }
}

void TeamLimits::setLeader(const LeaderView &View) {
  Time Now = Clock_.now();
  for (Slot &S : Slots_) {
    std::lock_guard Guard(S.Lock_);
    for (QuantityKind Kind : Kinds) {
      if (View.Leading_)
        S.Shard_->lead(Kind, View.Term_, View.LeadsUntil_, Now);
      else if (!View.Leader_.empty())
        S.Shard_->setAuthority(Kind, View.Leader_, View.Term_, Now);
    }
  }
}

void TeamLimits::receive(const Envelope &Message) {
  Slot &S = Slots_[LeaseShard::shardOf(Message)];
  std::vector<Envelope> Out;
  {
    std::lock_guard Guard(S.Lock_);
    S.Shard_->receive(Message, Clock_.now());
    Out = collect(S);
  }
  send(std::move(Out));
}

void TeamLimits::tick() {
  for (Slot &S : Slots_) {
    std::vector<Envelope> Out;
    {
      std::lock_guard Guard(S.Lock_);
      S.Shard_->tick(Clock_.now());
      Out = collect(S);
    }
    send(std::move(Out));
  }
}

void TeamLimits::giveBackAll() {
  for (Slot &S : Slots_) {
    std::vector<Envelope> Out;
    {
      std::lock_guard Guard(S.Lock_);
      S.Shard_->releaseAll(Clock_.now());
      Out = collect(S);
    }
    send(std::move(Out));
  }
}

} // namespace lagoonpoint
