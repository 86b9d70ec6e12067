#include "lagoonpoint/src/Placement/SlotPool.h"

#include "lagoonpoint/Steering"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// Waiting calls that are looked at for each free slot, so that a long queue
/// costs no more than a short one.
constexpr std::size_t MaxLookahead = 48;
/// Run times within this factor of each other count as equal.
constexpr double EqualRunFactor = 1.05;
/// A failure costs a caller about as much as this many runs.
constexpr double FailureCost = 6;
/// Upstreams that an object should be warm at, so that calls have a choice when
/// one of them is full or slow.
constexpr std::size_t WarmUpstreams = 2;
/// Weight of the newest run in SlotPool::SlotTimeFactor_.
constexpr double SlotTimeGain = 0.02;
/// Half-life of the use of slots by the classes of calls.
constexpr Duration UseHalfLife = Duration::seconds(1);
/// A run that has exceeded its expected time is expected to take this fraction
/// of it longer.
constexpr double OverrunFraction = 0.25;
/// Consecutive failures of calls on established connections before the pool
/// backs off from an upstream.
constexpr unsigned FailuresToBackOff = 2;
/// Consecutive timeouts before the pool backs off from an upstream. Some runs
/// take long at any upstream, but three in a row show that it hangs.
constexpr unsigned TimeoutsToBackOff = 3;
/// Calls that a waiting call lets pass to the same upstream, by upstream.
using Awaited = std::map<const PoolMember *, std::size_t>;
/// The retry delay if no upstream can be used.
constexpr Duration NoUpstreamRetry = Duration::millis(500);

/// Cost of a cold run in a busy pool, as a factor: it takes time from the calls
/// that wait.
constexpr double BusyColdFactor = 2;

Duration fromSeconds(double Seconds) {
  return Duration::millis(std::llround(Seconds * 1000));
}

std::uint64_t objectHash(const SlotDemand &D) {
  return rendezvousHash(D.Route_ + "/" + D.Object_);
}

PoolMember *findMember(SlotPool &P, const UpstreamId &Id) {
  auto At = std::lower_bound(P.Members_.begin(), P.Members_.end(), Id,
                             [](const PoolMember &M, const UpstreamId &I) {
                               return M.Upstream_.Id_ < I;
                             });
  return At != P.Members_.end() && At->Upstream_.Id_ == Id ? &*At : nullptr;
}

double othersAt(const SlotPool &P, const PoolMember &M, Time Now) {
  double HalfLives = (Now - M.OthersStatedAt_).inSeconds() /
                     P.Options_.StatedLoadHalfLife_.inSeconds();
  return M.Others_ * std::exp2(-HalfLives);
}

double inUse(const SlotPool &P, const PoolMember &M, Time Now) {
  return static_cast<double>(M.ExpectedEnds_.size()) + othersAt(P, M, Now);
}

bool isOpen(const PoolMember &M, Time Now) {
  return M.Upstream_.Usable_ && Now >= M.HeldUntil_ && Now >= M.BackOffUntil_;
}

bool isWarmingUp(const PoolMember &M, Time Now) {
  return Now < M.Upstream_.WarmupEndsAt_;
}

bool mayWarmUp(const SlotPool &P, const PoolMember &M, Time Now) {
  return P.WarmupRate_ > 0 &&
         Now - M.LastGrantAt_ >= fromSeconds(1 / P.WarmupRate_);
}

/// \returns whether an upstream has a free slot. Half a call of others is
/// tolerated, as their number is an estimate.
bool hasFreeSlot(const SlotPool &P, const PoolMember &M, Time Now) {
  return inUse(P, M, Now) <= M.Upstream_.Slots_ - 0.5;
}

/// \returns what stands in for unmeasured run times: the time left until the
/// objective, or half of that until the deadline, as the objective may be near
/// or have passed.
double standIn(const SlotDemand &D, Time Now) {
  return std::max({0.05, (D.ObjectiveAt_ - Now).inSeconds(),
                   (D.Deadline_ - Now).inSeconds() / 2});
}

/// A possible placement of one call.
struct Option {
  PoolMember *Member_ = nullptr;
  ReuseDistance Distance_ = ReuseDistance::Never;
  double Run_ = 0;  ///< expected, seconds
  double Cost_ = 0; ///< Run_ and what a failure would cost
  double Wait_ = 0; ///< until a slot is free, seconds
  double Rank_ = 0; ///< rendezvous weight for the object

  double finish() const { return Wait_ + Cost_; }
};

double expectedRun(const SlotPool &P, const PoolMember &M, const SlotDemand &D,
                   ReuseDistance Distance, Time Now) {
  double Usual = usualRunSeconds(P.Runs_, D.Route_, Distance, standIn(D, Now));
  return Usual * M.Speed_.Factor_ * paceAt(M.Speed_, Now);
}

/// \returns seconds until a slot of an upstream is expected to be free for a
/// call that lets \p Ahead others pass. The longer a run exceeds its expected
/// time, the longer it may still take: an upstream that hangs must not keep
/// calls waiting for it.
double waitAt(const SlotPool &P, const PoolMember &M, double Run,
              std::size_t Ahead, Time Now) {
  if (hasFreeSlot(P, M, Now))
    return 0;
  double Overrun = Run * OverrunFraction;
  if (M.ExpectedEnds_.empty())
    return Overrun + static_cast<double>(Ahead) * Run;
  std::vector<Time> Ends = M.ExpectedEnds_;
  std::sort(Ends.begin(), Ends.end());
  Time End = Ends[Ahead % Ends.size()];
  double Rounds = static_cast<double>(Ahead / Ends.size());
  return Rounds * Run + (End > Now
                             ? (End - Now).inSeconds()
                             : std::max(Overrun, (Now - End).inSeconds()));
}

/// \returns the ways to place a call, by descending rank.
std::vector<Option> optionsFor(SlotPool &P, const SlotDemand &D,
                               const Awaited &Others, Time Now) {
  std::vector<Option> Out;
  std::uint64_t Object = objectHash(D);
  std::uint64_t Rank = rendezvousHash(D.Object_);
  for (PoolMember &M : P.Members_) {
    if (!isOpen(M, Now) || D.Excluded_.count(M.Upstream_.Id_))
      continue;
    if (isWarmingUp(M, Now) && !mayWarmUp(P, M, Now))
      continue;
    Option O{&M};
    if (!D.Object_.empty())
      O.Distance_ = reuseDistance(M.Recent_, Object);
    O.Run_ = expectedRun(P, M, D, O.Distance_, Now);
    O.Cost_ = O.Run_ * (1 + FailureCost * failureRateAt(M.Speed_, Now));
    auto Ahead = Others.find(&M);
    O.Wait_ =
        waitAt(P, M, O.Run_, Ahead == Others.end() ? 0 : Ahead->second, Now);
    O.Rank_ = D.Object_.empty() ? -inUse(P, M, Now) / M.Upstream_.Slots_
                                : rendezvousWeight(Rank, M.Upstream_.IdHash_,
                                                   M.Upstream_.Slots_);
    Out.push_back(O);
  }
  std::sort(Out.begin(), Out.end(),
            [](const Option &A, const Option &B) { return A.Rank_ > B.Rank_; });
  return Out;
}

SlotSupply supplyOf(const SlotPool &P, Time Now) {
  SlotSupply Out;
  for (const PoolMember &M : P.Members_) {
    if (!isOpen(M, Now))
      continue;
    if (isWarmingUp(M, Now)) {
      // A cold run takes about a second.
      Out.Slots_ += std::min<double>(M.Upstream_.Slots_, P.WarmupRate_);
      Out.Free_ += mayWarmUp(P, M, Now) && hasFreeSlot(P, M, Now) ? 1 : 0;
      continue;
    }
    Out.Slots_ += M.Upstream_.Slots_;
    Out.Free_ +=
        std::max(0.0, std::floor(M.Upstream_.Slots_ - inUse(P, M, Now) + 0.5));
  }
  return Out;
}

std::map<ServiceClass, double> useAt(const SlotPool &P, Time Now) {
  double HalfLives =
      (Now - P.UseUpdatedAt_).inSeconds() / UseHalfLife.inSeconds();
  std::map<ServiceClass, double> Out = P.Use_;
  for (auto &[Class, Use] : Out)
    Use *= std::exp2(-HalfLives);
  return Out;
}

/// \returns an upstream that was granted nothing for long, if it is among the
/// first two for the object: calls are the only way to learn its state.
const Option *idleOption(const SlotPool &P, const std::vector<Option> &Options,
                         Time Now) {
  for (std::size_t I = 0; I < std::min(Options.size(), WarmUpstreams); ++I)
    if (Options[I].Wait_ <= 0 &&
        Now - Options[I].Member_->LastGrantAt_ > P.Options_.MaxIdle_)
      return &Options[I];
  return nullptr;
}

/// \returns the best upstream at which a call should make its object warm, or
/// null if it has enough or the call would pay for it.
const Option *warmingOption(const SlotPool &P,
                            const std::vector<Option> &Options,
                            const Option &BestWarm, std::size_t WarmCount,
                            const SlotDemand &D, Time Now) {
  bool HomeIsWarm = isWarm(P.Runs_, D.Route_, Options.front().Distance_);
  if (WarmCount >= WarmUpstreams && HomeIsWarm)
    return nullptr;
  for (const Option &O : Options) {
    if (WarmCount >= WarmUpstreams && &O != &Options.front())
      return nullptr; // only the first choice may become a third one
    if (O.Wait_ > 0 || isWarm(P.Runs_, D.Route_, O.Distance_))
      continue;
    Duration Left = D.ObjectiveAt_ - Now;
    bool MeetsObjective = fromSeconds(O.Run_) <= Left;
    bool LateAnyway =
        isOverdue(D, Now) || fromSeconds(BestWarm.finish()) > Left;
    return MeetsObjective || LateAnyway ? &O : nullptr;
  }
  return nullptr;
}

/// Where a call should run: now, or once that upstream has a free slot.
struct Choice {
  const Option *Now_ = nullptr;
  const Option *Later_ = nullptr;
};

Choice chooseOption(const SlotPool &P, const std::vector<Option> &Options,
                    const SlotDemand &D, double UsedFraction, Time Now) {
  const Option *Free = nullptr;
  const Option *Warm = nullptr;
  std::size_t WarmCount = 0;
  for (const Option &O : Options) {
    bool HasObject = isWarm(P.Runs_, D.Route_, O.Distance_);
    WarmCount += HasObject ? 1 : 0;
    if (HasObject && (!Warm || O.finish() * EqualRunFactor < Warm->finish()))
      Warm = &O;
    if (O.Wait_ <= 0 && (!Free || O.Cost_ * EqualRunFactor < Free->Cost_))
      Free = &O;
  }
  if (!Free || D.Object_.empty())
    return {Free, Warm};
  if (const Option *Idle = idleOption(P, Options, Now))
    return {Idle};
  if (Warm && UsedFraction < P.Options_.SpareFraction_)
    if (const Option *O = warmingOption(P, Options, *Warm, WarmCount, D, Now))
      return {O};
  if (!Warm || Warm == Free)
    return {Free};
  bool FreeIsWarm = isWarm(P.Runs_, D.Route_, Free->Distance_);
  bool Busy = UsedFraction > P.Options_.BusyFraction_;
  double Cost = Free->Cost_ * (Busy && !FreeIsWarm ? BusyColdFactor : 1);
  if (Warm->finish() * EqualRunFactor < Cost)
    return Warm->Wait_ <= 0 ? Choice{Warm} : Choice{nullptr, Warm};
  return {Free};
}

void updateExpectations(const SlotPool &P, SlotDemand &D, Time Now) {
  double StandIn = standIn(D, Now);
  D.ShortestRun_ = fromSeconds(shortestRunSeconds(P.Runs_, D.Route_, StandIn));
  D.Run_ = fromSeconds(
      usualRunSeconds(P.Runs_, D.Route_, ReuseDistance::Below5, StandIn));
}

SlotAnswer refusal(SlotPool &P, const SlotDemand &D, Duration Wait, Time Now) {
  if (D.IsReserved_)
    redeem(P.Reservations_, callerDeadline(D), objectHash(D));
  SlotSupply Supply = supplyOf(P, Now);
  SlotAnswer Out{D.From_, D.Number_, SlotResult::Refused};
  Out.Wait_ = Wait;
  Out.Overdue_ = isOverdue(D, Now);
  if (Supply.Slots_ <= 0) {
    Out.RetryAfter_ = NoUpstreamRetry;
    return Out;
  }
  double Run = std::max(D.Run_.inSeconds(), 0.001);
  // More urgent calls keep the part of the slots that they use.
  double Share = 1;
  for (const auto &[Class, Use] : useAt(P, Now))
    Share -= Class < ServiceClass(false, D.Priority_) ? Use : 0;
  Share = std::max(Share, 1.0 / SlotQueue::LowestShare);
  Out.RetryAfter_ = reserveRetry(
      P.Reservations_, P.Options_.Reservations_,
      {{},
       Supply.Slots_ / Run / std::max(P.SlotTimeFactor_, 1.0) * Share,
       callerDeadline(D),
       objectHash(D),
       D.IsRetry_},
      Now);
  return Out;
}

void recordUse(SlotPool &P, const SlotGrant &G, Time Now) {
  P.Use_ = useAt(P, Now);
  P.UseUpdatedAt_ = Now;
  std::erase_if(P.Use_, [](const auto &Entry) { return Entry.second < 0.001; });
  SlotSupply Supply = supplyOf(P, Now);
  if (Supply.Slots_ <= 0)
    return;
  // Runs of one slot second per second and slot add up to one.
  double Seconds = (Now - G.GrantedAt_).inSeconds();
  double Usual = usualRunSeconds(P.Runs_, G.Route_, ReuseDistance::Below5, 0);
  if (Usual > 0)
    P.SlotTimeFactor_ += SlotTimeGain * (Seconds / Usual - P.SlotTimeFactor_);
  P.Use_[G.Class_] +=
      Seconds / Supply.Slots_ / UseHalfLife.inSeconds() * std::log(2.0);
}

SlotAnswer grantSlot(SlotPool &P, const SlotDemand &D, const Option &O,
                     Time Now) {
  PoolMember &M = *O.Member_;
  SlotGrant G;
  G.Upstream_ = M.Upstream_.Id_;
  G.StartedAtMs_ = M.Upstream_.StartedAtMs_;
  G.Route_ = D.Route_;
  G.Object_ = D.Object_.empty() ? 0 : objectHash(D);
  G.Distance_ = O.Distance_;
  G.PaceAtStart_ = paceAt(M.Speed_, Now);
  G.GrantedAt_ = Now;
  G.ExpectedEnd_ = Now + fromSeconds(O.Run_);
  G.ExpectedRun_ = fromSeconds(
      usualRunSeconds(P.Runs_, D.Route_, O.Distance_, standIn(D, Now)) *
      M.Speed_.Factor_);
  G.EndsAt_ = D.Deadline_ + P.Options_.GrantGrace_;
  // Calls with a reservation precede those of all classes.
  G.Class_ = D.IsReserved_ ? ServiceClass(false, 0)
                           : ServiceClass(isOverdue(D, Now), D.Priority_);
  M.ExpectedEnds_.push_back(G.ExpectedEnd_);
  M.LastGrantAt_ = Now;
  if (!D.Object_.empty())
    recordObject(M.Recent_, G.Object_);
  P.Grants_[{D.From_, D.Number_}] = G;
  recordGrant(P.Queue_, D.Priority_);
  if (D.IsReserved_)
    redeem(P.Reservations_, callerDeadline(D), objectHash(D));

  SlotAnswer Out{D.From_, D.Number_, SlotResult::Granted};
  Out.Upstream_ = M.Upstream_.Id_;
  Out.StartedAtMs_ = M.Upstream_.StartedAtMs_;
  Out.ExpectedRun_ = G.ExpectedRun_;
  Out.RunLimit_ = fromSeconds(longRunSeconds(P.Runs_, D.Route_) *
                              std::max(1.0, G.PaceAtStart_));
  Out.Wait_ = Now - D.QueuedAt_;
  Out.Overdue_ = G.Class_.first;
  return Out;
}

/// Gives free slots to waiting calls, and refuses those that can't be served
/// any more.
void serve(SlotPool &P, std::vector<SlotAnswer> &Answers, Time Now) {
  if (P.Queue_.Waiting_.empty())
    return;
  removeLapsed(P.Reservations_, P.Options_.Reservations_, Now);
  for (const SlotDemand &D : takeHopeless(P.Queue_, Now))
    Answers.push_back(refusal(P, D, Now - D.QueuedAt_, Now));
  std::set<std::size_t> Served;
  Awaited Waits;
  SlotSupply Supply = supplyOf(P, Now);
  if (Supply.Free_ < 1)
    return;
  double Reserved = reservedSlots(P.Reservations_, P.Options_.Reservations_,
                                  Supply.Slots_, Now);
  std::size_t Seen = 0;
  std::vector<std::size_t> Order = serviceOrder(P.Queue_, Now);
  // Calls with a reservation are looked at first, so that slots are not held
  // back for those that wait for a certain upstream.
  if (Reserved > 0)
    std::stable_partition(Order.begin(), Order.end(), [&](std::size_t I) {
      return P.Queue_.Waiting_[I].IsReserved_;
    });
  for (std::size_t I : Order) {
    const SlotDemand &D = P.Queue_.Waiting_[I];
    if (Supply.Free_ < 1)
      break;
    if (!D.IsReserved_ && Supply.Free_ - Reserved < 1)
      continue;
    if (++Seen > MaxLookahead)
      break;
    if (D.IsReserved_)
      Reserved = std::max(0.0, Reserved - 1);
    double UsedFraction = 1 - Supply.Free_ / std::max(Supply.Slots_, 1.0);
    std::vector<Option> Options = optionsFor(P, D, Waits, Now);
    if (Options.empty())
      continue;
    Choice Chosen = chooseOption(P, Options, D, UsedFraction, Now);
    if (Chosen.Later_)
      ++Waits[Chosen.Later_->Member_];
    if (!Chosen.Now_)
      continue;
    Answers.push_back(grantSlot(P, D, *Chosen.Now_, Now));
    Served.insert(I);
    Supply.Free_ -= 1;
  }
  std::vector<SlotDemand> Left;
  for (std::size_t I = 0; I < P.Queue_.Waiting_.size(); ++I)
    if (!Served.count(I))
      Left.push_back(std::move(P.Queue_.Waiting_[I]));
  P.Queue_.Waiting_ = std::move(Left);
}

bool isWaiting(const SlotPool &P, const VmId &From, std::uint64_t Number) {
  return std::any_of(P.Queue_.Waiting_.begin(), P.Queue_.Waiting_.end(),
                     [&](const SlotDemand &D) {
                       return D.From_ == From && D.Number_ == Number;
                     });
}

/// \returns the process that a grant is for, or null if it left the pool.
PoolMember *memberOf(SlotPool &P, const SlotGrant &G) {
  PoolMember *M = findMember(P, G.Upstream_);
  return M && M->Upstream_.StartedAtMs_ == G.StartedAtMs_ ? M : nullptr;
}

void removeGrant(SlotPool &P, const SlotGrant &G) {
  PoolMember *M = memberOf(P, G);
  if (!M)
    return;
  auto At = std::find(M->ExpectedEnds_.begin(), M->ExpectedEnds_.end(),
                      G.ExpectedEnd_);
  if (At != M->ExpectedEnds_.end())
    M->ExpectedEnds_.erase(At);
}

void backOff(SlotPool &P, PoolMember &M, Time Now) {
  // Failures of calls that were sent before are part of the same event.
  if (Now < M.BackOffUntil_)
    return;
  Duration Period = P.Options_.MinBackOff_ *
                    (1LL << std::min(M.ConsecutiveFailures_ - 1, 6U));
  M.BackOffUntil_ = Now + std::min(Period, P.Options_.MaxBackOff_);
}

/// The load in an answer includes the answered call, whose grant has ended.
void recordStatedLoad(PoolMember &M, const RunReport &R, Time Now) {
  if (!R.Load_)
    return;
  double Own = static_cast<double>(M.ExpectedEnds_.size()) +
               (R.Result_ == RunResult::Shed ? 0 : 1);
  M.Others_ = std::max(0.0, *R.Load_ - Own);
  M.OthersStatedAt_ = Now;
}

void recordOutcome(SlotPool &P, PoolMember &M, const SlotGrant &G,
                   const RunReport &R, Time Now) {
  recordStatedLoad(M, R, Now);
  bool DidRun = R.Result_ != RunResult::Shed &&
                R.Result_ != RunResult::NotConnected &&
                R.Result_ != RunResult::Unused;
  if (!DidRun && G.Distance_ == ReuseDistance::Never)
    std::erase(M.Recent_.Hashes_, G.Object_); // it is not warm there
  if (R.Held_)
    M.HeldUntil_ = Now + P.Options_.HeldPeriod_;
  switch (R.Result_) {
  case RunResult::Answered:
    M.ConsecutiveFailures_ = M.ConsecutiveTimeouts_ = 0;
    recordResult(M.Speed_, false, Now);
    recordRun(P.Runs_, M.Speed_, G.Route_, G.Distance_, R.Run_.inSeconds(),
              G.PaceAtStart_, R.Pace_, Now);
    break;
  case RunResult::Failed:
  case RunResult::Shed:
    M.ConsecutiveFailures_ = M.ConsecutiveTimeouts_ = 0;
    recordResult(M.Speed_, true, Now);
    break;
  case RunResult::NotConnected:
  case RunResult::Broken:
    // Further failures of the same event don't prolong the next back-off.
    M.ConsecutiveFailures_ += Now >= M.BackOffUntil_ ? 1 : 0;
    recordResult(M.Speed_, true, Now);
    if (R.Result_ == RunResult::NotConnected ||
        M.ConsecutiveFailures_ >= FailuresToBackOff)
      backOff(P, M, Now);
    break;
  case RunResult::TimedOut:
    if (++M.ConsecutiveTimeouts_ < TimeoutsToBackOff)
      break;
    M.ConsecutiveFailures_ += Now >= M.BackOffUntil_ ? 1 : 0;
    recordResult(M.Speed_, true, Now);
    backOff(P, M, Now);
    break;
  case RunResult::Unused:
    break;
  }
}

} // namespace

std::vector<SlotAnswer> setMembers(SlotPool &P,
                                   const std::vector<PoolUpstream> &Upstreams,
                                   double WarmupRate, Time Now) {
  std::vector<PoolMember> Next;
  for (const PoolUpstream &U : Upstreams) {
    PoolMember M;
    PoolMember *Known = findMember(P, U.Id_);
    if (Known && Known->Upstream_.StartedAtMs_ == U.StartedAtMs_) {
      M = *Known;
    } else {
      // Whether others use an upstream that is new to this pool shows in the
      // load that it states. Until then half of its slots are left to them.
      M.Others_ = U.Slots_ / 2.0;
      M.OthersStatedAt_ = M.LastGrantAt_ = Now;
    }
    M.Upstream_ = U;
    Next.push_back(std::move(M));
  }
  std::sort(Next.begin(), Next.end(),
            [](const PoolMember &A, const PoolMember &B) {
              return A.Upstream_.Id_ < B.Upstream_.Id_;
            });
  P.Members_ = std::move(Next);
  P.WarmupRate_ = WarmupRate;
  std::vector<SlotAnswer> Answers;
  serve(P, Answers, Now);
  return Answers;
}

std::vector<SlotAnswer> requestSlot(SlotPool &P, SlotDemand D, Time Now) {
  std::vector<SlotAnswer> Answers;
  auto Granted = P.Grants_.find({D.From_, D.Number_});
  if (Granted != P.Grants_.end()) {
    SlotAnswer Again{D.From_, D.Number_, SlotResult::Granted};
    Again.Upstream_ = Granted->second.Upstream_;
    Again.StartedAtMs_ = Granted->second.StartedAtMs_;
    Again.ExpectedRun_ = Granted->second.ExpectedRun_;
    Again.Overdue_ = Granted->second.Class_.first;
    return {Again};
  }
  if (isWaiting(P, D.From_, D.Number_))
    return {};
  D.IsReserved_ =
      D.IsRetry_ &&
      hasReservation(P.Reservations_, callerDeadline(D), objectHash(D));
  D.QueuedAt_ = Now;
  VmId From = D.From_;
  std::uint64_t Number = D.Number_;
  updateExpectations(P, D, Now);
  enqueue(P.Queue_, D, Now);
  serve(P, Answers, Now);
  if (!isWaiting(P, From, Number))
    return Answers;
  SlotSupply Supply = supplyOf(P, Now);
  Supply.Slots_ /= std::max(P.SlotTimeFactor_, 1.0);
  Supply.Use_ = useAt(P, Now);
  Supply.ReservedShare_ = P.Options_.Reservations_.ThroughputFraction_;
  Duration Wait = expectedWait(P.Queue_, D, Supply, Now);
  if (!hasChance(D, Wait, Now)) {
    cancel(P.Queue_, From, Number);
    Answers.push_back(refusal(P, D, Wait, Now));
    return Answers;
  }
  SlotAnswer Queued{From, Number, SlotResult::Queued};
  Queued.Wait_ = Wait;
  Answers.push_back(Queued);
  return Answers;
}

std::vector<SlotAnswer> releaseSlot(SlotPool &P, const VmId &From,
                                    std::uint64_t Number, const RunReport &R,
                                    Time Now) {
  std::vector<SlotAnswer> Answers;
  if (cancel(P.Queue_, From, Number))
    return Answers;
  auto Found = P.Grants_.find({From, Number});
  if (Found == P.Grants_.end())
    return Answers;
  SlotGrant G = Found->second;
  P.Grants_.erase(Found);
  removeGrant(P, G);
  if (PoolMember *M = memberOf(P, G))
    recordOutcome(P, *M, G, R, Now);
  if (R.Result_ != RunResult::Unused)
    recordUse(P, G, Now);
  serve(P, Answers, Now);
  return Answers;
}

std::vector<SlotAnswer> expireSlots(SlotPool &P, const std::set<VmId> &LiveVms,
                                    Time Now) {
  std::vector<SlotAnswer> Answers;
  for (auto It = P.Grants_.begin(); It != P.Grants_.end();) {
    bool Ended = Now >= It->second.EndsAt_ || !LiveVms.count(It->first.first);
    if (Ended)
      removeGrant(P, It->second);
    It = Ended ? P.Grants_.erase(It) : std::next(It);
  }
  std::erase_if(P.Queue_.Waiting_,
                [&](const SlotDemand &D) { return !LiveVms.count(D.From_); });
  for (SlotDemand &D : P.Queue_.Waiting_)
    updateExpectations(P, D, Now);
  serve(P, Answers, Now);
  return Answers;
}

SlotPoolUse useOf(const SlotPool &P, Time Now) {
  SlotSupply Supply = supplyOf(P, Now);
  return {Supply.Slots_, Supply.Slots_ - Supply.Free_, P.Queue_.Waiting_.size(),
          P.Reservations_.Entries_.size()};
}

} // namespace lagoonpoint
