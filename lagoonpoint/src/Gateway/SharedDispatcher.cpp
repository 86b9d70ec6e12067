#include "lagoonpoint/src/Gateway/SharedDispatcher.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>
#include <chrono>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.dispatch";
/// Waiting calls check for free capacity at least this often.
constexpr Duration RecheckInterval = Duration::millis(50);
/// Retry-After of refused calls: about as long as a warm upstream takes for a
/// few requests.
constexpr Duration RetryAfterHint = Duration::millis(300);

std::optional<Address> addressOf(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return {};
  int Port = std::atoi(Text.c_str() + Colon + 1);
  if (Port <= 0 || Port > 65535)
    return {};
  return Address{Text.substr(0, Colon), static_cast<unsigned short>(Port)};
}

Refusal noUpstreamAvailable(bool AnyOpen) {
  if (AnyOpen)
    return Refusal(RefusalReason::NoCapacity, Ran::No, Step,
                   "all upstreams of the service are full", RetryAfterHint);
  return Refusal(RefusalReason::NoUpstream, Ran::No, Step,
                 "the service has no usable upstream", RetryAfterHint);
}

/// Carries over this VM's observations of the upstreams. Both lists are sorted
/// by id.
void carryOverObservations(const std::vector<SharedUpstream> &Previous,
                           std::vector<SharedUpstream> &Current) {
  auto Old = Previous.begin();
  for (SharedUpstream &New : Current) {
    while (Old != Previous.end() && Old->Id_ < New.Id_)
      ++Old;
    if (Old == Previous.end() || Old->Id_ != New.Id_ ||
        Old->StartedAtMs_ != New.StartedAtMs_)
      continue;
    New.ServiceSeconds_ = Old->ServiceSeconds_;
    New.InFlight_ = Old->InFlight_;
    New.OthersInFlight_ = Old->OthersInFlight_;
    New.OthersReportedAt_ = Old->OthersReportedAt_;
    New.UnansweredSince_ = Old->UnansweredSince_;
    New.BackOffUntil_ = Old->BackOffUntil_;
    New.ConsecutiveFailures_ = Old->ConsecutiveFailures_;
    New.LastColdSendAt_ = Old->LastColdSendAt_;
  }
}

SharedOutcome sharedOutcomeOf(const TryReport &Report) {
  SharedOutcome Outcome;
  Outcome.Answered_ = Report.Result_ == TryResult::Answered ||
                      Report.Result_ == TryResult::Shed;
  Outcome.NotConnected_ = Report.Result_ == TryResult::NotConnected;
  Outcome.Failed_ = Report.Result_ == TryResult::Broken;
  Outcome.TimedOut_ = Report.Result_ == TryResult::TimedOut;
  if (Report.Result_ == TryResult::Answered ||
      Report.Result_ == TryResult::TimedOut)
    Outcome.Seconds_ = static_cast<double>(Report.Micros_) / 1e6;
  if (Report.Load_)
    Outcome.ReportedInFlight_ =
        double(Report.Load_->Running_) + Report.Load_->Waiting_;
  return Outcome;
}

} // namespace

SharedDispatcher::SharedDispatcher(const FleetSettings &S, const Clock &C,
                                   MetricRegistry &Metrics)
    : Settings_(S), Clock_(C), Metrics_(Metrics) {}

SharedDispatcher::Shard *SharedDispatcher::findShard(const ServiceId &Service) {
  std::lock_guard Guard(Lock_);
  auto Found = Shards_.find(Service);
  return Found == Shards_.end() ? nullptr : Found->second.get();
}

SharedDispatcher::Shard &
SharedDispatcher::findOrCreateShard(const ServiceId &Service) {
  std::lock_guard Guard(Lock_);
  auto &Slot = Shards_[Service];
  if (!Slot)
    Slot = std::make_unique<Shard>();
  return *Slot;
}

RegionId SharedDispatcher::regionOf(const ZoneId &Zone) const {
  auto Found = Settings_.Zones_.find(Zone);
  return Found == Settings_.Zones_.end() ? RegionId() : Found->second;
}

/// \returns whether this VM is the one that warms up an upstream. All VMs that
/// know the same entry VMs choose the same one.
bool SharedDispatcher::warmsUp(const UpstreamId &Id,
                               const std::vector<VmId> &EntryVms) const {
  auto Weight = [&](const VmId &Vm) {
    return internal::mixBits(internal::stableHash(Vm.str() + "~" + Id.str()));
  };
  auto Best = std::max_element(
      EntryVms.begin(), EntryVms.end(),
      [&](const VmId &A, const VmId &B) { return Weight(A) < Weight(B); });
  return Best != EntryVms.end() && *Best == VmId(Settings_.Host_);
}

SharedUpstream
SharedDispatcher::makeUpstream(const KnownUpstream &Known,
                               const FleetSnapshot &Fleet) const {
  SharedUpstream U;
  U.Id_ = Known.Notice_.Id_;
  U.IdHash_ = rendezvousHash(U.Id_.str());
  U.StartedAtMs_ = Known.Notice_.StartedAtMs_;
  if (auto At = addressOf(Known.Notice_.Address_))
    U.Address_ = *At;
  U.Zone_ = Known.Notice_.Zone_;
  U.Region_ = regionOf(U.Zone_);
  U.Slots_ = std::max(1U, Known.Notice_.Slots_);
  U.Available_ = Known.Notice_.Phase_ == NoticePhase::Serving &&
                 !Fleet.DrainedZones_.count(U.Zone_);
  U.Silent_ = Known.Silent_;
  U.WarmupEndsAt_ = Known.WarmupEndsAt_;
  U.IsWarmedHere_ =
      Fleet.Now_ < U.WarmupEndsAt_ && warmsUp(U.Id_, Fleet.EntryVms_);
  return U;
}

void SharedDispatcher::update(const FleetSnapshot &Fleet) {
  std::map<ServiceId, std::vector<SharedUpstream>> ByService;
  {
    std::lock_guard Guard(Lock_);
    for (const auto &[Service, Slot] : Shards_)
      ByService[Service];
  }
  for (const auto &[Id, Known] : Fleet.Upstreams_.Upstreams_)
    if (Known.Notice_.Phase_ != NoticePhase::Gone)
      ByService[Known.Notice_.Service_].push_back(makeUpstream(Known, Fleet));
  Metrics_.add(Metric::UpstreamUpdates, {},
               static_cast<double>(Fleet.Upstreams_.Upstreams_.size()));
  for (auto &[Service, Upstreams] : ByService) {
    Shard &S = findOrCreateShard(Service);
    std::lock_guard Guard(S.Lock_);
    carryOverObservations(S.Group_.Upstreams_, Upstreams);
    S.Group_.Upstreams_ = std::move(Upstreams);
    const ServiceItem *Item = findItem(Fleet.Services_, Service.str());
    S.Group_.WarmupRate_ = Item ? Item->WarmupRate_ : 0;
    S.Changed_.notify_all();
  }
}

std::map<RegionId, double>
SharedDispatcher::slotsOf(const SharedGroup &G) const {
  std::map<RegionId, double> Slots;
  for (const SharedUpstream &U : G.Upstreams_)
    if (U.Available_)
      Slots[U.Region_] += U.Slots_;
  return Slots;
}

void SharedDispatcher::rebalance(
    const std::map<std::string, RateMap> &RegionRates, Duration Elapsed) {
  // The limit holds for a window of two seconds. Only half of it is used per
  // window, because windows are not aligned.
  double MaxMoved = Settings_.MaxRegionShift_ / 4 * Elapsed.inSeconds();
  std::vector<std::pair<ServiceId, Shard *>> All;
  {
    std::lock_guard Guard(Lock_);
    for (const auto &[Service, Slot] : Shards_)
      All.push_back({Service, Slot.get()});
  }
  for (const auto &[Service, S] : All) {
    std::map<RegionId, double> DemandRates;
    for (const auto &[Zone, Region] : Settings_.Zones_)
      DemandRates[Region];
    for (const auto &[Region, Rates] : RegionRates) {
      auto Found = Rates.find(Service.str());
      if (Found != Rates.end())
        DemandRates[RegionId(Region)] += Found->second;
    }
    std::lock_guard Guard(S->Lock_);
    smoothDemand(S->Demand_, DemandRates, Elapsed);
    RegionShares Target =
        targetShares(Settings_.Region_, slotsOf(S->Group_), S->Demand_);
    if (!Target.empty())
      S->Shares_ = stepTowards(S->Shares_, Target, MaxMoved);
  }
}

KeyedRequest
SharedDispatcher::makeKeyedRequest(const Shard &S,
                                   const SharedDispatchRequest &Request) const {
  KeyedRequest Out;
  Out.Object_ = Request.Object_;
  Out.Tried_ = Request.Tried_;
  std::string HashKey =
      Request.Object_.empty() ? Request.Service_.str() : Request.Object_;
  RegionShares Shares = S.Shares_;
  for (const auto &[Zone, Region] : Settings_.Zones_)
    Shares.emplace(Region, 0);
  for (const RegionId &R : regionOrder(Settings_.Region_, Shares, HashKey))
    if (Request.Regions_.empty() || Request.Regions_.count(R))
      Out.Regions_.push_back(R);
  return Out;
}

SharedSlot SharedDispatcher::acquire(const SharedDispatchRequest &Request) {
  Shard *S = findShard(Request.Service_);
  if (!S)
    throw noUpstreamAvailable(false);
  std::unique_lock Guard(S->Lock_);
  KeyedRequest Keyed = makeKeyedRequest(*S, Request);
  bool IsWaiting = false;
  auto StopWaiting = [&] {
    if (IsWaiting && --S->Waiting_[Request.Priority_] == 0)
      S->Waiting_.erase(Request.Priority_);
  };
  for (;;) {
    Time Now = Clock_.now();
    Keyed.TimeLeft_ = Request.Deadline_ - Now;
    bool IsNext =
        S->Waiting_.empty() || S->Waiting_.begin()->first >= Request.Priority_;
    SharedUpstream *U =
        IsNext ? chooseShared(S->Group_, Keyed, Options_, Now) : nullptr;
    if (U) {
      double InFlight = estimatedInFlight(*U, Options_, Now);
      reserve(*U, Now);
      StopWaiting();
      return {{U->Id_, {}, U->Address_}, InFlight};
    }
    if (Now >= Request.WaitUntil_) {
      StopWaiting();
      throw noUpstreamAvailable(anyAvailable(S->Group_, Keyed, Now));
    }
    if (!IsWaiting) {
      IsWaiting = true;
      ++S->Waiting_[Request.Priority_];
    }
    Duration Left = std::min(Request.WaitUntil_ - Now, RecheckInterval);
    S->Changed_.wait_for(Guard, std::chrono::milliseconds(Left.count()));
  }
}

void SharedDispatcher::release(const ServiceId &Service, const SharedSlot &Slot,
                               const TryReport &Report) {
  Shard *S = findShard(Service);
  if (!S)
    return;
  std::lock_guard Guard(S->Lock_);
  for (SharedUpstream &U : S->Group_.Upstreams_) {
    if (U.Id_ != Slot.Target_.Upstream_)
      continue;
    SharedOutcome Outcome = sharedOutcomeOf(Report);
    Outcome.InFlightAtSend_ = Slot.InFlightAtSend_;
    lagoonpoint::release(U, Outcome, Options_, Clock_.now());
    if (Report.Misdirected_)
      U.Available_ = false;
  }
  if (!S->Waiting_.empty())
    S->Changed_.notify_all();
}

} // namespace lagoonpoint
