#include "lagoonpoint/src/Gateway/SlotHolder.h"

#include "lagoonpoint/Log"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Grants of a pool that was given up are ended after this time: the VM that
/// took it over counts them in the stated load by then.
constexpr Duration GivenUpRetention = Duration::seconds(2);
/// An entry VM that asked so lately is live, although the core VM's list of
/// entry VMs may lack it yet.
constexpr Duration RequesterLiveness = LivenessTimeout;

const char *resultLabel(SlotResult R) {
  switch (R) {
  case SlotResult::Granted:
    return "granted";
  case SlotResult::Queued:
    return "queued";
  case SlotResult::Refused:
    return "refused";
  case SlotResult::NotHolder:
    break;
  }
  return "not_holder";
}

void logPool(const PoolKey &Key, const SlotPool &P, const char *What) {
  unsigned Slots = 0;
  for (const PoolMember &M : P.Members_)
    Slots += M.Upstream_.Slots_;
  log({.Step_ = "pool.hold",
       .Message_ = std::string(What) + " pool " + toString(Key) + ", " +
                   std::to_string(P.Members_.size()) + " upstreams, " +
                   std::to_string(Slots) + " slots"});
}

SlotAnswer notHolder(const VmId &To, std::uint64_t Number) {
  SlotAnswer A;
  A.To_ = To;
  A.Number_ = Number;
  A.Result_ = SlotResult::NotHolder;
  return A;
}

} // namespace

SlotHolder::Shard *SlotHolder::findShard(const ServiceId &Service) {
  std::lock_guard Guard(Lock_);
  auto Found = Shards_.find(Service);
  return Found == Shards_.end() ? nullptr : Found->second.get();
}

SlotHolder::Shard &SlotHolder::findOrCreateShard(const ServiceId &Service) {
  std::lock_guard Guard(Lock_);
  auto &Slot = Shards_[Service];
  if (!Slot)
    Slot = std::make_unique<Shard>();
  return *Slot;
}

std::vector<std::pair<ServiceId, SlotHolder::Shard *>> SlotHolder::shards() {
  std::vector<std::pair<ServiceId, Shard *>> Out;
  std::lock_guard Guard(Lock_);
  for (const auto &[Service, S] : Shards_)
    Out.push_back({Service, S.get()});
  return Out;
}

void SlotHolder::send(const Replies &R) {
  for (const auto &[To, M] : R)
    Send_(To, M);
}

/// Called with the shard's lock held.
void SlotHolder::append(Replies &Out, const PoolKey &Key, const SlotPool &P,
                        const std::vector<SlotAnswer> &Answers, Time Now) {
  for (const SlotAnswer &A : Answers) {
    SlotReply M = makeReply(A);
    if (A.Result_ == SlotResult::Refused) {
      SlotPoolUse Use = useOf(P, Now);
      M.Waiting_ = static_cast<unsigned>(Use.Waiting_);
      M.Reserved_ = static_cast<unsigned>(Use.Reserved_);
    }
    Metrics_.add(Metric::SlotReplies,
                 {Key.Service_.str(), resultLabel(A.Result_)});
    Out.push_back({A.To_, std::move(M)});
  }
}

/// Waiting calls are told to go elsewhere; the grants stay for a while. Called
/// with the shard's lock held.
void SlotHolder::giveUp(const PoolKey &Key, HeldPool &P, Replies &Out,
                        Time Now) {
  P.IsHeld_ = false;
  P.GivenUpAt_ = Now;
  std::vector<SlotAnswer> Answers;
  for (const SlotDemand &D : P.Pool_.Queue_.Waiting_)
    Answers.push_back(notHolder(D.From_, D.Number_));
  P.Pool_.Queue_ = SlotQueue();
  append(Out, Key, P.Pool_, Answers, Now);
  logPool(Key, P.Pool_, "gave up");
}

void SlotHolder::update(const ServiceId &Service, const PoolMap &Map,
                        double WarmupRate) {
  bool HoldsAny =
      std::any_of(Map.Pools_.begin(), Map.Pools_.end(), [&](const auto &Entry) {
        return Entry.second.Holder_ == Self_;
      });
  if (!HoldsAny && !findShard(Service))
    return;
  Shard &S = findOrCreateShard(Service);
  Time Now = Clock_.now();
  Replies Out;
  {
    std::lock_guard Guard(S.Lock_);
    for (const auto &[Key, P] : Map.Pools_) {
      if (P.Holder_ != Self_)
        continue;
      auto [Found, IsNew] = S.Pools_.try_emplace(Key);
      HeldPool &Held = Found->second;
      IsNew = IsNew || !Held.IsHeld_;
      Held.IsHeld_ = true;
      append(Out, Key, Held.Pool_,
             setMembers(Held.Pool_, P.Members_, WarmupRate, Now), Now);
      if (IsNew)
        logPool(Key, Held.Pool_, "holds");
    }
    for (auto &[Key, Held] : S.Pools_) {
      auto Found = Map.Pools_.find(Key);
      bool IsOwn = Found != Map.Pools_.end() && Found->second.Holder_ == Self_;
      if (Held.IsHeld_ && !IsOwn)
        giveUp(Key, Held, Out, Now);
    }
  }
  send(Out);
}

void SlotHolder::setLiveVms(std::vector<VmId> Vms) {
  std::lock_guard Guard(Lock_);
  LiveVms_ = std::move(Vms);
}

/// Called with the shard's lock held.
std::set<VmId> SlotHolder::liveVms(Shard &S, Time Now) {
  std::set<VmId> Out{Self_};
  {
    std::lock_guard Guard(Lock_);
    Out.insert(LiveVms_.begin(), LiveVms_.end());
  }
  std::erase_if(S.LastRequestAt_, [&](const auto &Entry) {
    return Now - Entry.second > RequesterLiveness;
  });
  for (const auto &[Vm, At] : S.LastRequestAt_)
    Out.insert(Vm);
  return Out;
}

void SlotHolder::onRequest(const VmId &From, const SlotRequest &M) {
  Time Now = Clock_.now();
  PoolKey Key = poolOf(M);
  Replies Out;
  bool IsHeld = false;
  if (Shard *S = findShard(M.Service_)) {
    std::lock_guard Guard(S->Lock_);
    auto Found = S->Pools_.find(Key);
    IsHeld = Found != S->Pools_.end() && Found->second.IsHeld_;
    if (IsHeld) {
      S->LastRequestAt_[From] = Now;
      SlotPool &P = Found->second.Pool_;
      append(Out, Key, P, requestSlot(P, demandOf(From, M, Now), Now), Now);
      if (!P.Queue_.Waiting_.empty())
        S->HasWaiting_ = true;
    }
  }
  if (!IsHeld)
    Out.push_back({From, makeReply(notHolder(From, M.Number_))});
  send(Out);
}

void SlotHolder::onRelease(const VmId &From, const SlotRelease &M) {
  if (M.Number_ == NoRequest)
    return Send_(From, makeReply(notHolder(From, NoRequest)));
  std::optional<RunReport> Report = reportOf(M);
  Shard *S = findShard(M.Service_);
  if (!S || !Report)
    return;
  Time Now = Clock_.now();
  Replies Out;
  {
    std::lock_guard Guard(S->Lock_);
    auto Found = S->Pools_.find(poolOf(M));
    if (Found == S->Pools_.end())
      return;
    SlotPool &P = Found->second.Pool_;
    append(Out, Found->first, P, releaseSlot(P, From, M.Number_, *Report, Now),
           Now);
  }
  send(Out);
}

/// Called with the shard's lock held.
void SlotHolder::expireShard(Shard &S, Replies &Out, Time Now) {
  std::set<VmId> Live = liveVms(S, Now);
  bool HasWaiting = false;
  for (auto It = S.Pools_.begin(); It != S.Pools_.end();) {
    HeldPool &Held = It->second;
    append(Out, It->first, Held.Pool_, expireSlots(Held.Pool_, Live, Now), Now);
    HasWaiting = HasWaiting || !Held.Pool_.Queue_.Waiting_.empty();
    bool IsOver = !Held.IsHeld_ && (Held.Pool_.Grants_.empty() ||
                                    Now - Held.GivenUpAt_ >= GivenUpRetention);
    It = IsOver ? S.Pools_.erase(It) : std::next(It);
  }
  S.HasWaiting_ = HasWaiting;
}

void SlotHolder::expire(bool All) {
  Time Now = Clock_.now();
  for (const auto &[Service, S] : shards()) {
    if (!All && !S->HasWaiting_)
      continue;
    Replies Out;
    {
      std::lock_guard Guard(S->Lock_);
      expireShard(*S, Out, Now);
    }
    send(Out);
  }
}

void SlotHolder::exportMetrics() {
  Time Now = Clock_.now();
  for (const auto &[Service, S] : shards()) {
    SlotPoolUse Sum;
    double Warm = 0;
    double Cold = 0;
    double Pools = 0;
    {
      std::lock_guard Guard(S->Lock_);
      for (const auto &[Key, Held] : S->Pools_) {
        if (!Held.IsHeld_)
          continue;
        SlotPoolUse Use = useOf(Held.Pool_, Now);
        Sum.Slots_ += Use.Slots_;
        Sum.InUse_ += Use.InUse_;
        Sum.Waiting_ += Use.Waiting_;
        Sum.Reserved_ += Use.Reserved_;
        for (const auto &[Route, Runs] : Held.Pool_.Runs_.Routes_) {
          Warm = std::max(Warm, Runs.ByDistance_.front().Seconds_);
          Cold = std::max(Cold, Runs.ByDistance_.back().Seconds_);
        }
        ++Pools;
      }
    }
    const std::string &Name = Service.str();
    Metrics_.set(Metric::Pools, {Name}, Pools);
    Metrics_.set(Metric::PoolSlots, {Name, "all"}, Sum.Slots_);
    Metrics_.set(Metric::PoolSlots, {Name, "in_use"}, Sum.InUse_);
    Metrics_.set(Metric::PoolSlots, {Name, "reserved"},
                 static_cast<double>(Sum.Reserved_));
    Metrics_.set(Metric::PoolQueue, {Name}, static_cast<double>(Sum.Waiting_));
    Metrics_.set(Metric::RunEstimateSeconds, {Name, "warm"}, Warm);
    Metrics_.set(Metric::RunEstimateSeconds, {Name, "cold"}, Cold);
  }
}

} // namespace lagoonpoint
