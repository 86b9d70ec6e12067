#include "lagoonpoint/src/Steering/UpstreamChoice.h"

#include "lagoonpoint/src/Core/util/StableHash.h"
#include "lagoonpoint/src/Steering/util/UpstreamHealth.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lagoonpoint {

namespace {

using namespace internal;

/// Fraction of its slots with which an upstream begins its slow start.
constexpr double MinSlowStartFactor = 0.1;
/// Waits that differ by a smaller factor are considered equal.
constexpr double NoiseFactor = 1.1;
/// Factor by which the failure rate adds to the expected wait.
constexpr double FailureWeight = 10;

/// \returns the rank of a VM for an upstream. The bits are mixed because
/// stableHash() differs in only a few bits for texts that differ only in their
/// last letter.
std::uint64_t rankHash(const UpstreamId &Id, const VmId &Vm) {
  std::uint64_t Hash = stableHash(Id.str() + "/" + Vm.str());
  Hash = (Hash ^ Hash >> 30) * 0xbf58476d1ce4e5b9;
  Hash = (Hash ^ Hash >> 27) * 0x94d049bb133111eb;
  return Hash ^ Hash >> 31;
}

Upstream *find(UpstreamGroup &G, const UpstreamId &Id) {
  auto Found = std::find_if(G.Upstreams_.begin(), G.Upstreams_.end(),
                            [&](const Upstream &U) { return U.Id_ == Id; });
  return Found == G.Upstreams_.end() ? nullptr : &*Found;
}

bool acceptsCalls(const Upstream &U, Time Now) {
  return !U.Leaving_ && Now < U.LeaseUntil_;
}

/// \returns the limit on concurrent calls of this VM at an upstream.
unsigned usableSlots(const Upstream &U, const ChoiceOptions &Options,
                     Time Now) {
  unsigned MaxSlots = std::min(U.AssignedSlots_, U.Connections_);
  if (MaxSlots == 0)
    return 0;
  double Warm = slowStartFactor(U, Options, Now) * MaxSlots;
  return std::clamp(static_cast<unsigned>(std::ceil(Warm)), 1u, MaxSlots);
}

bool isFree(const Upstream &U, const ChoiceOptions &Options, const Placement &P,
            Time Now) {
  if (!acceptsCalls(U, Now) || Now < U.BackOffUntil_)
    return false;
  if (P.Excluded_.count(U.Id_))
    return false;
  return U.InFlight_ < usableSlots(U, Options, Now);
}

double expectedWait(const Upstream &U, const ChoiceOptions &Options,
                    double Typical, Time Now) {
  Observations Health = decayed(U, Options, Typical, Now);
  double Queue = 1.0 + U.InFlight_;
  double Load = 1.0 + estimatedLoad(U, Options, Now);
  double Failing = 1.0 + FailureWeight * Health.FailureRate_;
  return Health.LatencyMillis_ * Queue * Load * Failing /
         slowStartFactor(U, Options, Now);
}

/// \returns the free upstreams of the best class that is not empty: healthy in
/// the zone, healthy in other zones, or due for a probe.
std::vector<Upstream *> candidates(UpstreamGroup &G, const Placement &P,
                                   Time Now) {
  std::vector<Upstream *> Local, Remote, Probes;
  for (Upstream &U : G.Upstreams_) {
    if (!isFree(U, G.Options_, P, Now))
      continue;
    if (U.Phase_ == UpstreamPhase::Serving)
      (U.Zone_ == P.Zone_ ? Local : Remote).push_back(&U);
    else if (U.Phase_ == UpstreamPhase::Probing && U.InFlight_ == 0 &&
             P.MayProbe_)
      Probes.push_back(&U);
  }
  if (!Local.empty())
    return Local;
  return !Remote.empty() ? Remote : Probes;
}

/// \returns an upstream whose probe is due, if the call may be used as a probe.
Upstream *dueProbe(UpstreamGroup &G, const Placement &P, Time Now) {
  if (!P.MayProbe_)
    return nullptr;
  for (Upstream &U : G.Upstreams_)
    if (U.Phase_ == UpstreamPhase::Probing && U.InFlight_ == 0 &&
        U.ProbeAt_ <= Now && isFree(U, G.Options_, P, Now))
      return &U;
  return nullptr;
}

Upstream *betterOfTwo(const UpstreamGroup &G,
                      const std::vector<Upstream *> &From, Time Now,
                      Random &Source) {
  if (From.size() == 1)
    return From.front();
  std::size_t First = Source() % From.size();
  std::size_t Second = (First + 1 + Source() % (From.size() - 1)) % From.size();
  double Typical = typicalLatency(G);
  double WaitA = expectedWait(*From[First], G.Options_, Typical, Now);
  double WaitB = expectedWait(*From[Second], G.Options_, Typical, Now);
  return WaitA <= WaitB * NoiseFactor ? From[First] : From[Second];
}

} // namespace

double slowStartFactor(const Upstream &U, const ChoiceOptions &Options,
                       Time Now) {
  if (Options.SlowStart_ <= Duration())
    return 1;
  double Part =
      (Now - U.SlowStartAt_).inSeconds() / Options.SlowStart_.inSeconds();
  return std::clamp(Part, MinSlowStartFactor, 1.0);
}

double estimatedLoad(const Upstream &U, const ChoiceOptions &Options,
                     Time Now) {
  double Own = U.Slots_ ? static_cast<double>(U.InFlight_) / U.Slots_ : 1.0;
  if (!U.Report_)
    return std::max(Own, Options.DefaultLoad_);
  Duration Age = Now - U.Report_->At_;
  double Span =
      (Options.ReportStaleAfter_ - Options.ReportFreshFor_).inSeconds();
  double Staleness =
      (Age - Options.ReportFreshFor_).inSeconds() / std::max(Span, 1e-3);
  Staleness = std::clamp(Staleness, 0.0, 1.0);
  double Load = std::clamp(U.Report_->Load_, 0.0, 1.0);
  double Fallback = std::max(Load, Options.DefaultLoad_);
  return std::max(Own, Load + Staleness * (Fallback - Load));
}

void applyAnnouncement(UpstreamGroup &G, const UpstreamAnnouncement &Announced,
                       unsigned AssignedSlots, Time Now) {
  Upstream *U = find(G, Announced.Id_);
  bool IsNew = !U || U->LeaseUntil_ <= Now;
  if (!U) {
    G.Upstreams_.emplace_back();
    U = &G.Upstreams_.back();
    U->Id_ = Announced.Id_;
  }
  if (IsNew) {
    U->SlowStartAt_ = Now;
    U->Leaving_ = false;
  }
  U->Zone_ = Announced.Zone_;
  U->Address_ = Announced.Address_;
  U->Slots_ = Announced.Slots_;
  U->Connections_ = Announced.Connections_;
  U->AssignedSlots_ = std::min(AssignedSlots, Announced.Slots_);
  U->Leaving_ = U->Leaving_ || Announced.Leaving_;
  U->LeaseUntil_ = Now + Announced.Lease_;
  if (Announced.Load_)
    U->Report_ = LoadReport{*Announced.Load_, Now - Announced.LoadAge_};
}

void forgetExpired(UpstreamGroup &G, Time Now) {
  std::erase_if(G.Upstreams_, [&](const Upstream &U) {
    return U.LeaseUntil_ <= Now && U.InFlight_ == 0;
  });
}

unsigned divideSlots(const UpstreamId &Id, unsigned Slots,
                     const std::set<VmId> &Vms, const VmId &Self) {
  if (!Vms.count(Self))
    return 0;
  auto Count = static_cast<unsigned>(Vms.size());
  unsigned Rank = 0;
  std::uint64_t OwnRank = rankHash(Id, Self);
  for (const VmId &Vm : Vms) {
    std::uint64_t OtherRank = rankHash(Id, Vm);
    Rank += std::pair(OtherRank, Vm) < std::pair(OwnRank, Self);
  }
  return Slots / Count + (Rank < Slots % Count);
}

Upstream *place(UpstreamGroup &G, const Placement &P, Time Now,
                Random &Source) {
  startDueProbes(G, Now);
  Upstream *Chosen = dueProbe(G, P, Now);
  if (!Chosen) {
    std::vector<Upstream *> From = candidates(G, P, Now);
    if (From.empty())
      return nullptr;
    Chosen = betterOfTwo(G, From, Now, Source);
  }
  LAGOONPOINT_ASSERT(!Chosen->Leaving_, "steering.place");
  LAGOONPOINT_ASSERT(Chosen->InFlight_ < Chosen->AssignedSlots_,
                     "steering.place");
  LAGOONPOINT_ASSERT(Chosen->AssignedSlots_ <= Chosen->Slots_,
                     "steering.place");
  ++Chosen->InFlight_;
  return Chosen;
}

void finish(UpstreamGroup &G, const UpstreamId &Id, UpstreamOutcome Outcome,
            Duration Spent, Time Now) {
  Upstream *U = find(G, Id);
  if (!U)
    return;
  LAGOONPOINT_ASSERT(U->InFlight_ > 0, "steering.finish");
  --U->InFlight_;
  recordOutcome(G, *U, Outcome, Spent, Now);
}

bool hasFreeSlot(const UpstreamGroup &G, Time Now) {
  return std::any_of(
      G.Upstreams_.begin(), G.Upstreams_.end(), [&](const Upstream &U) {
        bool Probe = U.Phase_ == UpstreamPhase::Probing && U.InFlight_ == 0;
        return isFree(U, G.Options_, Placement(), Now) &&
               (U.Phase_ == UpstreamPhase::Serving || Probe);
      });
}

double assignedSlots(const UpstreamGroup &G, Time Now) {
  double Sum = 0;
  for (const Upstream &U : G.Upstreams_)
    if (acceptsCalls(U, Now) && U.Phase_ != UpstreamPhase::Ejected)
      Sum += U.AssignedSlots_;
  return Sum;
}

} // namespace lagoonpoint
