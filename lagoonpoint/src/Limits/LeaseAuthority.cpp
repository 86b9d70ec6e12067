#include "lagoonpoint/src/Limits/LeaseAuthority.h"

#include "lagoonpoint/src/Limits/util/Demand.h"

#include <cmath>
#include <set>

namespace lagoonpoint {

namespace {

/// Relative tolerance for rounding in sums of doubles.
constexpr double RoundingTolerance = 1e-9;
/// Fraction of the burst that all VMs together may store in their buckets. The
/// rest stays in the pool, available to every VM.
constexpr double VmBurstShare = 0.3;
constexpr Duration MinRetry = Duration::millis(20);
constexpr Duration MaxRetry = Duration::millis(250);

using HolderRecord = LeaseAuthority::HolderRecord;
using Lease = LeaseAuthority::Lease;

Amount nonNegative(Amount A) { return componentMax(A, Amount()); }

bool leading(const LeaseAuthority &A, Time Now) {
  return Now < A.LeadershipUntil_;
}
bool predecessorLeasesMayLive(const LeaseAuthority &A, Time Now) {
  return Now < A.PredecessorUntil_;
}

LeasedAmount liveAmount(const HolderRecord &H, Time Now) {
  LeasedAmount Current =
      Now < H.Current_.End_ ? H.Current_.Amount_ : LeasedAmount();
  LeasedAmount Offered =
      Now < H.Offered_.End_ ? H.Offered_.Amount_ : LeasedAmount();
  return {componentMax(Current.FromBase_, Offered.FromBase_),
          componentMax(Current.FromFloors_, Offered.FromFloors_)};
}

LeasedAmount operator+(const LeasedAmount &A, const LeasedAmount &B) {
  return {A.FromBase_ + B.FromBase_, A.FromFloors_ + B.FromFloors_};
}

/// \returns the sum of floors that are ceded at least until \p At.
Amount cededUntil(const LeaseAuthority &A, Time At) {
  Amount Sum;
  for (const auto &[Vm, H] : A.Holders_)
    Sum = Sum + H.Ceded_.at(At);
  return Sum;
}

/// Iterates over all floors; the result is cached in Base_ until the allotments
/// change.
Amount baseOfAllotments(const LeaseAuthority &A) {
  if (A.Allotments_.empty() || A.Settled_ < A.Allotments_.front().Revision_)
    return {};
  std::map<VmId, Amount> Largest;
  for (const Allotment &Each : A.Allotments_)
    for (const auto &[Vm, Floor] : Each.Floors_)
      Largest[Vm] = componentMax(Largest[Vm], Floor);
  Amount Floors;
  for (const auto &[Vm, Floor] : Largest)
    Floors = Floors + Floor;
  return nonNegative(A.Allotments_.back().Total_ - Floors);
}

/// \returns the refill rate and capacity of the pool, given the leases at
/// \p LeasedAt and the floors ceded at least until \p CededAt.
Amount poolAmount(const LeaseAuthority &A, Time LeasedAt, Time CededAt) {
  return nonNegative(baseOf(A) + cededUntil(A, CededAt) -
                     outstanding(A, LeasedAt).total());
}

void accrue(LeaseAuthority &A, Time Now) {
  if (Now <= A.UpdatedAt_)
    return;
  Time From = std::max(A.UpdatedAt_, A.PredecessorUntil_);
  if (From < Now) {
    // Between two inputs, leases and ceded floors can only expire. The leases
    // at the start and the ceded floors at the end give a lower bound.
    Amount Minimum = poolAmount(A, A.UpdatedAt_, Now);
    A.Tokens_ += Minimum.Rate_ * minElapsedSeconds(Now - From);
    A.Tokens_ = std::min(A.Tokens_, Minimum.Burst_);
  }
  A.UpdatedAt_ = Now;
  for (auto &[Vm, H] : A.Holders_)
    H.Ceded_.prune(Now);
}

void clipPool(LeaseAuthority &A, Time Now) {
  A.Tokens_ = std::min(A.Tokens_, poolAmount(A, Now, Now).Burst_);
  LAGOONPOINT_ASSERT(A.Tokens_ >= 0, "lease.pool");
}

/// \returns the holder's record, null if the message isn't newer than all
/// earlier ones of this holder.
HolderRecord *holderIfNewest(LeaseAuthority &A, const VmId &From, Incarnation I,
                             std::uint64_t Sequence) {
  HolderRecord &H = A.Holders_[From];
  if (I < H.Incarnation_ || (I == H.Incarnation_ && Sequence <= H.Sequence_))
    return nullptr;
  if (I > H.Incarnation_) {
    // The process that held these leases has ended, but the floors that it
    // ceded stay ceded until they expire.
    H.Current_ = {};
    H.Offered_ = {};
  }
  H.Incarnation_ = I;
  H.Sequence_ = Sequence;
  return &H;
}

/// Records which lease the holder uses. It can't accept any other grant that
/// was sent before this request.
void reconcile(HolderRecord &H, const LeaseRequest &Request) {
  if (H.Offered_.Sequence_ == Request.AcceptedSequence_)
    H.Current_ = H.Offered_;
  if (H.Current_.Sequence_ != Request.AcceptedSequence_)
    H.Current_ = {};
  H.Offered_ = {};
  H.Current_.Amount_.FromBase_ =
      componentMin(H.Current_.Amount_.FromBase_, Request.Retained_.FromBase_);
  H.Current_.Amount_.FromFloors_ = componentMin(H.Current_.Amount_.FromFloors_,
                                                Request.Retained_.FromFloors_);
}

void recordDemand(HolderRecord &H, const LeaseRequest &Request, Time Now) {
  H.Demand_ = Request.Demand_;
  H.WaitingUnits_ = Request.WaitingUnits_;
  H.UsableFloor_ = Request.UsableFloor_;
  H.LastRequestAt_ = Now;
  if (Request.Timestamp_ == 0)
    return;
  // The holder sent the request after it received the timestamp, so its floor
  // stays ceded at least until this time.
  Time End = Time(Request.Timestamp_) + Request.CededFor_ -
             clockMargin(Request.CededFor_);
  if (End > Now)
    H.Ceded_.add(Request.CededFloor_, End);
}

bool active(const LeaseAuthority &A, const HolderRecord &H, Time Now) {
  return Now - H.LastRequestAt_ < A.Timing_.Length_;
}

/// \returns the factor that scales down the VMs' bursts so that their sum fits
/// into VmBurstShare.
double burstScale(const LeaseAuthority &A, Time Now) {
  double Wanted = 0;
  for (const auto &[Vm, H] : A.Holders_)
    if (active(A, H, Now))
      Wanted += internal::burstFor(H.Demand_);
  double Share = A.Allotments_.back().Total_.Burst_ * VmBurstShare;
  return Wanted > Share ? Share / Wanted : 1;
}

/// \returns the rate and burst that a VM should be able to use without further
/// requests.
Amount desiredAmount(const HolderRecord &H, double Scale) {
  double Burst = internal::burstFor(H.Demand_) * Scale;
  if (Burst < 1) // admits no request
    return {};
  return {internal::refillRateFor(H.Demand_, Burst), Burst};
}

/// \returns desiredAmount(), with the part of its rate beyond the usable floor
/// reduced proportionally if the demand of all holders exceeds what is
/// leasable.
Amount chooseTarget(const LeaseAuthority &A, const HolderRecord &H,
                    const Amount &Leasable, Time Now) {
  double Scale = burstScale(A, Now);
  double Wanted = 0;
  for (const auto &[Vm, Other] : A.Holders_)
    if (active(A, Other, Now))
      Wanted +=
          nonNegative(desiredAmount(Other, Scale) - Other.UsableFloor_).Rate_;
  Amount Target = desiredAmount(H, Scale);
  if (Wanted <= Leasable.Rate_)
    return Target;
  double Excess = std::max(0.0, Target.Rate_ - H.UsableFloor_.Rate_);
  Target.Rate_ -= Excess * (1 - Leasable.Rate_ / Wanted);
  return Target;
}

LeasedAmount leasable(const LeaseAuthority &A, Time Until) {
  return {baseOf(A), cededUntil(A, Until)};
}

/// \returns the amount that can be leased to \p To until \p Until in addition
/// to the leases of all other holders.
LeasedAmount availableTo(const LeaseAuthority &A, const VmId &To, Time Now,
                         Time Until) {
  LeasedAmount Available = leasable(A, Until);
  for (const auto &[Vm, Other] : A.Holders_) {
    if (Vm == To)
      continue;
    LeasedAmount Live = liveAmount(Other, Now);
    Available.FromBase_ = Available.FromBase_ - Live.FromBase_;
    Available.FromFloors_ = Available.FromFloors_ - Live.FromFloors_;
  }
  return {nonNegative(Available.FromBase_), nonNegative(Available.FromFloors_)};
}

LeasedAmount splitBySource(Amount Target, const LeasedAmount &Available) {
  LeasedAmount Out;
  Out.FromBase_ = roundedDown(componentMin(Target, Available.FromBase_));
  Out.FromFloors_ = roundedDown(
      componentMin(nonNegative(Target - Out.FromBase_), Available.FromFloors_));
  return Out;
}

LeasedAmount chooseLease(const LeaseAuthority &A, const VmId &To,
                         const LeaseRequest &Request, const Amount &Target,
                         Time Now, Time End) {
  LeasedAmount Available = availableTo(A, To, Now, End);
  if (predecessorLeasesMayLive(A, Now)) {
    // The base parts of all leases that predecessors granted add up to at most
    // the base.
    LeasedAmount Renewed{roundedDown(componentMin(Request.Retained_.FromBase_,
                                                  Available.FromBase_)),
                         {}};
    return Renewed;
  }
  Amount Usage = Target + Amount{0, Request.WaitingUnits_};
  Amount Needed = nonNegative(Usage - Request.UsableFloor_);
  // Only the holder shrinks a lease, at its next request, following the target.
  // If it were shrunk here, neither side could use the difference until that
  // request.
  return splitBySource(componentMax(Needed, Request.Retained_.total()),
                       Available);
}

double chooseTokens(const LeaseAuthority &A, const LeaseRequest &Request,
                    const LeaseGrant &G) {
  double Headroom = Request.Headroom_ + G.Lease_.total().Burst_;
  double Wanted = Request.WaitingUnits_ + G.Target_.Burst_;
  double Tokens = std::max(0.0, std::min(Headroom, Wanted));
  // If the pool doesn't suffice, grant whole units only: a fraction of a unit
  // admits no request.
  Tokens = Tokens <= A.Tokens_ ? Tokens : std::floor(A.Tokens_);
  return internal::roundedDown(Tokens);
}

Duration retryDelay(const LeaseAuthority &A, const LeaseGrant &G,
                    const LeaseRequest &Request, Time Now) {
  double Missing = Request.WaitingUnits_ - G.Tokens_;
  if (Missing <= 0)
    return {};
  double RefillRate = poolAmount(A, Now, Now).Rate_;
  if (RefillRate <= 0)
    return MaxRetry;
  auto Millis = static_cast<std::int64_t>(std::ceil(1000.0 / RefillRate));
  return std::clamp(Duration(Millis), MinRetry, MaxRetry);
}

void checkConservation(const LeaseAuthority &A, const LeasedAmount &Before,
                       Time Now, Time End) {
  LeasedAmount After = outstanding(A, Now);
  Amount FromBase = componentMax(baseOf(A), Before.FromBase_);
  Amount FromFloors = componentMax(cededUntil(A, End), Before.FromFloors_);
  double Tolerance = 1 + RoundingTolerance;
  LAGOONPOINT_ASSERT(After.FromBase_.Rate_ <= FromBase.Rate_ * Tolerance,
                     "lease.conservation");
  LAGOONPOINT_ASSERT(After.FromBase_.Burst_ <= FromBase.Burst_ * Tolerance,
                     "lease.conservation");
  LAGOONPOINT_ASSERT(After.FromFloors_.Rate_ <= FromFloors.Rate_ * Tolerance,
                     "lease.conservation");
  LAGOONPOINT_ASSERT(After.FromFloors_.Burst_ <= FromFloors.Burst_ * Tolerance,
                     "lease.conservation");
}

} // namespace

LeaseAuthority makeAuthority(const QuantityId &Id, LeaseTiming Timing,
                             Time Now) {
  LeaseAuthority A;
  A.Id_ = Id;
  A.Timing_ = Timing;
  A.UpdatedAt_ = Now;
  return A;
}

void lead(LeaseAuthority &A, Term T, Time Until, Time Now) {
  if (T < A.Term_)
    return;
  accrue(A, Now);
  if (T > A.Term_) {
    A.Holders_.clear();
    A.Tokens_ = 0;
    Duration Longest = A.Timing_.Length_ + clockMargin(A.Timing_.Length_);
    A.PredecessorUntil_ = Now + Longest;
  }
  A.Term_ = T;
  A.LeadershipUntil_ = Until;
}

void stepDown(LeaseAuthority &A, Time Now) {
  A.LeadershipUntil_ = std::min(A.LeadershipUntil_, Now);
  A.Tokens_ = 0;
}

void addAllotment(LeaseAuthority &A, const Allotment &New, Time Now) {
  accrue(A, Now);
  if (!A.Allotments_.empty() && New.Revision_ <= A.Allotments_.back().Revision_)
    return;
  A.Allotments_.push_back(New);
  A.Base_ = baseOfAllotments(A);
  clipPool(A, Now);
}

void dropAllotmentsBefore(LeaseAuthority &A, Revision R, Time Now) {
  accrue(A, Now);
  A.Settled_ = std::max(A.Settled_, R);
  while (A.Allotments_.size() > 1 && A.Allotments_[1].Revision_ <= R)
    A.Allotments_.erase(A.Allotments_.begin());
  A.Base_ = baseOfAllotments(A);
}

Amount baseOf(const LeaseAuthority &A) { return A.Base_; }

LeasedAmount outstanding(const LeaseAuthority &A, Time Now) {
  LeasedAmount Sum;
  for (const auto &[Vm, H] : A.Holders_)
    Sum = Sum + liveAmount(H, Now);
  return Sum;
}

std::optional<LeaseGrant> handleLeaseRequest(LeaseAuthority &A,
                                             const VmId &From,
                                             const LeaseRequest &Request,
                                             Time Now) {
  if (!leading(A, Now) || Request.Term_ > A.Term_ || A.Allotments_.empty())
    return std::nullopt;
  LeaseGrant G;
  G.Quantity_ = Request.Quantity_;
  G.Incarnation_ = Request.Incarnation_;
  G.Sequence_ = Request.Sequence_;
  G.Term_ = A.Term_;
  G.Length_ = A.Timing_.Length_;
  G.Timestamp_ = Now.count();
  if (Request.Term_ < A.Term_)
    return G;
  accrue(A, Now);
  HolderRecord *H =
      holderIfNewest(A, From, Request.Incarnation_, Request.Sequence_);
  if (!H)
    return std::nullopt;
  reconcile(*H, Request);
  recordDemand(*H, Request, Now);
  if (!predecessorLeasesMayLive(A, Now))
    A.Tokens_ += Request.Returned_;
  clipPool(A, Now);

  Amount Leasable = leasable(A, Now + A.Timing_.Length_).total();
  if (!predecessorLeasesMayLive(A, Now))
    G.Target_ = roundedDown(chooseTarget(A, *H, Leasable, Now));
  else
    G.Target_ = Request.UsableFloor_ + Request.Retained_.FromBase_;
  if (G.Target_ == Amount() && Request.Retained_.total() == Amount())
    G.Length_ = ShortLeaseLength;
  Time End = Now + G.Length_;
  LeasedAmount Before = outstanding(A, Now);
  G.Lease_ = chooseLease(A, From, Request, G.Target_, Now, End);
  H->Offered_ = {G.Lease_, End, Request.Sequence_};
  checkConservation(A, Before, Now, End);
  G.Tokens_ = chooseTokens(A, Request, G);
  A.Tokens_ -= G.Tokens_;
  clipPool(A, Now);
  G.RetryAfter_ = retryDelay(A, G, Request, Now);
  return G;
}

void handleLeaseReturn(LeaseAuthority &A, const VmId &From,
                       const LeaseReturn &Return, Time Now) {
  if (!leading(A, Now) || Return.Term_ != A.Term_)
    return;
  accrue(A, Now);
  HolderRecord *H =
      holderIfNewest(A, From, Return.Incarnation_, Return.Sequence_);
  if (!H)
    return;
  H->Current_ = {};
  H->Offered_ = {};
  if (!predecessorLeasesMayLive(A, Now))
    A.Tokens_ += Return.Tokens_;
  clipPool(A, Now);
}

} // namespace lagoonpoint
