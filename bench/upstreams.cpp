// Simulates the choice of an upstream under false and stale load reports, on a
// virtual clock. The baseline trusts the reports. Then measures decisions per
// second on one core.

#include "lagoonpoint/Steering"
#include "test/fakes/ExampleDeclarations.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>

using namespace lagoonpoint;

namespace {

constexpr int Upstreams = 6;
constexpr unsigned Slots = 3;
constexpr double ServiceMillis = 20;
constexpr double Load = 0.6;
constexpr std::int64_t DeadlineMillis = 2000;
constexpr std::int64_t RunMillis = 120'000;
constexpr std::int64_t FaultAtMillis = 30'000;
const ZoneId Zone("zone");

enum class Policy { Distrust, Trust };

struct Faults {
  const char *Name_;
  bool Hangs_ = false;    ///< u0 answers no calls and reports zero load
  bool IsSlow_ = false;   ///< u1 is five times slower and reports zero load
  bool IsSilent_ = false; ///< load reports stop
};

struct Running {
  std::int64_t End_;
  std::int64_t Start_;
  UpstreamId Id_;
  UpstreamOutcome Outcome_;
};

struct Results {
  std::vector<std::int64_t> Latencies_;
  std::size_t Calls_ = 0, TimedOut_ = 0, Full_ = 0;
};

UpstreamId idOf(int Number) { return UpstreamId("u" + std::to_string(Number)); }

/// Baseline: picks the upstream with a free slot and the lowest reported load.
Upstream *placeTrusting(UpstreamGroup &G, Random &Source) {
  Upstream *Best = nullptr;
  std::size_t Start = Source() % G.Upstreams_.size();
  for (std::size_t I = 0; I < G.Upstreams_.size(); ++I) {
    Upstream &U = G.Upstreams_[(Start + I) % G.Upstreams_.size()];
    if (U.InFlight_ < U.AssignedSlots_ &&
        (!Best || U.Report_->Load_ < Best->Report_->Load_))
      Best = &U;
  }
  if (Best)
    ++Best->InFlight_;
  return Best;
}

void announceAll(UpstreamGroup &G, const Faults &F, bool IsFaulty, Time Now) {
  for (int I = 0; I < Upstreams; ++I) {
    unsigned InFlight = 0;
    for (const Upstream &U : G.Upstreams_)
      if (U.Id_ == idOf(I))
        InFlight = U.InFlight_;
    bool Lies = IsFaulty && ((I == 0 && F.Hangs_) || (I == 1 && F.IsSlow_));
    std::optional<double> Report = Lies ? 0.0 : double(InFlight) / Slots;
    if (IsFaulty && F.IsSilent_)
      Report = std::nullopt;
    applyAnnouncement(G,
                      {idOf(I),
                       Zone,
                       {"10.0.0.1", 80},
                       Slots,
                       400,
                       Report,
                       Duration(),
                       false,
                       Duration::seconds(5)},
                      Slots, Now);
  }
}

Running dispatch(const UpstreamId &Id, const Faults &F, bool IsFaulty,
                 std::int64_t Now, Random &Source) {
  double Mean =
      ServiceMillis * (IsFaulty && F.IsSlow_ && Id == idOf(1) ? 5 : 1);
  auto Spent = static_cast<std::int64_t>(
      std::exponential_distribution<double>(1 / Mean)(Source) + 1);
  bool Hangs = IsFaulty && F.Hangs_ && Id == idOf(0);
  if (Hangs || Spent > DeadlineMillis)
    return {Now + DeadlineMillis, Now, Id, UpstreamOutcome::TimedOut};
  return {Now + Spent, Now, Id, UpstreamOutcome::Answered};
}

void finishDue(UpstreamGroup &G, std::vector<Running> &All, Results &Out,
               std::int64_t Now) {
  std::erase_if(All, [&](const Running &R) {
    if (R.End_ > Now)
      return false;
    finish(G, R.Id_, R.Outcome_, Duration(R.End_ - R.Start_), Time(Now));
    if (Now >= FaultAtMillis) {
      Out.Latencies_.push_back(R.End_ - R.Start_);
      Out.TimedOut_ += R.Outcome_ == UpstreamOutcome::TimedOut;
    }
    return true;
  });
}

Results runScenario(const Faults &F, Policy P) {
  UpstreamGroup G;
  Random Source(11);
  std::vector<Running> All;
  Results Out;
  G.Options_.SlowStart_ = Duration::seconds(5);
  double PerMilli = Load * Upstreams * Slots / ServiceMillis;
  std::poisson_distribution<int> Arrivals(PerMilli);
  for (std::int64_t Now = 1; Now < RunMillis; ++Now) {
    bool IsFaulty = Now >= FaultAtMillis;
    if (Now % 1000 == 1)
      announceAll(G, F, IsFaulty, Time(Now));
    finishDue(G, All, Out, Now);
    for (int I = Arrivals(Source); I > 0; --I) {
      Upstream *U = P == Policy::Distrust
                        ? place(G, {Zone, {}, true}, Time(Now), Source)
                        : placeTrusting(G, Source);
      Out.Calls_ += IsFaulty;
      Out.Full_ += IsFaulty && !U;
      if (U)
        All.push_back(dispatch(U->Id_, F, IsFaulty, Now, Source));
    }
  }
  return Out;
}

void print(const char *Name, Results F) {
  std::sort(F.Latencies_.begin(), F.Latencies_.end());
  auto At = [&](double Part) {
    return static_cast<long>(F.Latencies_[static_cast<std::size_t>(
        Part * double(F.Latencies_.size() - 1))]);
  };
  std::printf("  %-9s p50 %4ld ms  p99 %4ld ms  timed out %6.3f %%  all slots "
              "full %6.3f %%\n",
              Name, At(0.5), At(0.99),
              100.0 * double(F.TimedOut_) / double(F.Calls_),
              100.0 * double(F.Full_) / double(F.Calls_));
}

void measure(const char *Name, int Count, const std::function<void()> &Do) {
  using WallClock = std::chrono::steady_clock;
  auto Start = WallClock::now();
  for (int I = 0; I < Count; ++I)
    Do();
  std::chrono::duration<double> Spent = WallClock::now() - Start;
  std::printf("  %-42s %10.0f a second\n", Name, Count / Spent.count());
}

void measureDecisions() {
  Declarations D = fakes::loadExampleDeclarations("tussock-ridge");
  Random Source(1);
  SteeringView View;
  std::set<VmId> Ready;
  for (const auto &[Service, S] : D.Services_)
    for (const auto &[Region, R] : D.Regions_)
      View.Usable_.insert({Service, Region});
  for (const auto &[Id, Vm] : D.Vms_)
    Ready.insert(Id);
  RegionPlan Plan;
  LookupPlan Lookups;
  advance(Plan, D, View, Time(1));
  advance(Lookups, D, Ready, Time(1));
  BlockTable Table = buildBlockTable(D.Blocks_);
  UpstreamGroup G;
  for (int I = 0; I < 18; ++I)
    applyAnnouncement(G,
                      {idOf(I),
                       Zone,
                       {"10.0.0.1", 80},
                       Slots,
                       400,
                       0.3,
                       Duration(),
                       false,
                       Duration::seconds(500)},
                      Slots, Time(1));
  Flow F{ServiceId("tag-register"), RegionId("waikato")};
  std::map<RegionId, RegionCredit> Credits;
  for (const auto &[Id, R] : D.Regions_)
    Credits[Id] = {};
  std::int64_t Now = 1;
  std::printf("decisions on one core\n");
  measure("look-up: block and answer", 200'000, [&] {
    ZoneId Home = homeZoneOf(Table, D, "100.66.3.4");
    answer(Lookups, D, Ready, {F.Service_, Home}, Source);
  });
  measure("region of a call", 1'000'000, [&] {
    chooseRegion(F, Plan.Rows_.at(F).Shares_, View, Credits, {500, 4000},
                 F.Origin_, Source);
  });
  measure("upstream of a call, 18 of them, and its end", 1'000'000, [&] {
    Upstream *U = place(G, {Zone, {}, true}, Time(40'000), Source);
    finish(G, U->Id_, UpstreamOutcome::Answered, Duration(20), Time(40'000));
  });
  measure("step of both plans, 2 services, 3 regions", 2'000, [&] {
    Now += 500;
    advance(Plan, D, View, Time(Now));
    advance(Lookups, D, Ready, Time(Now));
  });
}

/// Prints the size of a regular update and of the one sent to a starting VM.
void measureUpdates() {
  Declarations D = fakes::loadExampleDeclarations("tussock-ridge");
  std::set<VmId> Ready;
  for (const auto &[Id, Vm] : D.Vms_)
    Ready.insert(Id);
  std::map<ServiceId, double> Slots;
  for (const auto &[Service, S] : D.Services_)
    Slots[Service] = 9;
  Time Now(1);
  VmSteering S = startSteering(VmId("w1"), Now);
  Now = Now + PlanRequestTimeout;
  tick(S, D, Ready, Slots, Now);
  for (const auto &[Service, Decl] : D.Services_)
    for (int I = 0; I < 1000; ++I)
      countReceived(S.Meter_, {Service, RegionId("waikato")});
  S.Meter_.SentCalls_[RegionId("waikato")] = 2000;
  Now = Now + PlanInterval;
  auto RegularUpdate = tick(S, D, Ready, Slots, Now);
  SteeringUpdate PlanRequest;
  applyPeerUpdate(S, VmId("w2"), PlanRequest, Now);
  auto Complete = tick(S, D, Ready, Slots, Now + Duration::seconds(1));
  std::printf("news\n  regular, 2 flows carried %zu bytes every %.0f s to each "
              "VM; whole plan %zu bytes on request\n",
              encode(*RegularUpdate).size(), PlanInterval.inSeconds(),
              encode(*Complete).size());
}

} // namespace

int main() {
  for (const Faults &F :
       {Faults{"no fault"}, Faults{"one hangs, reporting no load", true},
        Faults{"one is slow, reporting no load", false, true},
        Faults{"reports stop", false, false, true},
        Faults{"one hangs and reports stop", true, false, true}}) {
    std::printf("%s\n", F.Name_);
    print("distrust", runScenario(F, Policy::Distrust));
    print("trust", runScenario(F, Policy::Trust));
  }
  measureDecisions();
  measureUpdates();
}
