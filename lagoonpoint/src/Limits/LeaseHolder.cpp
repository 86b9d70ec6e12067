#include "lagoonpoint/src/Limits/LeaseHolder.h"

#include "lagoonpoint/src/Limits/util/Demand.h"

#include <cmath>

namespace lagoonpoint {

namespace {

constexpr std::size_t MaxWaiting = 1024;
/// An ask for which no call waits is sent at most this often.
constexpr Duration AskGap = Duration::millis(100);
constexpr Duration MinRetryAfter = Duration::millis(20);
/// An early ask is sent when less than this part of the target is stored.
constexpr double LowWater = 0.5;
/// An early ask gives rate back when a full bucket has lost so many units.
constexpr double MaxOverflow = 1;
/// An early ask gives rate back when less than this part of it is needed.
constexpr double MinUse = 0.7;
/// Calls don't wait for an authority that left so many asks unanswered.
constexpr unsigned MaxUnanswered = 2;
/// What a bucket may fill up to between an ask and its answer.
constexpr double AnswerSeconds = 0.1;

Amount declaredFloor(const LeaseHolder &H) {
  if (H.Floors_.empty() || H.Settled_ < H.Floors_.front().Revision_)
    return {};
  Amount Least = H.Floors_.front().Floor_;
  for (const auto &F : H.Floors_)
    Least = least(Least, F.Floor_);
  return Least;
}

Amount notNegative(Amount A) { return most(A, Amount()); }

double waitingUnits(const LeaseHolder &H) {
  double Sum = 0;
  for (const auto &W : H.Waiting_)
    Sum += W.Cost_;
  return Sum;
}

/// Fills the bucket up to Now. A lease or promise may have ended since
/// Updated_, so the rate is the least it can have been all along.
void accrue(LeaseHolder &H, Time Now) {
  if (Now <= H.Updated_)
    return;
  Amount Surely = usableFloor(H, H.Updated_) + liveLease(H, Now);
  double Limit = Surely.Burst_;
  if (H.Pending_)
    Limit = std::min(Limit, H.Pending_->Ceiling_);
  double Filled = H.Tokens_ + Surely.Rate_ * surelyPassed(Now - H.Updated_);
  H.Tokens_ = std::min(Filled, Limit);
  H.Overflow_ += Filled - H.Tokens_;
  H.Updated_ = Now;
  H.Aside_.prune(Now);
  if (H.Pending_ && Now - H.Pending_->SentAt_ >= AskTimeout) {
    H.Pending_.reset();
    ++H.Unanswered_;
  }
}

/// Drops tokens that the bucket can no longer hold.
void clip(LeaseHolder &H, Time Now) {
  double Limit = usableFloor(H, Now).Burst_ + liveLease(H, Now).Burst_;
  H.Tokens_ = std::min(H.Tokens_, Limit);
  LAGOONPOINT_ASSERT(H.Tokens_ >= 0, "lease.bucket");
}

/// The target, less where demand has fallen, and what calls wait for.
Amount neededNow(const LeaseHolder &H, double Waiting) {
  double Store = std::min(H.Target_.Burst_, internal::storeFor(H.Demand_));
  return {std::min(H.Target_.Rate_, H.Demand_), Store + Waiting};
}

bool earlyAskDue(const LeaseHolder &H, Time Now) {
  if (Now < H.DryUntil_ || H.Unanswered_ >= MaxUnanswered)
    return false;
  if (!H.Waiting_.empty())
    return true;
  bool Low = H.Tokens_ < H.Target_.Burst_ * LowWater;
  double Rate = liveLease(H, Now).Rate_;
  double Needed = neededNow(H, 0).Rate_ - usableFloor(H, Now).Rate_;
  bool Unused =
      Rate > 0 && (Needed < Rate * MinUse || H.Overflow_ >= MaxOverflow);
  return (Low || Unused) &&
         Now - H.NextRenew_ + H.Timing_.renewEvery() >= AskGap;
}

/// Gives up what the demand doesn't need, soft part first.
Lent shrink(Lent L, Amount Needed) {
  Amount Excess = notNegative(L.total() - Needed);
  Amount Soft = least(L.Soft_, Excess);
  L.Soft_ = L.Soft_ - Soft;
  L.Firm_ = notNegative(L.Firm_ - (Excess - Soft));
  return L;
}

} // namespace

LeaseHolder makeHolder(const QuantityId &Id, Incarnation I, LeaseTiming Timing,
                       Time Now) {
  LeaseHolder H;
  H.Id_ = Id;
  H.Incarnation_ = I;
  H.Timing_ = Timing;
  H.Updated_ = Now;
  H.DemandAt_ = Now;
  H.NextRenew_ = Now;
  return H;
}

void declareFloor(LeaseHolder &H, Revision R, Amount Floor, Time AsideUntil,
                  Time Now) {
  accrue(H, Now);
  if (!H.Floors_.empty() && R <= H.Floors_.back().Revision_)
    return;
  H.Floors_.push_back({R, Floor});
  if (AsideUntil > Now)
    H.Aside_.add(Floor, AsideUntil);
  clip(H, Now);
}

void settleFloors(LeaseHolder &H, Revision R, Time Now) {
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
  H.Stamp_ = 0;
  H.Pending_.reset();
  H.Unanswered_ = 0;
  H.NextRenew_ = Now;
  H.DryUntil_ = Now;
}

Amount usableFloor(const LeaseHolder &H, Time Now) {
  return notNegative(declaredFloor(H) - H.Aside_.at(Now));
}

Amount liveLease(const LeaseHolder &H, Time Now) {
  return Now < H.LentUntil_ ? H.Lent_.total() : Amount();
}

TakeResult take(LeaseHolder &H, std::uint64_t Ticket, double Cost,
                Time Deadline, Time Now) {
  accrue(H, Now);
  clip(H, Now);
  H.Offered_ += Cost;
  if (H.Waiting_.empty() && H.Tokens_ >= Cost) {
    H.Tokens_ -= Cost;
    return {TakeEnd::Taken, Ticket, {}};
  }
  bool Reachable = !H.Authority_.empty() && H.Unanswered_ < MaxUnanswered;
  bool MayWait = Reachable && Now >= H.DryUntil_ && Deadline > Now &&
                 H.Waiting_.size() < MaxWaiting;
  if (!MayWait)
    return {TakeEnd::Dry, Ticket, std::max(H.DryUntil_ - Now, MinRetryAfter)};
  Time Until = std::min(Deadline, Now + MaxWait);
  H.Waiting_.push_back({Ticket, Cost, Until, H.Sequence_});
  return {TakeEnd::Waiting, Ticket, {}};
}

std::vector<TakeResult> settleWaits(LeaseHolder &H, Time Now) {
  accrue(H, Now);
  clip(H, Now);
  std::vector<TakeResult> Ended;
  while (!H.Waiting_.empty() && H.Tokens_ >= H.Waiting_.front().Cost_) {
    H.Tokens_ -= H.Waiting_.front().Cost_;
    Ended.push_back({TakeEnd::Taken, H.Waiting_.front().Ticket_, {}});
    H.Waiting_.pop_front();
  }
  std::erase_if(H.Waiting_, [&](const LeaseHolder::Waiter &W) {
    bool Answered = Now < H.DryUntil_ && H.Accepted_ > W.After_;
    if (Now < W.Until_ && !Answered)
      return false;
    Ended.push_back(
        {TakeEnd::Dry, W.Ticket_, std::max(H.DryUntil_ - Now, MinRetryAfter)});
    return true;
  });
  return Ended;
}

std::optional<LeaseAsk> nextAsk(LeaseHolder &H, Time Now) {
  accrue(H, Now);
  clip(H, Now);
  internal::updateDemand(H.Demand_, H.Offered_, H.DemandAt_, Now);
  if (H.Authority_.empty() || H.Pending_)
    return std::nullopt;
  if (Now < H.NextRenew_ && !earlyAskDue(H, Now))
    return std::nullopt;

  if (H.Overflow_ >= MaxOverflow)
    H.Demand_ /= 2;
  H.Overflow_ = 0;
  Amount Floor = declaredFloor(H);
  double Need = waitingUnits(H);
  Amount Needed = neededNow(H, Need);
  LeaseAsk Ask;
  Ask.Quantity_ = H.Id_;
  Ask.Incarnation_ = H.Incarnation_;
  Ask.Sequence_ = ++H.Sequence_;
  Ask.Term_ = H.Term_;
  Ask.Accepted_ = H.Accepted_;
  Ask.Demand_ = internal::roundedDown(H.Demand_);
  Ask.Need_ = Need;
  Ask.Stamp_ = H.Stamp_;
  Ask.AsideFor_ = H.Timing_.asideFor();
  // A promise that can't be heard would only cost this VM its floor.
  if (H.Stamp_ != 0 && H.Unanswered_ == 0) {
    Ask.Aside_ = roundedUp(notNegative(Floor - Needed));
    H.Aside_.add(Ask.Aside_, Now + Ask.AsideFor_);
  }
  Ask.Own_ = roundedDown(usableFloor(H, Now));
  if (Now >= H.LentUntil_)
    H.Lent_ = {};
  H.Lent_ = shrink(H.Lent_, notNegative(Needed - Ask.Own_));
  H.Lent_ = {roundedDown(H.Lent_.Firm_), roundedDown(H.Lent_.Soft_)};
  Ask.Keep_ = H.Lent_;
  Amount Usable = Ask.Own_ + H.Lent_.total();
  Ask.Returned_ =
      internal::roundedDown(std::max(0.0, H.Tokens_ - Usable.Burst_));
  H.Tokens_ = std::min(H.Tokens_, Usable.Burst_);
  double Ceiling = Usable.Burst_;
  if (H.Unanswered_ == 0)
    Ceiling = std::min(Ceiling, H.Tokens_ + Usable.Rate_ * AnswerSeconds);
  Ask.Room_ = internal::roundedDown(Ask.Own_.Burst_ - Ceiling);
  H.Pending_ = LeaseHolder::PendingAsk{Ask.Sequence_, Now, Ceiling};
  H.NextRenew_ = Now + H.Timing_.renewEvery();
  return Ask;
}

void acceptGrant(LeaseHolder &H, const LeaseGrant &G, Time Now) {
  accrue(H, Now);
  bool Answers = H.Pending_ && G.Sequence_ == H.Pending_->Sequence_ &&
                 G.Incarnation_ == H.Incarnation_ && G.Term_ >= H.Term_;
  if (!Answers)
    return;
  H.Unanswered_ = 0;
  if (G.Term_ > H.Term_) {
    setAuthority(H, H.Authority_, G.Term_, Now);
    return;
  }
  Time End = H.Pending_->SentAt_ + G.For_ - clockMargin(G.For_);
  H.Pending_.reset();
  H.Stamp_ = G.Stamp_;
  H.Lent_ = G.Lent_;
  H.Target_ = G.Target_;
  H.LentUntil_ = End;
  H.Accepted_ = G.Sequence_;
  if (Now < End)
    H.Tokens_ += G.Tokens_;
  clip(H, Now);
  H.DryUntil_ = Now + G.RetryIn_;
}

std::optional<LeaseReturn> giveBack(LeaseHolder &H, Time Now) {
  accrue(H, Now);
  clip(H, Now);
  bool Holds = Now < H.LentUntil_ && H.Lent_.total() > Amount();
  H.Pending_.reset();
  if (!Holds || H.Authority_.empty())
    return std::nullopt;
  H.Lent_ = {};
  H.LentUntil_ = Now;
  double Kept = std::min(H.Tokens_, usableFloor(H, Now).Burst_);
  LeaseReturn Back{H.Id_, H.Incarnation_, ++H.Sequence_, H.Term_,
                   H.Tokens_ - Kept};
  H.Tokens_ = Kept;
  return Back;
}

} // namespace lagoonpoint
