#include "lagoonpoint/src/Gateway/SharedDispatcher.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>
#include <chrono>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "call.dispatch";
/// A waiting call looks again at least this often.
constexpr Duration LookAgain = Duration::millis(50);
/// A refused call may find room after about the time of a few warm runs.
constexpr Duration ComeBack = Duration::millis(300);

std::optional<Address> addressOf(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return {};
  int Port = std::atoi(Text.c_str() + Colon + 1);
  if (Port <= 0 || Port > 65535)
    return {};
  return Address{Text.substr(0, Colon), static_cast<unsigned short>(Port)};
}

Refusal noRoom(bool AnyOpen) {
  if (AnyOpen)
    return Refusal(RefusalReason::NoCapacity, Ran::No, Step,
                   "all upstreams of the service are full", ComeBack);
  return Refusal(RefusalReason::NoUpstream, Ran::No, Step,
                 "no upstream of the service can be used", ComeBack);
}

/// Carries over what this VM saw of upstreams. Both lists are in order of ids.
void keepSeen(const std::vector<SharedUpstream> &Before,
              std::vector<SharedUpstream> &After) {
  auto Old = Before.begin();
  for (SharedUpstream &New : After) {
    while (Old != Before.end() && Old->Id_ < New.Id_)
      ++Old;
    if (Old == Before.end() || Old->Id_ != New.Id_ ||
        Old->BornAt_ != New.BornAt_)
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

SharedOutcome endOf(const TryReport &Report) {
  SharedOutcome End;
  End.Answered_ =
      Report.End_ == TryResult::Answered || Report.End_ == TryResult::Shed;
  End.NotConnected_ = Report.End_ == TryResult::NotConnected;
  End.Failed_ = Report.End_ == TryResult::Broken;
  End.TimedOut_ = Report.End_ == TryResult::TimedOut;
  if (Report.End_ == TryResult::Answered || Report.End_ == TryResult::TimedOut)
    End.Seconds_ = static_cast<double>(Report.Micros_) / 1e6;
  if (Report.Load_)
    End.ReportedInFlight_ =
        double(Report.Load_->Running_) + Report.Load_->Waiting_;
  return End;
}

} // namespace

SharedDispatcher::SharedDispatcher(const FleetSettings &S, const Clock &C)
    : Settings_(S), Clock_(C) {}

SharedDispatcher::Shard *SharedDispatcher::find(const ServiceId &Service) {
  std::lock_guard Guard(Lock_);
  auto Found = Shards_.find(Service);
  return Found == Shards_.end() ? nullptr : Found->second.get();
}

SharedDispatcher::Shard &SharedDispatcher::shardOf(const ServiceId &Service) {
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

/// Each upstream has one entry VM that warms it up: the same on all VMs that
/// know the same entry VMs.
bool SharedDispatcher::warms(const UpstreamId &Id,
                             const std::vector<VmId> &Entries) const {
  auto Weight = [&](const VmId &Vm) {
    return internal::mixBits(internal::stableHash(Vm.str() + "~" + Id.str()));
  };
  auto Best = std::max_element(
      Entries.begin(), Entries.end(),
      [&](const VmId &A, const VmId &B) { return Weight(A) < Weight(B); });
  return Best != Entries.end() && *Best == VmId(Settings_.Host_);
}

SharedUpstream SharedDispatcher::made(const KnownUpstream &Known,
                                      const FleetPicture &Picture) const {
  SharedUpstream U;
  U.Id_ = Known.Notice_.Id_;
  U.IdHash_ = rendezvousHash(U.Id_.str());
  U.BornAt_ = Known.Notice_.StartedAtMs_;
  if (auto At = addressOf(Known.Notice_.Address_))
    U.Address_ = *At;
  U.Zone_ = Known.Notice_.Zone_;
  U.Region_ = regionOf(U.Zone_);
  U.Slots_ = std::max(1U, Known.Notice_.Slots_);
  U.Available_ = Known.Notice_.Phase_ == NoticePhase::Serving &&
                 !Picture.Drained_.count(U.Zone_);
  U.Silent_ = Known.Silent_;
  U.ColdUntil_ = Known.WarmupEndsAt_;
  U.IsWarmedHere_ =
      Picture.Now_ < U.ColdUntil_ && warms(U.Id_, Picture.Entries_);
  return U;
}

void SharedDispatcher::learn(const FleetPicture &Picture) {
  std::map<ServiceId, std::vector<SharedUpstream>> ByService;
  {
    std::lock_guard Guard(Lock_);
    for (const auto &[Service, Slot] : Shards_)
      ByService[Service];
  }
  for (const auto &[Id, Known] : Picture.Upstreams_.Upstreams_)
    if (Known.Notice_.Phase_ != NoticePhase::Gone)
      ByService[Known.Notice_.Service_].push_back(made(Known, Picture));
  for (auto &[Service, Upstreams] : ByService) {
    Shard &S = shardOf(Service);
    std::lock_guard Guard(S.Lock_);
    keepSeen(S.Group_.Upstreams_, Upstreams);
    S.Group_.Upstreams_ = std::move(Upstreams);
    const ServiceItem *Item = findItem(Picture.Services_, Service.str());
    S.Group_.ColdRate_ = Item ? Item->WarmupRate_ : 0;
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
    const std::map<std::string, RateMap> &RegionRates, Duration Since) {
  // Half of what may move in a window of two seconds: windows aren't aligned.
  double MaxMoved = Settings_.MaxRegionShift_ / 4 * Since.inSeconds();
  std::vector<std::pair<ServiceId, Shard *>> All;
  {
    std::lock_guard Guard(Lock_);
    for (const auto &[Service, Slot] : Shards_)
      All.push_back({Service, Slot.get()});
  }
  for (const auto &[Service, S] : All) {
    std::map<RegionId, double> Seen;
    for (const auto &[Zone, Region] : Settings_.Zones_)
      Seen[Region];
    for (const auto &[Region, Rates] : RegionRates) {
      auto Found = Rates.find(Service.str());
      if (Found != Rates.end())
        Seen[RegionId(Region)] += Found->second;
    }
    std::lock_guard Guard(S->Lock_);
    smoothDemand(S->Demand_, Seen, Since);
    RegionShares Target =
        targetShares(Settings_.Region_, slotsOf(S->Group_), S->Demand_);
    if (!Target.empty())
      S->Shares_ = stepTowards(S->Shares_, Target, MaxMoved);
  }
}

KeyedRequest SharedDispatcher::wishOf(const Shard &S,
                                      const SharedWish &Wish) const {
  KeyedRequest Out;
  Out.Object_ = Wish.Object_;
  Out.Tried_ = Wish.Tried_;
  std::string Place = Wish.Object_.empty() ? Wish.Service_.str() : Wish.Object_;
  RegionShares Shares = S.Shares_;
  for (const auto &[Zone, Region] : Settings_.Zones_)
    Shares.emplace(Region, 0);
  for (const RegionId &R : regionOrder(Settings_.Region_, Shares, Place))
    if (Wish.Regions_.empty() || Wish.Regions_.count(R))
      Out.Regions_.push_back(R);
  return Out;
}

SharedSlot SharedDispatcher::acquire(const SharedWish &Wish) {
  Shard *S = find(Wish.Service_);
  if (!S)
    throw noRoom(false);
  std::unique_lock Guard(S->Lock_);
  KeyedRequest Keyed = wishOf(*S, Wish);
  bool Waits = false;
  auto Leave = [&] {
    if (Waits && --S->Waiting_[Wish.Priority_] == 0)
      S->Waiting_.erase(Wish.Priority_);
  };
  for (;;) {
    Time Now = Clock_.now();
    Keyed.TimeLeft_ = Wish.Deadline_ - Now;
    bool Overtakes =
        S->Waiting_.empty() || S->Waiting_.begin()->first >= Wish.Priority_;
    SharedUpstream *U =
        Overtakes ? chooseShared(S->Group_, Keyed, Rules_, Now) : nullptr;
    if (U) {
      double Behind = estimatedInFlight(*U, Rules_, Now);
      reserve(*U, Now);
      Leave();
      return {{U->Id_, {}, U->Address_}, Behind};
    }
    if (Now >= Wish.WaitUntil_) {
      Leave();
      throw noRoom(anyAvailable(S->Group_, Keyed, Now));
    }
    if (!Waits) {
      Waits = true;
      ++S->Waiting_[Wish.Priority_];
    }
    Duration Left = std::min(Wish.WaitUntil_ - Now, LookAgain);
    S->Changed_.wait_for(Guard, std::chrono::milliseconds(Left.count()));
  }
}

void SharedDispatcher::release(const ServiceId &Service, const SharedSlot &Slot,
                               const TryReport &Report) {
  Shard *S = find(Service);
  if (!S)
    return;
  std::lock_guard Guard(S->Lock_);
  for (SharedUpstream &U : S->Group_.Upstreams_) {
    if (U.Id_ != Slot.Target_.Upstream_)
      continue;
    SharedOutcome End = endOf(Report);
    End.InFlightAtSend_ = Slot.Behind_;
    lagoonpoint::release(U, End, Rules_, Clock_.now());
    if (Report.Misdirected_)
      U.Available_ = false;
  }
  if (!S->Waiting_.empty())
    S->Changed_.notify_all();
}

} // namespace lagoonpoint
