#include "lagoonpoint/src/Limits/LeaseHolder.h"

#include "lagoonpoint/src/Limits/util/Demand.h"

#include <cmath>

namespace lagoonpoint {

namespace {

constexpr std::size_t MaxWaitingCalls = 1024;
/// Minimum time between requests while no call is waiting.
constexpr Duration MinRequestInterval = Duration::millis(100);
constexpr Duration MinRetryAfter = Duration::millis(20);
/// A request is sent early when the bucket holds less than this fraction of the
/// target.
constexpr double LowWatermark = 0.5;
/// A request is sent early, to return rate, when a full bucket has lost this
/// many units.
constexpr double MaxOverflow = 1;
/// A request is sent early, to return rate, when less than this fraction of the
/// leased rate is needed.
constexpr double MinUtilization = 0.7;
/// Calls don't wait for an authority after this many consecutive requests
/// without an answer.
constexpr unsigned MaxUnansweredRequests = 2;
/// Refill, in seconds of the usable rate, that a bucket may receive between a
/// request and its answer.
constexpr double ResponseFillSeconds = 0.1;

Amount smallestFloor(const LeaseHolder &H) {
  if (H.Floors_.empty() || H.Settled_ < H.Floors_.front().Revision_)
    return {};
  Amount Smallest = H.Floors_.front().Floor_;
  for (const auto &F : H.Floors_)
    Smallest = componentMin(Smallest, F.Floor_);
  return Smallest;
}

Amount nonNegative(Amount A) { return componentMax(A, Amount()); }

double waitingUnits(const LeaseHolder &H) {
  double Sum = 0;
  for (const auto &W : H.Waiting_)
    Sum += W.Cost_;
  return Sum;
}

/// Refills the bucket up to Now. The lease or a ceded floor may have expired
/// since UpdatedAt_, so the lowest rate that can have applied since then is
/// used.
void accrue(LeaseHolder &H, Time Now) {
  if (Now <= H.UpdatedAt_)
    return;
  Amount Minimum = usableFloor(H, H.UpdatedAt_) + liveLease(H, Now);
  double Limit = Minimum.Burst_;
  if (H.Pending_)
    Limit = std::min(Limit, H.Pending_->Ceiling_);
  double Filled =
      H.Tokens_ + Minimum.Rate_ * minElapsedSeconds(Now - H.UpdatedAt_);
  H.Tokens_ = std::min(Filled, Limit);
  H.Overflow_ += Filled - H.Tokens_;
  H.UpdatedAt_ = Now;
  H.Ceded_.prune(Now);
  if (H.Pending_ && Now - H.Pending_->SentAt_ >= LeaseRequestTimeout) {
    H.Pending_.reset();
    ++H.UnansweredRequests_;
  }
}

/// Drops tokens beyond the bucket's current limit.
void clip(LeaseHolder &H, Time Now) {
  double Limit = usableFloor(H, Now).Burst_ + liveLease(H, Now).Burst_;
  H.Tokens_ = std::min(H.Tokens_, Limit);
  LAGOONPOINT_ASSERT(H.Tokens_ >= 0, "lease.bucket");
}

/// \returns the target, reduced where demand has fallen, plus the units of
/// waiting calls.
Amount neededAmount(const LeaseHolder &H, double Waiting) {
  double Burst = std::min(H.Target_.Burst_, internal::burstFor(H.Demand_));
  return {std::min(H.Target_.Rate_, H.Demand_), Burst + Waiting};
}

bool earlyRequestDue(const LeaseHolder &H, Time Now) {
  if (Now < H.ExhaustedUntil_ || H.UnansweredRequests_ >= MaxUnansweredRequests)
    return false;
  if (!H.Waiting_.empty())
    return true;
  bool Low = H.Tokens_ < H.Target_.Burst_ * LowWatermark;
  double Rate = liveLease(H, Now).Rate_;
  double Needed = neededAmount(H, 0).Rate_ - usableFloor(H, Now).Rate_;
  bool Unused = Rate > 0 &&
                (Needed < Rate * MinUtilization || H.Overflow_ >= MaxOverflow);
  return (Low || Unused) &&
         Now - H.NextRenewal_ + H.Timing_.renewalInterval() >=
             MinRequestInterval;
}

/// Reduces a lease to what is needed, first the part from ceded floors.
LeasedAmount shrinkLease(LeasedAmount L, Amount Needed) {
  Amount Excess = nonNegative(L.total() - Needed);
  Amount FromFloors = componentMin(L.FromFloors_, Excess);
  L.FromFloors_ = L.FromFloors_ - FromFloors;
  L.FromBase_ = nonNegative(L.FromBase_ - (Excess - FromFloors));
  return L;
}

} // namespace

LeaseHolder makeHolder(const QuantityId &Id, Incarnation I, LeaseTiming Timing,
                       Time Now) {
  LeaseHolder H;
  H.Id_ = Id;
  H.Incarnation_ = I;
  H.Timing_ = Timing;
  H.UpdatedAt_ = Now;
  H.DemandUpdatedAt_ = Now;
  H.NextRenewal_ = Now;
  return H;
}

void addFloor(LeaseHolder &H, Revision R, Amount Floor, Time CededUntil,
              Time Now) {
  accrue(H, Now);
  if (!H.Floors_.empty() && R <= H.Floors_.back().Revision_)
    return;
  H.Floors_.push_back({R, Floor});
  if (CededUntil > Now)
    H.Ceded_.add(Floor, CededUntil);
  clip(H, Now);
}

void dropFloorsBefore(LeaseHolder &H, Revision R, Time Now) {
  accrue(H, Now);
  H.Settled_ = std::max(H.Settled_, R);
  while (H.Floors_.size() > 1 && H.Floors_[1].Revision_ <= R)
    H.Floors_.erase(H.Floors_.begin());
}

void setAuthority(LeaseHolder &H, const VmId &Authority, Term T, Time Now) {
  if (T < H.Term_ || (T == H.Term_ && Authority == H.Authority_))
    return;
  accrue(H, Now);
  H.Authority_ = Authority;
  H.Term_ = T;
  H.Timestamp_ = 0;
  H.Pending_.reset();
  H.UnansweredRequests_ = 0;
  H.NextRenewal_ = Now;
  H.ExhaustedUntil_ = Now;
}

Amount usableFloor(const LeaseHolder &H, Time Now) {
  return nonNegative(smallestFloor(H) - H.Ceded_.at(Now));
}

Amount liveLease(const LeaseHolder &H, Time Now) {
  return Now < H.LeaseUntil_ ? H.Lease_.total() : Amount();
}

TakeResult take(LeaseHolder &H, std::uint64_t Ticket, double Cost,
                Time Deadline, Time Now) {
  accrue(H, Now);
  clip(H, Now);
  H.RequestedUnits_ += Cost;
  if (H.Waiting_.empty() && H.Tokens_ >= Cost) {
    H.Tokens_ -= Cost;
    return {TakeStatus::Taken, Ticket, {}};
  }
  bool Reachable =
      !H.Authority_.empty() && H.UnansweredRequests_ < MaxUnansweredRequests;
  bool MayWait = Reachable && Now >= H.ExhaustedUntil_ && Deadline > Now &&
                 H.Waiting_.size() < MaxWaitingCalls;
  if (!MayWait)
    return {TakeStatus::Exhausted, Ticket,
            std::max(H.ExhaustedUntil_ - Now, MinRetryAfter)};
  Time Until = std::min(Deadline, Now + MaxLeaseWait);
  H.Waiting_.push_back({Ticket, Cost, Until, H.Sequence_});
  return {TakeStatus::Waiting, Ticket, {}};
}

std::vector<TakeResult> completeWaits(LeaseHolder &H, Time Now) {
  accrue(H, Now);
  clip(H, Now);
  std::vector<TakeResult> Completed;
  while (!H.Waiting_.empty() && H.Tokens_ >= H.Waiting_.front().Cost_) {
    H.Tokens_ -= H.Waiting_.front().Cost_;
    Completed.push_back({TakeStatus::Taken, H.Waiting_.front().Ticket_, {}});
    H.Waiting_.pop_front();
  }
  std::erase_if(H.Waiting_, [&](const LeaseHolder::Waiter &W) {
    bool Answered =
        Now < H.ExhaustedUntil_ && H.AcceptedSequence_ > W.AfterSequence_;
    if (Now < W.Until_ && !Answered)
      return false;
    Completed.push_back({TakeStatus::Exhausted, W.Ticket_,
                         std::max(H.ExhaustedUntil_ - Now, MinRetryAfter)});
    return true;
  });
  return Completed;
}

std::optional<LeaseRequest> nextLeaseRequest(LeaseHolder &H, Time Now) {
  accrue(H, Now);
  clip(H, Now);
  internal::updateDemand(H.Demand_, H.RequestedUnits_, H.DemandUpdatedAt_, Now);
  if (H.Authority_.empty() || H.Pending_)
    return std::nullopt;
  if (Now < H.NextRenewal_ && !earlyRequestDue(H, Now))
    return std::nullopt;

  if (H.Overflow_ >= MaxOverflow)
    H.Demand_ /= 2;
  H.Overflow_ = 0;
  Amount Floor = smallestFloor(H);
  double WaitingUnits = waitingUnits(H);
  Amount Needed = neededAmount(H, WaitingUnits);
  LeaseRequest Request;
  Request.Quantity_ = H.Id_;
  Request.Incarnation_ = H.Incarnation_;
  Request.Sequence_ = ++H.Sequence_;
  Request.Term_ = H.Term_;
  Request.AcceptedSequence_ = H.AcceptedSequence_;
  Request.Demand_ = internal::roundedDown(H.Demand_);
  Request.WaitingUnits_ = WaitingUnits;
  Request.Timestamp_ = H.Timestamp_;
  Request.CededFor_ = H.Timing_.cedeDuration();
  // An authority that can't be reached has no use for a ceded floor; this VM
  // would only lose it.
  if (H.Timestamp_ != 0 && H.UnansweredRequests_ == 0) {
    Request.CededFloor_ = roundedUp(nonNegative(Floor - Needed));
    H.Ceded_.add(Request.CededFloor_, Now + Request.CededFor_);
  }
  Request.UsableFloor_ = roundedDown(usableFloor(H, Now));
  if (Now >= H.LeaseUntil_)
    H.Lease_ = {};
  H.Lease_ = shrinkLease(H.Lease_, nonNegative(Needed - Request.UsableFloor_));
  H.Lease_ = {roundedDown(H.Lease_.FromBase_),
              roundedDown(H.Lease_.FromFloors_)};
  Request.Retained_ = H.Lease_;
  Amount Usable = Request.UsableFloor_ + H.Lease_.total();
  Request.Returned_ =
      internal::roundedDown(std::max(0.0, H.Tokens_ - Usable.Burst_));
  H.Tokens_ = std::min(H.Tokens_, Usable.Burst_);
  double Ceiling = Usable.Burst_;
  if (H.UnansweredRequests_ == 0)
    Ceiling = std::min(Ceiling, H.Tokens_ + Usable.Rate_ * ResponseFillSeconds);
  Request.Headroom_ =
      internal::roundedDown(Request.UsableFloor_.Burst_ - Ceiling);
  H.Pending_ = LeaseHolder::PendingRequest{Request.Sequence_, Now, Ceiling};
  H.NextRenewal_ = Now + H.Timing_.renewalInterval();
  return Request;
}

void acceptGrant(LeaseHolder &H, const LeaseGrant &G, Time Now) {
  accrue(H, Now);
  bool MatchesRequest = H.Pending_ && G.Sequence_ == H.Pending_->Sequence_ &&
                        G.Incarnation_ == H.Incarnation_ && G.Term_ >= H.Term_;
  if (!MatchesRequest)
    return;
  H.UnansweredRequests_ = 0;
  if (G.Term_ > H.Term_) {
    setAuthority(H, H.Authority_, G.Term_, Now);
    return;
  }
  Time End = H.Pending_->SentAt_ + G.Length_ - clockMargin(G.Length_);
  H.Pending_.reset();
  H.Timestamp_ = G.Timestamp_;
  H.Lease_ = G.Lease_;
  H.Target_ = G.Target_;
  H.LeaseUntil_ = End;
  H.AcceptedSequence_ = G.Sequence_;
  if (Now < End)
    H.Tokens_ += G.Tokens_;
  clip(H, Now);
  H.ExhaustedUntil_ = Now + G.RetryAfter_;
}

std::optional<LeaseReturn> releaseLease(LeaseHolder &H, Time Now) {
  accrue(H, Now);
  clip(H, Now);
  bool HasLease = Now < H.LeaseUntil_ && H.Lease_.total() > Amount();
  H.Pending_.reset();
  if (!HasLease || H.Authority_.empty())
    return std::nullopt;
  H.Lease_ = {};
  H.LeaseUntil_ = Now;
  double Retained = std::min(H.Tokens_, usableFloor(H, Now).Burst_);
  LeaseReturn Return{H.Id_, H.Incarnation_, ++H.Sequence_, H.Term_,
                     H.Tokens_ - Retained};
  H.Tokens_ = Retained;
  return Return;
}

} // namespace lagoonpoint
