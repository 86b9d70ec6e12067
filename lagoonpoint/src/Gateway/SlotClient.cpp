#include "lagoonpoint/src/Gateway/SlotClient.h"

#include "lagoonpoint/Log"

#include <algorithm>
#include <chrono>

namespace lagoonpoint {

namespace {

/// A holder of the region answers within a few milliseconds. Behind responses
/// on a slow link, messages wait for 100 ms each way.
constexpr Duration ReplyTimeout = Duration::millis(350);
/// A holder that did not answer is not asked for this long.
constexpr Duration SuspicionPeriod = Duration::seconds(1);
/// The waits check the clock at least this often.
constexpr Duration RecheckInterval = Duration::millis(50);

bool isFinal(const std::optional<SlotAnswer> &A) {
  return A && A->Result_ != SlotResult::Queued;
}

} // namespace

std::shared_ptr<const PoolMap>
SlotClient::update(const ServiceId &Id, PlacedService In,
                   const std::vector<VmId> &EntryVms, Duration Elapsed) {
  FlowState Flows;
  {
    std::lock_guard Guard(Lock_);
    Service &S = Services_[Id];
    if (!S.Map_ && !In.Shares_.empty())
      S.Flows_.Flows_[Settings_.Region_] = In.Shares_;
    Flows = S.Flows_;
  }
  std::map<RegionId, double> Slots;
  for (const PlacedUpstream &U : In.Upstreams_)
    if (U.Upstream_.Usable_)
      Slots[U.Region_] += U.Upstream_.Slots_;
  stepFlows(Flows, Slots, In.Rates_, Settings_.MaxRegionShift_, Elapsed);
  PoolInputs Inputs;
  Inputs.Service_ = Id;
  Inputs.Consumer_ = Settings_.Region_;
  Inputs.Upstreams_ = std::move(In.Upstreams_);
  Inputs.Flows_ = Flows.Flows_;
  Inputs.Demand_ = Flows.Demand_;
  Inputs.EntryVms_ = EntryVms;
  Inputs.PoolSlots_ = Settings_.PoolSlots_;
  auto Map = std::make_shared<const PoolMap>(makePoolMap(Inputs));
  greetHolders(*Map);
  std::lock_guard Guard(Lock_);
  Service &S = Services_[Id];
  S.OwnShares_ = Flows.Flows_[Settings_.Region_];
  S.Flows_ = std::move(Flows);
  S.Map_ = Map;
  return Map;
}

/// Opens the connections to new holders and back, so that the first calls need
/// not wait for them.
void SlotClient::greetHolders(const PoolMap &Map) {
  std::vector<std::pair<VmId, PoolKey>> New;
  {
    std::lock_guard Guard(Lock_);
    for (const auto &[Key, P] : Map.Pools_)
      if (!P.Holder_.empty() && Greeted_.insert(P.Holder_).second)
        New.push_back({P.Holder_, Key});
  }
  for (const auto &[Holder, Key] : New)
    Send_(Holder, makeRelease(Key, NoRequest, RunReport()));
}

RegionShares SlotClient::shares(const ServiceId &Id) const {
  std::lock_guard Guard(Lock_);
  auto Found = Services_.find(Id);
  return Found == Services_.end() ? RegionShares() : Found->second.OwnShares_;
}

void SlotClient::setEntryVms(const std::vector<VmId> &EntryVms) {
  std::lock_guard Guard(Lock_);
  Time Now = Clock_.now();
  std::erase_if(SuspectedUntil_,
                [&](const auto &Entry) { return Now >= Entry.second; });
  std::erase_if(Greeted_, [&](const VmId &Vm) {
    return std::find(EntryVms.begin(), EntryVms.end(), Vm) == EntryVms.end();
  });
  for (auto &[Number, W] : Waits_)
    if (std::find(EntryVms.begin(), EntryVms.end(), W->Holder_) ==
        EntryVms.end()) {
      W->Abandoned_ = true;
      W->Changed_.notify_all();
    }
}

const Pool *SlotClient::choosePool(const SlotCall &C,
                                   std::shared_ptr<const PoolMap> &Map) const {
  auto Found = Services_.find(C.Service_);
  if (Found == Services_.end() || !Found->second.Map_)
    return nullptr;
  Map = Found->second.Map_;
  const std::string &Object = C.Demand_.Object_;
  for (const RegionId &Region :
       steadyRegionOrder(Settings_.Region_, Found->second.OwnShares_,
                         Object.empty() ? C.Spread_ : Object)) {
    if (!C.Regions_.allows(Region))
      continue;
    if (const Pool *P = findPool(*Map, Region, Object, C.Spread_))
      return P;
  }
  return nullptr;
}

std::set<UpstreamId> SlotClient::poolMembers(const SlotCall &C) const {
  std::lock_guard Guard(Lock_);
  std::shared_ptr<const PoolMap> Map;
  std::set<UpstreamId> Out;
  if (const Pool *P = choosePool(C, Map))
    for (const PoolUpstream &U : P->Members_)
      Out.insert(U.Id_);
  return Out;
}

bool SlotClient::isSuspected(const VmId &Holder, Time Now) {
  auto Found = SuspectedUntil_.find(Holder);
  return Found != SuspectedUntil_.end() && Now < Found->second;
}

/// Called with Lock_ held. Calls that wait at this holder don't wait longer.
void SlotClient::suspect(const VmId &Holder, Time Now) {
  bool WasSuspected = isSuspected(Holder, Now);
  SuspectedUntil_[Holder] = Now + SuspicionPeriod;
  for (auto &[Number, W] : Waits_)
    if (W->Holder_ == Holder) {
      W->Abandoned_ = true;
      W->Changed_.notify_all();
    }
  if (!WasSuspected)
    log({.Level_ = LogLevel::Warning,
         .Step_ = "pool.suspect",
         .Message_ = "no answer to a request for a slot in " +
                     std::to_string(ReplyTimeout.count()) + " ms",
         .Peer_ = Holder.str()});
}

SlotOutcome SlotClient::unavailable(const ServiceId &Service,
                                    const char *Reason) {
  Metrics_.add(Metric::SlotFallbacks, {Service.str(), Reason});
  return {};
}

SlotOutcome SlotClient::outcomeOf(const SlotCall &C, std::uint64_t Number,
                                  const Wait &W) const {
  const SlotAnswer &A = *W.Answer_;
  SlotOutcome Out;
  if (A.Result_ == SlotResult::Granted) {
    Out.Kind_ = SlotOutcome::Kind::Granted;
    Out.Slot_ = {W.Pool_,        W.Holder_,      Number,     A.Upstream_,
                 A.StartedAtMs_, A.ExpectedRun_, A.RunLimit_};
  } else {
    Out.Kind_ = SlotOutcome::Kind::Refused;
    Out.RetryAfter_ = A.RetryAfter_;
    Out.Explanation_ =
        "pool " + toString(W.Pool_) + " of " + W.Holder_.str() +
        " has no slot in time: estimated wait " +
        std::to_string(A.Wait_.count()) + " ms, " + std::to_string(W.Waiting_) +
        " calls waiting, " + std::to_string(W.Reserved_) +
        " retry reservations, time left " +
        std::to_string((C.Demand_.Deadline_ - Clock_.now()).count()) + " ms" +
        (A.Overdue_ ? ", overdue" : "");
  }
  return Out;
}

SlotOutcome SlotClient::request(SlotCall C) {
  Wait W;
  std::uint64_t Number = 0;
  SlotRequest M;
  {
    std::lock_guard Guard(Lock_);
    Time Now = Clock_.now();
    std::shared_ptr<const PoolMap> Map;
    const Pool *P = Stopped_ ? nullptr : choosePool(C, Map);
    if (!P || P->Holder_.empty())
      return unavailable(C.Service_, "no_pool");
    if (isSuspected(P->Holder_, Now))
      return unavailable(C.Service_, "suspected");
    Number = C.Demand_.Number_ = NextNumber_++;
    W.Holder_ = P->Holder_;
    W.Pool_ = P->Key_;
    W.SentAt_ = Now;
    Waits_[Number] = &W;
    M = makeRequest(W.Pool_, C.Demand_, Now);
  }
  Send_(W.Holder_, M);
  const char *Reason = nullptr;
  {
    std::unique_lock Guard(Lock_);
    for (;;) {
      Time Now = Clock_.now();
      if (isFinal(W.Answer_) || W.Abandoned_ || Stopped_)
        break;
      Time Limit = C.Demand_.Deadline_;
      if (!W.Queued_)
        Limit = std::min(Limit, W.SentAt_ + ReplyTimeout);
      if (Now >= Limit)
        break;
      Duration Left = std::min(Limit - Now, RecheckInterval);
      W.Changed_.wait_for(Guard, std::chrono::milliseconds(Left.count()));
    }
    Waits_.erase(Number);
    Time Now = Clock_.now();
    if (!isFinal(W.Answer_)) {
      Reason = "abandoned";
      if (!W.Queued_ && Now >= W.SentAt_ + ReplyTimeout) {
        Reason = "no_reply";
        suspect(W.Holder_, Now);
      }
    } else if (W.Answer_->Result_ == SlotResult::NotHolder) {
      Reason = "not_holder";
    } else if (W.Answer_->Result_ == SlotResult::Granted) {
      Granted_.insert(Number);
    }
  }
  if (!isFinal(W.Answer_)) {
    RunReport Unused;
    Unused.Result_ = RunResult::Unused;
    Send_(W.Holder_, makeRelease(W.Pool_, Number, Unused));
  }
  Metrics_.observe(Metric::SlotWaitSeconds, {C.Service_.str()},
                   (Clock_.now() - W.SentAt_).inSeconds());
  if (Reason)
    return unavailable(C.Service_, Reason);
  return outcomeOf(C, Number, W);
}

void SlotClient::release(const GrantedSlot &Slot, const RunReport &R) {
  {
    std::lock_guard Guard(Lock_);
    if (Granted_.erase(Slot.Number_) == 0)
      return;
  }
  Send_(Slot.Holder_, makeRelease(Slot.Pool_, Slot.Number_, R));
}

void SlotClient::onReply(const VmId &From, const SlotReply &M) {
  std::optional<SlotAnswer> A = answerOf(M);
  if (!A)
    return;
  std::lock_guard Guard(Lock_);
  auto Found = Waits_.find(M.Number_);
  // A grant that comes too late was released when the wait ended.
  if (Found == Waits_.end() || Found->second->Holder_ != From)
    return;
  Wait &W = *Found->second;
  if (isFinal(W.Answer_))
    return;
  W.Queued_ = W.Queued_ || A->Result_ == SlotResult::Queued;
  W.Answer_ = std::move(A);
  W.Waiting_ = M.Waiting_;
  W.Reserved_ = M.Reserved_;
  W.Changed_.notify_all();
}

void SlotClient::stop() {
  std::lock_guard Guard(Lock_);
  Stopped_ = true;
  for (auto &[Number, W] : Waits_)
    W->Changed_.notify_all();
}

} // namespace lagoonpoint
