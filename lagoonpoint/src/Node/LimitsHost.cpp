#include "lagoonpoint/src/Node/LimitsHost.h"

#include "lagoonpoint/Log"

#include <chrono>

namespace lagoonpoint {

namespace {

/// Quantities for which the replication leader is the lease authority.
constexpr QuantityKind LeasedKinds[] = {QuantityKind::TeamRate,
                                        QuantityKind::RegionCapacity,
                                        QuantityKind::LinkBytes};
/// How long after its deadline a call still waits for the result of the shard;
/// after that it is refused.
constexpr Duration WaitMargin = Duration::millis(100);

} // namespace

LimitsHost::LimitsHost(const VmId &Self, Incarnation I, const Clock &C,
                       Transport &T)
    : Clock_(C), Transport_(T) {
  for (unsigned N = 0; N < Shards_.size(); ++N)
    Shards_[N].Shard_ =
        std::make_unique<LeaseShard>(N, Self, I, true, Clock_.now());
}

std::vector<Envelope> LimitsHost::collectResults(LockedShard &S) {
  bool HasResults = false;
  for (const TakeResult &Result : S.Shard_->takeCompleted()) {
    if (!S.Waiting_.count(Result.Ticket_))
      continue;
    S.Results_[Result.Ticket_] = Result;
    HasResults = true;
  }
  if (HasResults)
    S.Completed_.notify_all();
  return S.Shard_->takeOutbox();
}

void LimitsHost::send(std::vector<Envelope> Messages) {
  for (Envelope &Message : Messages)
    Transport_.send(std::move(Message));
}

TakeResult LimitsHost::awaitTicket(LockedShard &S,
                                   std::unique_lock<std::mutex> &Guard,
                                   std::uint64_t Ticket, Time Deadline) {
  Duration Remaining = Deadline - Clock_.now() + WaitMargin;
  S.Completed_.wait_for(Guard, std::chrono::milliseconds(Remaining.count()),
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

void LimitsHost::take(const QuantityId &Id, double Cost, Time Deadline) {
  LockedShard &S = Shards_[LeaseShard::shardOf(Id)];
  std::unique_lock Guard(S.Lock_);
  TakeResult Result = S.Shard_->take(Id, Cost, Deadline, Clock_.now());
  if (Result.Status_ == TakeStatus::Taken)
    return;
  if (Result.Status_ == TakeStatus::Waiting) {
    std::uint64_t Ticket = Result.Ticket_;
    S.Waiting_.insert(Ticket);
    S.Shard_->tick(Clock_.now());
    std::vector<Envelope> Out = collectResults(S);
    Guard.unlock();
    send(std::move(Out));
    Guard.lock();
    Result = awaitTicket(S, Guard, Ticket, Deadline);
  }
  if (Result.Status_ != TakeStatus::Taken)
    throw Refusal(RefusalReason::OverRate, Ran::No, "limits.take",
                  "over the rate and burst of " + Id.Name_, Result.RetryAfter_);
}

void LimitsHost::setDeclarations(const ActiveDeclarations &F) {
  for (LockedShard &S : Shards_) {
    std::lock_guard Guard(S.Lock_);
    S.Shard_->setDeclarations(F.Declarations_, F.Revision_, Clock_.now());
  }
}

void LimitsHost::setSettled(Revision R) {
  for (LockedShard &S : Shards_) {
    std::lock_guard Guard(S.Lock_);
    S.Shard_->setSettled(R, Clock_.now());
  }
}

void LimitsHost::setLeader(const LeaderView &View) {
  Time Now = Clock_.now();
  for (LockedShard &S : Shards_) {
    std::lock_guard Guard(S.Lock_);
    for (QuantityKind Kind : LeasedKinds) {
      if (View.IsLeader_)
        S.Shard_->lead(Kind, View.Term_, View.LeadershipUntil_, Now);
      else if (!View.Leader_.empty())
        S.Shard_->setAuthority(Kind, View.Leader_, View.Term_, Now);
    }
  }
}

void LimitsHost::receive(const Envelope &Message) {
  LockedShard &S = Shards_[LeaseShard::shardOf(Message)];
  std::vector<Envelope> Out;
  {
    std::lock_guard Guard(S.Lock_);
    S.Shard_->receive(Message, Clock_.now());
    Out = collectResults(S);
  }
  send(std::move(Out));
}

void LimitsHost::tick() {
  for (LockedShard &S : Shards_) {
    std::vector<Envelope> Out;
    {
      std::lock_guard Guard(S.Lock_);
      S.Shard_->tick(Clock_.now());
      Out = collectResults(S);
    }
    send(std::move(Out));
  }
}

void LimitsHost::releaseAll() {
  for (LockedShard &S : Shards_) {
    std::vector<Envelope> Out;
    {
      std::lock_guard Guard(S.Lock_);
      S.Shard_->releaseAll(Clock_.now());
      Out = collectResults(S);
    }
    send(std::move(Out));
  }
}

} // namespace lagoonpoint
