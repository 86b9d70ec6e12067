#include "lagoonpoint/src/Limits/LeaseAuthority.h"

#include "lagoonpoint/src/Limits/util/Demand.h"

#include <cmath>
#include <set>

namespace lagoonpoint {

namespace {

/// Rounding allowed in sums of doubles, relative to the whole.
constexpr double Rounding = 1e-9;
/// Part of the burst that VMs store in all; the rest stays in the pool, where
/// every VM can get it.
constexpr double StoreShare = 0.3;
constexpr Duration MinRetry = Duration::millis(20);
constexpr Duration MaxRetry = Duration::millis(250);

using Borrower = LeaseAuthority::Borrower;
using Loan = LeaseAuthority::Loan;

Amount notNegative(Amount A) { return most(A, Amount()); }

bool leading(const LeaseAuthority &A, Time Now) { return Now < A.Until_; }
bool inWait(const LeaseAuthority &A, Time Now) { return Now < A.WaitUntil_; }

Lent liveLent(const Borrower &B, Time Now) {
  Lent Held = Now < B.Held_.End_ ? B.Held_.Lent_ : Lent();
  Lent Offered = Now < B.Offered_.End_ ? B.Offered_.Lent_ : Lent();
  return {most(Held.Firm_, Offered.Firm_), most(Held.Soft_, Offered.Soft_)};
}

Lent operator+(const Lent &A, const Lent &B) {
  return {A.Firm_ + B.Firm_, A.Soft_ + B.Soft_};
}

/// Floors set aside at least until \p At.
Amount asideUntil(const LeaseAuthority &A, Time At) {
  Amount Sum;
  for (const auto &[Vm, B] : A.Borrowers_)
    Sum = Sum + B.Aside_.at(At);
  return Sum;
}

/// Passes over all floors, so it is kept between changes of the allotments.
Amount baseOfAllotments(const LeaseAuthority &A) {
  if (A.Allotments_.empty() || A.Settled_ < A.Allotments_.front().Revision_)
    return {};
  std::map<VmId, Amount> Largest;
  for (const Allotment &Each : A.Allotments_)
    for (const auto &[Vm, Floor] : Each.Floors_)
      Largest[Vm] = most(Largest[Vm], Floor);
  Amount Floors;
  for (const auto &[Vm, Floor] : Largest)
    Floors = Floors + Floor;
  return notNegative(A.Allotments_.back().Whole_ - Floors);
}

/// What the pool may earn and hold, given leases and floors at two times.
Amount poolPart(const LeaseAuthority &A, Time LentAt, Time AsideAt) {
  return notNegative(baseOf(A) + asideUntil(A, AsideAt) -
                     outstanding(A, LentAt).total());
}

void accrue(LeaseAuthority &A, Time Now) {
  if (Now <= A.Updated_)
    return;
  Time From = std::max(A.Updated_, A.WaitUntil_);
  if (From < Now) {
    // Leases and set-aside floors only end between two inputs.
    Amount Surely = poolPart(A, A.Updated_, Now);
    A.Tokens_ += Surely.Rate_ * surelyPassed(Now - From);
    A.Tokens_ = std::min(A.Tokens_, Surely.Burst_);
  }
  A.Updated_ = Now;
  for (auto &[Vm, B] : A.Borrowers_)
    B.Aside_.prune(Now);
}

void clipPool(LeaseAuthority &A, Time Now) {
  A.Tokens_ = std::min(A.Tokens_, poolPart(A, Now, Now).Burst_);
  LAGOONPOINT_ASSERT(A.Tokens_ >= 0, "lease.pool");
}

/// \returns the borrower if the message is the newest of its process.
Borrower *freshBorrower(LeaseAuthority &A, const VmId &From, Incarnation I,
                        std::uint64_t Sequence) {
  Borrower &B = A.Borrowers_[From];
  if (I < B.Incarnation_ || (I == B.Incarnation_ && Sequence <= B.Sequence_))
    return nullptr;
  if (I > B.Incarnation_) {
    // The process that held these loans is gone; what it set aside still is.
    B.Held_ = {};
    B.Offered_ = {};
  }
  B.Incarnation_ = I;
  B.Sequence_ = Sequence;
  return &B;
}

/// Notes which loan the holder lives on; it can never accept another one sent
/// before this ask.
void reconcile(Borrower &B, const LeaseAsk &Ask) {
  if (B.Offered_.Sequence_ == Ask.Accepted_)
    B.Held_ = B.Offered_;
  if (B.Held_.Sequence_ != Ask.Accepted_)
    B.Held_ = {};
  B.Offered_ = {};
  B.Held_.Lent_.Firm_ = least(B.Held_.Lent_.Firm_, Ask.Keep_.Firm_);
  B.Held_.Lent_.Soft_ = least(B.Held_.Lent_.Soft_, Ask.Keep_.Soft_);
}

void noteDemand(Borrower &B, const LeaseAsk &Ask, Time Now) {
  B.Demand_ = Ask.Demand_;
  B.Need_ = Ask.Need_;
  B.Own_ = Ask.Own_;
  B.SeenAt_ = Now;
  if (Ask.Stamp_ == 0)
    return;
  // The holder sent this after it got the stamp, so its promise ends no
  // sooner than this.
  Time End = Time(Ask.Stamp_) + Ask.AsideFor_ - clockMargin(Ask.AsideFor_);
  if (End > Now)
    B.Aside_.add(Ask.Aside_, End);
}

bool active(const LeaseAuthority &A, const Borrower &B, Time Now) {
  return Now - B.SeenAt_ < A.Timing_.Length_;
}

/// By what part stores have to shrink for all to fit into their share.
double storeScale(const LeaseAuthority &A, Time Now) {
  double Wanted = 0;
  for (const auto &[Vm, B] : A.Borrowers_)
    if (active(A, B, Now))
      Wanted += internal::storeFor(B.Demand_);
  double Share = A.Allotments_.back().Whole_.Burst_ * StoreShare;
  return Wanted > Share ? Share / Wanted : 1;
}

/// What a VM should use without asking.
Amount wantOf(const Borrower &B, double Scale) {
  double Store = internal::storeFor(B.Demand_) * Scale;
  if (Store < 1) // less than one whole unit serves nobody
    return {};
  return {internal::rateFor(B.Demand_, Store), Store};
}

/// The same, in proportion to what is wanted where not all can be met.
Amount chooseTarget(const LeaseAuthority &A, const Borrower &B,
                    const Amount &Lendable, Time Now) {
  double Scale = storeScale(A, Now);
  double Wanted = 0;
  for (const auto &[Vm, Other] : A.Borrowers_)
    if (active(A, Other, Now))
      Wanted += notNegative(wantOf(Other, Scale) - Other.Own_).Rate_;
  Amount Target = wantOf(B, Scale);
  if (Wanted <= Lendable.Rate_)
    return Target;
  double Excess = std::max(0.0, Target.Rate_ - B.Own_.Rate_);
  Target.Rate_ -= Excess * (1 - Lendable.Rate_ / Wanted);
  return Target;
}

Lent lendable(const LeaseAuthority &A, Time Until) {
  return {baseOf(A), asideUntil(A, Until)};
}

/// What may be lent to one borrower until \p Until beside all other loans.
Lent spare(const LeaseAuthority &A, const VmId &To, Time Now, Time Until) {
  Lent Whole = lendable(A, Until);
  for (const auto &[Vm, Other] : A.Borrowers_) {
    if (Vm == To)
      continue;
    Lent Live = liveLent(Other, Now);
    Whole.Firm_ = Whole.Firm_ - Live.Firm_;
    Whole.Soft_ = Whole.Soft_ - Live.Soft_;
  }
  return {notNegative(Whole.Firm_), notNegative(Whole.Soft_)};
}

Lent split(Amount Target, const Lent &Spare) {
  Lent Out;
  Out.Firm_ = roundedDown(least(Target, Spare.Firm_));
  Out.Soft_ = roundedDown(least(notNegative(Target - Out.Firm_), Spare.Soft_));
  return Out;
}

Lent chooseLoan(const LeaseAuthority &A, const VmId &To, const LeaseAsk &Ask,
                const Amount &Target, Time Now, Time End) {
  Lent Spare = spare(A, To, Now, End);
  if (inWait(A, Now)) {
    // Firm parts of all predecessors' loans add up to at most the base.
    Lent Shown{roundedDown(least(Ask.Keep_.Firm_, Spare.Firm_)), {}};
    return Shown;
  }
  Amount Use = Target + Amount{0, Ask.Need_};
  Amount Loan = notNegative(Use - Ask.Own_);
  // A loan is shrunk by its holder, which follows the target at its next ask:
  // shrunk here, neither side could use the difference until then.
  return split(most(Loan, Ask.Keep_.total()), Spare);
}

double chooseTokens(const LeaseAuthority &A, const LeaseAsk &Ask,
                    const LeaseGrant &G) {
  double Room = Ask.Room_ + G.Lent_.total().Burst_;
  double Want = Ask.Need_ + G.Target_.Burst_;
  double Tokens = std::max(0.0, std::min(Room, Want));
  // Of a pool that runs dry, less than one whole unit would serve nobody.
  Tokens = Tokens <= A.Tokens_ ? Tokens : std::floor(A.Tokens_);
  return internal::roundedDown(Tokens);
}

Duration retryIn(const LeaseAuthority &A, const LeaseGrant &G,
                 const LeaseAsk &Ask, Time Now) {
  double Short = Ask.Need_ - G.Tokens_;
  if (Short <= 0)
    return {};
  double Earning = poolPart(A, Now, Now).Rate_;
  if (Earning <= 0)
    return MaxRetry;
  auto Millis = static_cast<std::int64_t>(std::ceil(1000.0 / Earning));
  return std::clamp(Duration(Millis), MinRetry, MaxRetry);
}

void checkConservation(const LeaseAuthority &A, const Lent &Before, Time Now,
                       Time End) {
  Lent After = outstanding(A, Now);
  Amount Firm = most(baseOf(A), Before.Firm_);
  Amount Soft = most(asideUntil(A, End), Before.Soft_);
  double Slack = 1 + Rounding;
  LAGOONPOINT_ASSERT(After.Firm_.Rate_ <= Firm.Rate_ * Slack,
                     "lease.conservation");
  LAGOONPOINT_ASSERT(After.Firm_.Burst_ <= Firm.Burst_ * Slack,
                     "lease.conservation");
  LAGOONPOINT_ASSERT(After.Soft_.Rate_ <= Soft.Rate_ * Slack,
                     "lease.conservation");
  LAGOONPOINT_ASSERT(After.Soft_.Burst_ <= Soft.Burst_ * Slack,
                     "lease.conservation");
}

} // namespace

LeaseAuthority makeAuthority(const QuantityId &Id, LeaseTiming Timing,
                             Time Now) {
  LeaseAuthority A;
  A.Id_ = Id;
  A.Timing_ = Timing;
  A.Updated_ = Now;
  return A;
}

void lead(LeaseAuthority &A, Term T, Time Until, Time Now) {
  if (T < A.Term_)
    return;
  accrue(A, Now);
  if (T > A.Term_) {
    A.Borrowers_.clear();
    A.Tokens_ = 0;
    Duration Longest = A.Timing_.Length_ + clockMargin(A.Timing_.Length_);
    A.WaitUntil_ = Now + Longest;
  }
  A.Term_ = T;
  A.Until_ = Until;
}

void stepDown(LeaseAuthority &A, Time Now) {
  A.Until_ = std::min(A.Until_, Now);
  A.Tokens_ = 0;
}

void declareAllotment(LeaseAuthority &A, const Allotment &New, Time Now) {
  accrue(A, Now);
  if (!A.Allotments_.empty() && New.Revision_ <= A.Allotments_.back().Revision_)
    return;
  A.Allotments_.push_back(New);
  A.Base_ = baseOfAllotments(A);
  clipPool(A, Now);
}

void settleAllotments(LeaseAuthority &A, Revision R, Time Now) {
  accrue(A, Now);
  A.Settled_ = std::max(A.Settled_, R);
  while (A.Allotments_.size() > 1 && A.Allotments_[1].Revision_ <= R)
    A.Allotments_.erase(A.Allotments_.begin());
  A.Base_ = baseOfAllotments(A);
}

Amount baseOf(const LeaseAuthority &A) { return A.Base_; }

Lent outstanding(const LeaseAuthority &A, Time Now) {
  Lent Sum;
  for (const auto &[Vm, B] : A.Borrowers_)
    Sum = Sum + liveLent(B, Now);
  return Sum;
}

std::optional<LeaseGrant> answer(LeaseAuthority &A, const VmId &From,
                                 const LeaseAsk &Ask, Time Now) {
  if (!leading(A, Now) || Ask.Term_ > A.Term_ || A.Allotments_.empty())
    return std::nullopt;
  LeaseGrant G;
  G.Quantity_ = Ask.Quantity_;
  G.Incarnation_ = Ask.Incarnation_;
  G.Sequence_ = Ask.Sequence_;
  G.Term_ = A.Term_;
  G.For_ = A.Timing_.Length_;
  G.Stamp_ = Now.count();
  if (Ask.Term_ < A.Term_)
    return G;
  accrue(A, Now);
  Borrower *B = freshBorrower(A, From, Ask.Incarnation_, Ask.Sequence_);
  if (!B)
    return std::nullopt;
  reconcile(*B, Ask);
  noteDemand(*B, Ask, Now);
  if (!inWait(A, Now))
    A.Tokens_ += Ask.Returned_;
  clipPool(A, Now);

  Amount Lendable = lendable(A, Now + A.Timing_.Length_).total();
  if (!inWait(A, Now))
    G.Target_ = roundedDown(chooseTarget(A, *B, Lendable, Now));
  else
    G.Target_ = Ask.Own_ + Ask.Keep_.Firm_;
  if (G.Target_ == Amount() && Ask.Keep_.total() == Amount())
    G.For_ = ShortLease;
  Time End = Now + G.For_;
  Lent Before = outstanding(A, Now);
  G.Lent_ = chooseLoan(A, From, Ask, G.Target_, Now, End);
  B->Offered_ = {G.Lent_, End, Ask.Sequence_};
  checkConservation(A, Before, Now, End);
  G.Tokens_ = chooseTokens(A, Ask, G);
  A.Tokens_ -= G.Tokens_;
  clipPool(A, Now);
  G.RetryIn_ = retryIn(A, G, Ask, Now);
  return G;
}

void takeBack(LeaseAuthority &A, const VmId &From, const LeaseReturn &Back,
              Time Now) {
  if (!leading(A, Now) || Back.Term_ != A.Term_)
    return;
  accrue(A, Now);
  Borrower *B = freshBorrower(A, From, Back.Incarnation_, Back.Sequence_);
  if (!B)
    return;
  B->Held_ = {};
  B->Offered_ = {};
  if (!inWait(A, Now))
    A.Tokens_ += Back.Tokens_;
  clipPool(A, Now);
}

} // namespace lagoonpoint
