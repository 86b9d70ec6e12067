#include "lagoonpoint/src/Gateway/SharedDispatcher.h"

#include "lagoonpoint/Log"

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

constexpr ConcurrencyLimitOptions LimitOptions;

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

/// Carries over this VM's observations of an upstream, unless it was restarted.
void carryOverObservations(const SharedUpstream &Old, SharedUpstream &New) {
  if (Old.StartedAtMs_ != New.StartedAtMs_)
    return;
  New.ServiceSeconds_ = Old.ServiceSeconds_;
  New.InFlight_ = Old.InFlight_;
  New.OthersInFlight_ = Old.OthersInFlight_;
  New.OthersReportedAt_ = Old.OthersReportedAt_;
  New.Pace_ = Old.Pace_;
  New.UnansweredSince_ = Old.UnansweredSince_;
  New.BackOffUntil_ = Old.BackOffUntil_;
  New.ConsecutiveFailures_ = Old.ConsecutiveFailures_;
  New.LastColdSendAt_ = Old.LastColdSendAt_;
  New.Limit_ = Old.Limit_;
  New.PausedUntil_ = Old.PausedUntil_;
}

/// Carries over the observations of all upstreams. Both lists are sorted by id.
void carryOverObservations(const std::vector<SharedUpstream> &Previous,
                           std::vector<SharedUpstream> &Current) {
  auto Old = Previous.begin();
  for (SharedUpstream &New : Current) {
    while (Old != Previous.end() && Old->Id_ < New.Id_)
      ++Old;
    if (Old != Previous.end() && Old->Id_ == New.Id_)
      carryOverObservations(*Old, New);
  }
}

/// \returns the position of an upstream in a sorted list, or where it would be
/// inserted.
std::vector<SharedUpstream>::iterator
findPosition(std::vector<SharedUpstream> &Upstreams, const UpstreamId &Id) {
  return std::lower_bound(
      Upstreams.begin(), Upstreams.end(), Id,
      [](const SharedUpstream &U, const UpstreamId &I) { return U.Id_ < I; });
}

/// \returns whether the list has changed.
bool removeUpstream(std::vector<SharedUpstream> &Upstreams,
                    const UpstreamId &Id) {
  auto At = findPosition(Upstreams, Id);
  if (At == Upstreams.end() || At->Id_ != Id)
    return false;
  Upstreams.erase(At);
  return true;
}

void insertOrReplace(std::vector<SharedUpstream> &Upstreams, SharedUpstream U) {
  auto At = findPosition(Upstreams, U.Id_);
  if (At == Upstreams.end() || At->Id_ != U.Id_) {
    Upstreams.insert(At, std::move(U));
    return;
  }
  carryOverObservations(*At, U);
  *At = std::move(U);
}

/// \returns the calls per second that a cold upstream of a service can take.
double warmupRate(const ItemMap<ServiceItem> &Services,
                  const ServiceId &Service) {
  const ServiceItem *Item = findItem(Services, Service.str());
  return Item ? Item->WarmupRate_ : 0;
}

void logLimit(const SharedUpstream &U) {
  std::string Message = "no limit any more";
  if (U.Limit_)
    Message = "limited to " + std::to_string(U.Limit_->PerSecond_) +
              " requests/s of all VMs, of which " +
              std::to_string(U.Limit_->Part_.PerSecond_) + " from this one";
  log({.Step_ = "upstream.limit", .Message_ = Message, .Peer_ = U.Id_.str()});
}

/// A longer pause replaces a shorter one, and not the reverse.
void applyPause(SharedUpstream &U, Duration Pause, Time Now) {
  if (Now + Pause <= U.PausedUntil_)
    return;
  if (Now >= U.PausedUntil_)
    log({.Step_ = "upstream.pause",
         .Message_ =
             "wants no requests for " + std::to_string(Pause.count()) + " ms",
         .Peer_ = U.Id_.str()});
  U.PausedUntil_ = Now + Pause;
}

/// \returns a stated pace as a factor. Values over 10,000 % count as absent.
/// Others are limited, because a load fades by the pace and must not keep calls
/// away for long.
double paceOf(unsigned Percent) {
  constexpr unsigned MaxPercent = 10'000;
  if (Percent == 0 || Percent > MaxPercent)
    return 1;
  return std::clamp(Percent / 100.0, 0.25, 4.0);
}

/// \returns a load as it is told to others, limited like the pace.
unsigned callsToTell(double Stated, const SharedUpstream &U) {
  constexpr double MaxCallsPerSlot = 8;
  return static_cast<unsigned>(std::min(Stated, MaxCallsPerSlot * U.Slots_));
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
  if (Report.Load_) {
    Outcome.ReportedInFlight_ =
        double(Report.Load_->Running_) + Report.Load_->Waiting_;
    Outcome.Pace_ = paceOf(Report.Load_->PacePercent_.value_or(0));
  }
  return Outcome;
}

} // namespace

SharedDispatcher::SharedDispatcher(const FleetSettings &S, const Clock &C,
                                   MetricRegistry &Metrics)
    : Settings_(S), Self_(S.Host_), Clock_(C), Metrics_(Metrics) {}

KeyedChoiceOptions SharedDispatcher::options() const {
  KeyedChoiceOptions Out;
  Out.LoadsAreShared_ = LoadsAreShared_;
  return Out;
}

std::vector<std::pair<ServiceId, SharedDispatcher::Shard *>>
SharedDispatcher::shards() {
  std::vector<std::pair<ServiceId, Shard *>> Out;
  std::lock_guard Guard(Lock_);
  for (const auto &[Service, Slot] : Shards_)
    Out.push_back({Service, Slot.get()});
  return Out;
}

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

std::shared_ptr<const VmRanking>
SharedDispatcher::updateRanking(const std::vector<VmId> &EntryVms) {
  std::lock_guard Guard(Lock_);
  if (Ranking_->vms() != EntryVms)
    Ranking_ = std::make_shared<VmRanking>(EntryVms);
  return Ranking_;
}

LimitSharer SharedDispatcher::limitSharer(const UpstreamId &Id) {
  std::shared_ptr<const VmRanking> Ranking;
  {
    std::lock_guard Guard(Lock_);
    Ranking = Ranking_;
  }
  return Ranking->sharer(Self_, Id);
}

SharedUpstream SharedDispatcher::makeUpstream(const KnownUpstream &Known,
                                              const FleetSnapshot &Fleet,
                                              const VmRanking &Ranking) const {
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
      Fleet.Now_ < U.WarmupEndsAt_ && Ranking.isFirst(Self_, U.Id_);
  return U;
}

void SharedDispatcher::update(const FleetSnapshot &Fleet) {
  std::shared_ptr<const VmRanking> Ranking = updateRanking(Fleet.EntryVms_);
  std::map<ServiceId, std::vector<SharedUpstream>> ByService;
  for (const auto &[Service, S] : shards())
    ByService[Service];
  for (const auto &[Id, Known] : Fleet.Upstreams_.Upstreams_)
    if (Known.Notice_.Phase_ != NoticePhase::Gone)
      ByService[Known.Notice_.Service_].push_back(
          makeUpstream(Known, Fleet, *Ranking));
  Metrics_.add(Metric::UpstreamUpdates, {},
               static_cast<double>(Fleet.Upstreams_.Upstreams_.size()));
  double Limited = 0;
  double Paused = 0;
  for (auto &[Service, Upstreams] : ByService) {
    Shard &S = findOrCreateShard(Service);
    std::lock_guard Guard(S.Lock_);
    carryOverObservations(S.Group_.Upstreams_, Upstreams);
    S.Group_.Upstreams_ = std::move(Upstreams);
    for (SharedUpstream &U : S.Group_.Upstreams_) {
      Paused += Fleet.Now_ < U.PausedUntil_ ? 1 : 0;
      if (!U.Limit_)
        continue;
      applySharer(*U.Limit_, Ranking->sharer(Self_, U.Id_), Fleet.Now_);
      ++Limited;
    }
    S.Group_.WarmupRate_ = warmupRate(Fleet.Services_, Service);
    S.Changed_.notify_all();
  }
  Metrics_.set(Metric::UpstreamsHeld, {"limit"}, Limited);
  Metrics_.set(Metric::UpstreamsHeld, {"pause"}, Paused);
}

void SharedDispatcher::update(const FleetSnapshot &Fleet,
                              const std::vector<UpstreamId> &Changed) {
  std::shared_ptr<const VmRanking> Ranking = updateRanking(Fleet.EntryVms_);
  Metrics_.add(Metric::UpstreamUpdates, {},
               static_cast<double>(Changed.size()));
  for (const UpstreamId &Id : Changed) {
    auto Found = Fleet.Upstreams_.Upstreams_.find(Id);
    bool IsKnown = Found != Fleet.Upstreams_.Upstreams_.end() &&
                   Found->second.Notice_.Phase_ != NoticePhase::Gone;
    ServiceId Service = IsKnown ? Found->second.Notice_.Service_ : ServiceId();
    for (const auto &[Other, S] : shards()) {
      std::lock_guard Guard(S->Lock_);
      if (Other != Service && removeUpstream(S->Group_.Upstreams_, Id))
        S->Changed_.notify_all();
    }
    if (!IsKnown)
      continue;
    Shard &S = findOrCreateShard(Service);
    std::lock_guard Guard(S.Lock_);
    insertOrReplace(S.Group_.Upstreams_,
                    makeUpstream(Found->second, Fleet, *Ranking));
    S.Group_.WarmupRate_ = warmupRate(Fleet.Services_, Service);
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
  for (const auto &[Service, S] : shards()) {
    std::map<RegionId, double> DemandRates;
    for (const auto &[Zone, Region] : Settings_.Zones_)
      DemandRates[Region];
    for (const auto &[Region, Rates] : RegionRates) {
      auto Found = Rates.find(Service.str());
      if (Found != Rates.end())
        DemandRates[RegionId(Region)] += Found->second;
    }
    bool HasCalls =
        std::any_of(DemandRates.begin(), DemandRates.end(),
                    [](const auto &Entry) { return Entry.second > 0; });
    std::lock_guard Guard(S->Lock_);
    S->HadCalls_ = S->HadCalls_ || HasCalls;
    smoothDemand(S->Demand_, DemandRates, Elapsed);
    RegionShares Target =
        targetShares(Settings_.Region_, slotsOf(S->Group_), S->Demand_);
    if (Target.empty() || S->SharesAreSet_)
      continue;
    // Upstreams become known one by one. Until there are calls, whose objects
    // would change region, the shares follow at once.
    S->Shares_ =
        S->HadCalls_ ? stepTowards(S->Shares_, Target, MaxMoved) : Target;
  }
}

KeyedRequest
SharedDispatcher::makeKeyedRequest(const Shard &S,
                                   const SharedDispatchRequest &Request) const {
  KeyedRequest Out;
  Out.Object_ = Request.Object_;
  Out.Tried_ = Request.Tried_;
  Out.Only_ = Request.Only_;
  std::string HashKey =
      Request.Object_.empty() ? Request.Service_.str() : Request.Object_;
  RegionShares Shares = S.Shares_;
  for (const auto &[Zone, Region] : Settings_.Zones_)
    Shares.emplace(Region, 0);
  for (const RegionId &R : regionOrder(Settings_.Region_, Shares, HashKey))
    if (Request.Regions_.allows(R))
      Out.Regions_.push_back(R);
  return Out;
}

/// Called with the lock of \p S held.
void SharedDispatcher::recordDuration(Shard &S, const SharedSlot &Slot,
                                      const TryReport &Report, Time Now) {
  if (Settings_.ConcurrencyLimits_ != PlacementMode::On || Slot.Region_.empty())
    return;
  std::optional<double> Part;
  Duration Allowed = Slot.Deadline_ - Slot.AcquiredAt_;
  bool HasDuration = Report.Result_ == TryResult::Answered ||
                     Report.Result_ == TryResult::TimedOut;
  if (HasDuration && Allowed > Duration())
    Part = (Now - Slot.AcquiredAt_).inSeconds() / Allowed.inSeconds();
  ConcurrencyLimit &Limit = S.Limits_[Slot.Region_];
  bool WasLimited = Limit.Limit_.has_value();
  recordEnd(Limit, Part, LimitOptions, Now);
  if (Limit.Limit_.has_value() == WasLimited)
    return;
  log({.Level_ = LogLevel::Warning,
       .Step_ = "dispatch.limit",
       .Message_ = "region " + Slot.Region_.str() +
                   (WasLimited ? ": calls are no longer limited"
                               : ": calls take too long, those in progress are "
                                 "limited to " +
                                     std::to_string(*Limit.Limit_)),
       .Peer_ = Slot.Target_.Upstream_.str()});
}

/// Refuses calls that are bound to regions in which this VM has as many calls
/// in progress as are answered in time. Others are left alone: shares of the
/// demand move them to where there is room. Called with the lock of \p S held.
void SharedDispatcher::checkLimits(Shard &S,
                                   const SharedDispatchRequest &Request,
                                   const std::vector<RegionId> &Regions) {
  if (Settings_.ConcurrencyLimits_ != PlacementMode::On ||
      !Request.Regions_.isRestricted())
    return;
  bool HasRoom =
      std::any_of(Regions.begin(), Regions.end(),
                  [&](const RegionId &R) { return hasRoom(S.Limits_[R]); });
  if (!HasRoom)
    throw Refusal(RefusalReason::NoCapacity, Ran::No, Step,
                  "calls to the service take too long in the allowed regions",
                  RetryAfterHint);
}

SharedSlot SharedDispatcher::acquire(const SharedDispatchRequest &Request) {
  Shard *S = findShard(Request.Service_);
  if (!S)
    throw noUpstreamAvailable(false);
  std::unique_lock Guard(S->Lock_);
  S->HadCalls_ = true;
  KeyedRequest Keyed = makeKeyedRequest(*S, Request);
  if (Keyed.Regions_.empty())
    throw Refusal(RefusalReason::NoRegionAllowed, Ran::No, Step,
                  "this fleet has none of the allowed regions");
  checkLimits(*S, Request, Keyed.Regions_);
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
        IsNext ? chooseShared(S->Group_, Keyed, options(), Now) : nullptr;
    if (U) {
      double InFlight = estimatedInFlight(*U, options(), Now);
      reserve(*U, Now);
      recordStart(S->Limits_[U->Region_]);
      StopWaiting();
      return {{U->Id_, {}, U->Address_}, InFlight,          Now,
              U->StartedAtMs_,           Request.Deadline_, U->Region_};
    }
    Time OpenAt = usableFrom(S->Group_, Keyed, Now);
    if (OpenAt > Request.WaitUntil_) {
      StopWaiting();
      throw Refusal(RefusalReason::NoCapacity, Ran::No, Step,
                    "all upstreams of the service want no calls for now",
                    std::max(OpenAt - Now, RetryAfterHint));
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

std::optional<SharedSlot>
SharedDispatcher::reserveGranted(const ServiceId &Service,
                                 const UpstreamId &Upstream,
                                 std::uint64_t StartedAtMs) {
  Shard *S = findShard(Service);
  if (!S)
    return {};
  std::lock_guard Guard(S->Lock_);
  auto U = findPosition(S->Group_.Upstreams_, Upstream);
  bool IsSameProcess = U != S->Group_.Upstreams_.end() && U->Id_ == Upstream &&
                       U->StartedAtMs_ == StartedAtMs;
  Time Now = Clock_.now();
  if (!IsSameProcess || !U->Available_ || Now < U->BackOffUntil_ ||
      Now < U->PausedUntil_ || (U->Limit_ && !hasToken(*U->Limit_, Now)))
    return {};
  double InFlight = estimatedInFlight(*U, options(), Now);
  if (Now < U->WarmupEndsAt_)
    U->LastColdSendAt_ = Now;
  reserve(*U, Now);
  return SharedSlot{{U->Id_, {}, U->Address_}, InFlight, Now, U->StartedAtMs_};
}

std::map<ServiceId, PlacedService> SharedDispatcher::placedServices(
    const std::map<std::string, RateMap> &RegionRates) {
  std::map<ServiceId, PlacedService> Out;
  for (const auto &[Service, S] : shards()) {
    PlacedService &Placed = Out[Service];
    for (const auto &[Region, Rates] : RegionRates) {
      auto Found = Rates.find(Service.str());
      Placed.Rates_[RegionId(Region)] =
          Found == Rates.end() ? 0 : Found->second;
    }
    std::lock_guard Guard(S->Lock_);
    Placed.WarmupRate_ = S->Group_.WarmupRate_;
    Placed.Shares_ = S->Shares_;
    Placed.Upstreams_.reserve(S->Group_.Upstreams_.size());
    for (const SharedUpstream &U : S->Group_.Upstreams_)
      Placed.Upstreams_.push_back(
          {{U.Id_, U.IdHash_, U.StartedAtMs_, U.Slots_,
            U.Available_ && !U.Silent_, U.WarmupEndsAt_},
           U.Region_});
  }
  return Out;
}

void SharedDispatcher::setShares(const ServiceId &Service,
                                 RegionShares Shares) {
  Shard *S = findShard(Service);
  if (!S || Shares.empty())
    return;
  std::lock_guard Guard(S->Lock_);
  S->Shares_ = std::move(Shares);
  S->SharesAreSet_ = true;
}

void SharedDispatcher::recordStatement(const ServiceId &Service,
                                       const SharedSlot &Slot,
                                       const UpstreamStatement &Statement) {
  Shard *S = findShard(Service);
  if (!S)
    return;
  const UpstreamId &Id = Slot.Target_.Upstream_;
  LimitSharer Sharer = limitSharer(Id);
  std::lock_guard Guard(S->Lock_);
  auto At = findPosition(S->Group_.Upstreams_, Id);
  bool IsSameProcess = At != S->Group_.Upstreams_.end() && At->Id_ == Id &&
                       At->StartedAtMs_ == Slot.StartedAtMs_;
  if (!IsSameProcess)
    return;
  Time Now = Clock_.now();
  if (Statement.Pause_)
    applyPause(*At, *Statement.Pause_, Now);
  if (applyStatement(At->Limit_, Statement.RequestsPerSecond_, Sharer,
                     Slot.AcquiredAt_, Now))
    logLimit(*At);
}

std::optional<LoadNotice> SharedDispatcher::release(const ServiceId &Service,
                                                    const SharedSlot &Slot,
                                                    const TryReport &Report) {
  Shard *S = findShard(Service);
  if (!S)
    return {};
  std::lock_guard Guard(S->Lock_);
  recordDuration(*S, Slot, Report, Clock_.now());
  std::optional<LoadNotice> Changed;
  auto U = findPosition(S->Group_.Upstreams_, Slot.Target_.Upstream_);
  if (U != S->Group_.Upstreams_.end() && U->Id_ == Slot.Target_.Upstream_) {
    SharedOutcome Outcome = sharedOutcomeOf(Report);
    Outcome.InFlightAtSend_ = Slot.InFlightAtSend_;
    Time Now = Clock_.now();
    // A misdirected response, or one of an earlier process, is another
    // upstream's.
    bool IsOwn = !Report.Misdirected_ && U->StartedAtMs_ == Slot.StartedAtMs_;
    if (IsOwn && Outcome.ReportedInFlight_ &&
        changesChoice(*U, *Outcome.ReportedInFlight_, options(), Now))
      Changed = LoadNotice{U->Id_, U->StartedAtMs_, Duration(),
                           callsToTell(*Outcome.ReportedInFlight_, *U),
                           Report.Load_->PacePercent_.value_or(0)};
    lagoonpoint::release(*U, Outcome, options(), Now);
    if (Report.Misdirected_)
      U->Available_ = false;
  }
  if (!S->Waiting_.empty())
    S->Changed_.notify_all();
  return Changed;
}

void SharedDispatcher::recordLoads(const std::vector<LoadNotice> &Notices) {
  Time Now = Clock_.now();
  for (const auto &[Service, S] : shards()) {
    std::lock_guard Guard(S->Lock_);
    bool Changed = false;
    for (const LoadNotice &N : Notices) {
      auto U = findPosition(S->Group_.Upstreams_, N.Id_);
      bool IsSameProcess = U != S->Group_.Upstreams_.end() && U->Id_ == N.Id_ &&
                           U->StartedAtMs_ == N.StartedAtMs_;
      // This VM may have learned a later load meanwhile.
      Time StatedAt = Now - std::max(N.Age_, Duration());
      if (!IsSameProcess || StatedAt <= U->OthersReportedAt_)
        continue;
      recordLoad(*U, callsToTell(N.Calls_, *U), paceOf(N.PacePercent_),
                 StatedAt);
      Changed = true;
    }
    if (Changed && !S->Waiting_.empty())
      S->Changed_.notify_all();
  }
}

} // namespace lagoonpoint
