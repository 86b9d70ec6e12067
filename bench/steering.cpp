// Simulates steering under faults on a virtual clock, at the size of both
// example deployments. The baseline sends each call to the best usable region
// at once.

#include "lagoonpoint/Steering"
#include "test/fakes/ExampleDeclarations.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>

using namespace lagoonpoint;

namespace {

constexpr int TicksPerSecond = 10;
constexpr double ColdCallCost = 3;    ///< work of a cold call; a warm one is 1
constexpr double WarmingSeconds = 30; ///< time constant of the caches
constexpr double CallerTimeoutSeconds = 1; ///< wait before giving up
constexpr double OverloadSeconds = 0.2;
/// Fraction of the upstreams' maximum throughput that operators declare.
constexpr double DeclaredFraction = 0.9;
constexpr int ReportSeconds = 5;
constexpr std::size_t HistorySeconds = 20;

struct Deployment {
  std::string Folder_;
  RegionId FaultedRegion_;
  double ResponseBytes_;
};

enum class Policy { Paced, Instant };

/// The upstreams of a region, modelled as one queue with caches that are warm
/// for some flows.
struct RegionQueue {
  double Capacity_ = 0; ///< warm calls per second
  double Backlog_ = 0;  ///< queued work, in warm calls
  double Slots_ = 30;   ///< total over its upstreams
  bool HasFailed_ = false;
  std::map<Flow, double> WarmRate_;
  std::map<Flow, double> CallsThisSecond_; ///< calls of this second
};

struct Results {
  double Calls_ = 0, Refused_ = 0, Abandoned_ = 0;
  double OverloadedSeconds_ = 0, MaxShift_ = 0, MaxLinkUse_ = 0;
  double MaxLoad_ = 0;
  double DrainSeconds_ = -1;
};

/// Simulation of one policy in one scenario.
struct Run {
  Declarations D_;
  Policy Policy_;
  double ResponseBytes_;
  std::map<Flow, double> Demand_;
  std::map<RegionId, RegionQueue> Queues_;
  std::vector<VmId> Vms_;
  std::map<VmId, RegionPlan> Plans_;
  std::map<VmId, SteeringView> Views_;
  std::map<VmId, std::map<RegionId, double>> SendRates_; ///< smoothed
  RegionLoads Loads_;
  std::map<VmId, std::map<Flow, double>> ReceivedBy_; ///< in this second
  std::map<VmId, std::map<RegionId, double>> SentBy_; ///< in this second
  std::map<RegionId, double> Granted_;       ///< calls left, see grantCredits()
  std::map<RegionId, double> LinkBytesLeft_; ///< from that region, in this tick
  std::map<RegionId, double> LinkBytes_;     ///< in this second
  std::deque<std::map<std::pair<Flow, RegionId>, double>> History_;
  std::map<std::pair<Flow, RegionId>, double> Sent_; ///< in this second
  /// As Sent_, plus the calls that were refused for their region.
  std::map<std::pair<Flow, RegionId>, double> Chosen_;
  Random Source_{17};
  Results Results_;
  Time Now_{1000};

  Run(const Deployment &F, Policy P, double Load)
      : D_(fakes::loadExampleDeclarations(F.Folder_)), Policy_(P),
        ResponseBytes_(F.ResponseBytes_) {
    for (const auto &[Id, Region] : D_.Regions_) {
      Queues_[Id].Capacity_ = Region.Capacity_.perSecond() / DeclaredFraction;
      for (const auto &[Service, S] : D_.Services_)
        Demand_[{Service, Id}] = Load * Region.Capacity_.perSecond() /
                                 static_cast<double>(D_.Services_.size());
    }
    for (const auto &[F2, Rate] : Demand_)
      Queues_[F2.Origin_].WarmRate_[F2] = Rate;
    for (const auto &[Id, Vm] : D_.Vms_)
      Vms_.push_back(Id);
  }
  RegionId regionOf(const VmId &Vm) const {
    return D_.Zones_.at(D_.Vms_.at(Vm).Zone_).Region_;
  }
  /// \returns a random live VM of the callers' region, or of any region if that
  /// region has failed.
  const VmId &randomEntryVm(const RegionId &Origin) {
    bool Local = !Queues_[Origin].HasFailed_;
    for (;;) {
      const VmId &Vm = Vms_[Source_() % Vms_.size()];
      if (Local ? regionOf(Vm) == Origin : !Queues_[regionOf(Vm)].HasFailed_)
        return Vm;
    }
  }
};

bool isUsable(Run &R, const RegionId &Region) {
  return !R.Queues_[Region].HasFailed_;
}

double totalDemand(const Run &R) {
  double Sum = 0;
  for (const auto &[F, Rate] : R.Demand_)
    Sum += Rate;
  return Sum;
}

RegionDecision decidePaced(Run &R, const VmId &Vm, const Flow &F) {
  std::map<RegionId, RegionCredit> Credits;
  RegionId Self = R.regionOf(Vm);
  for (const auto &[Id, Region] : R.D_.Regions_)
    Credits[Id] = {R.Granted_[Id], RegionCredit::Unlimited,
                   R.LinkBytesLeft_[Id]};
  auto Row = R.Plans_[Vm].Rows_.find(F);
  if (Row == R.Plans_[Vm].Rows_.end())
    return {{}, RefusalReason::NotReady};
  CallBytes Bytes{500, R.ResponseBytes_};
  return chooseRegion(F, Row->second.Shares_, R.Views_[Vm], Credits, Bytes,
                      Self, R.Source_);
}

RegionDecision decideInstant(Run &R, const Flow &F) {
  const ProfileDecl &P =
      R.D_.Profiles_.at(R.D_.Services_.at(F.Service_).Profile_);
  for (const RegionId &Region : regionPreference(R.D_, P, F.Origin_))
    if (isUsable(R, Region))
      return {Region, {}};
  return {{}, RefusalReason::NoUpstream};
}

void serve(Run &R, const Flow &F, const RegionId &From, const RegionId &To) {
  RegionQueue &Q = R.Queues_[To];
  R.Sent_[{F, To}] += 1;
  if (From != To) {
    R.LinkBytes_[To] += R.ResponseBytes_;
    R.LinkBytesLeft_[To] -= R.ResponseBytes_;
  }
  R.Granted_[To] -= 1;
  Q.CallsThisSecond_[F] += 1;
  bool IsCold = Q.CallsThisSecond_[F] > Q.WarmRate_[F] * 1.2 + 1;
  if (Q.Backlog_ > Q.Capacity_ * CallerTimeoutSeconds) {
    R.Results_.Abandoned_ += 1;
    return;
  }
  Q.Backlog_ += IsCold ? ColdCallCost : 1;
}

void call(Run &R, const Flow &F) {
  const VmId &Vm = R.randomEntryVm(F.Origin_);
  R.Results_.Calls_ += 1;
  R.ReceivedBy_[Vm][F] += 1;
  RegionDecision Decision =
      R.Policy_ == Policy::Paced ? decidePaced(R, Vm, F) : decideInstant(R, F);
  R.Chosen_[{F, Decision.Region_}] += 1;
  if (Decision.Refused_)
    R.Results_.Refused_ += 1;
  else {
    R.SentBy_[Vm][Decision.Region_] += 1;
    serve(R, F, R.regionOf(Vm), Decision.Region_);
  }
}

/// Grants one tick's credit of each region and its links, as leases would.
/// Unused credit of a region is kept, up to that of SavedTicks ticks.
void grantCredits(Run &R) {
  constexpr double SavedTicks = 3;
  for (auto &[Id, Q] : R.Queues_) {
    double Part = Q.Capacity_ * DeclaredFraction / TicksPerSecond;
    R.Granted_[Id] = std::min(R.Granted_[Id] + Part, SavedTicks * Part);
    double Cap = 1e18;
    for (const LinkDecl &L : R.D_.Links_)
      if (L.From_ == Id)
        Cap = std::min(Cap, L.Cap_.bytesPerSecond() / TicksPerSecond);
    R.LinkBytesLeft_[Id] = Cap;
  }
}

void processBacklog(Run &R) {
  for (auto &[Id, Q] : R.Queues_)
    Q.Backlog_ = std::max(0.0, Q.Backlog_ - Q.Capacity_ / TicksPerSecond);
}

/// \returns a VM's share of its region's slots.
double slotsOf(Run &R, const VmId &Vm) {
  RegionId Region = R.regionOf(Vm);
  auto Vms =
      std::count_if(R.Vms_.begin(), R.Vms_.end(), [&](const VmId &Other) {
        return R.regionOf(Other) == Region;
      });
  return R.Queues_[Region].Slots_ / static_cast<double>(Vms);
}

/// Sends reports and plans between the VMs. The VMs report in turn, spread over
/// ReportSeconds.
void exchangeReports(Run &R) {
  constexpr double NewestWeight = 0.3;
  int Turn = static_cast<int>(R.Now_.count() / 1000) % ReportSeconds;
  for (std::size_t I = 0; I < R.Vms_.size(); ++I) {
    const VmId &Vm = R.Vms_[I];
    for (const auto &[Id, Q] : R.Queues_) {
      double Now = R.SentBy_[Vm][Id];
      R.SendRates_[Vm][Id] += NewestWeight * (Now - R.SendRates_[Vm][Id]);
    }
    if (static_cast<int>(I) % ReportSeconds != Turn)
      continue;
    R.Loads_.Reports_[Vm] = {R.Now_, R.SendRates_[Vm], slotsOf(R, Vm)};
    if (R.Queues_[R.regionOf(Vm)].HasFailed_)
      continue;
    RegionPlanSnapshot Snapshot =
        snapshotOf(R.Plans_[Vm], R.Views_[Vm], R.Now_);
    for (const VmId &Other : R.Vms_)
      if (Other != Vm)
        applyPeerUpdate(R.Plans_[Other], Snapshot, R.Views_[Other], R.Now_);
  }
  R.SentBy_.clear();
}

/// Updates the view of each live VM once per simulated second: the usable
/// regions, the demand of its callers, and the capacity of the regions that is
/// left by the reports. Then advances its plan.
void updateViews(Run &R) {
  constexpr double NewestWeight = 0.3;
  std::set<VmId> Ready;
  for (const VmId &Vm : R.Vms_)
    if (!R.Queues_[R.regionOf(Vm)].HasFailed_)
      Ready.insert(Vm);
  for (const VmId &Vm : Ready) {
    SteeringView &V = R.Views_[Vm];
    V.Usable_.clear();
    for (const auto &[Service, S] : R.D_.Services_)
      for (const auto &[Id, Q] : R.Queues_)
        if (!Q.HasFailed_)
          V.Usable_.insert({Service, Id});
    for (const auto &[F, Rate] : R.Demand_)
      V.Demand_[F] += NewestWeight * (R.ReceivedBy_[Vm][F] - V.Demand_[F]);
    RegionLoads Loads = R.Loads_;
    Loads.Reports_[Vm] = {R.Now_, R.SendRates_[Vm], slotsOf(R, Vm)};
    updateSlots(Loads, R.D_, R.Now_);
    R.Loads_.Slots_ = Loads.Slots_;
    V.Credit_ = planCredits(Loads, R.D_, TargetUtilization, Vm, Ready, R.Now_);
    V.Limit_ = planCredits(Loads, R.D_, 1.0, Vm, Ready, R.Now_);
    advance(R.Plans_[Vm], R.D_, V, R.Now_);
  }
}

/// \returns calls by flow and region, averaged over 10 s that end \p Ago
/// seconds before now.
std::map<std::pair<Flow, RegionId>, double> meanChosen(const Run &R,
                                                       std::size_t Ago) {
  constexpr std::size_t Averaged = 10;
  std::map<std::pair<Flow, RegionId>, double> Out;
  for (std::size_t I = Ago; I < Ago + Averaged; ++I)
    for (const auto &[Key, Calls] : R.History_[R.History_.size() - 1 - I])
      Out[Key] += Calls / Averaged;
  return Out;
}

/// \returns the fraction of all calls that go to another region than one shift
/// interval ago.
double movedInInterval(const Run &R) {
  auto Interval = static_cast<std::size_t>(
      R.D_.Profiles_.begin()->second.ShiftEvery_.inSeconds());
  auto Earlier = meanChosen(R, Interval);
  double Gained = 0;
  for (const auto &[Key, Calls] : meanChosen(R, 0))
    Gained += std::max(0.0, Calls - Earlier[Key]);
  return Gained / totalDemand(R);
}

void recordSecond(Run &R, bool IsWarmedUp) {
  R.History_.push_back(R.Chosen_);
  if (R.History_.size() > HistorySeconds)
    R.History_.pop_front();
  if (IsWarmedUp)
    R.Results_.MaxShift_ = std::max(R.Results_.MaxShift_, movedInInterval(R));
  for (auto &[Id, Q] : R.Queues_) {
    if (Q.Backlog_ > Q.Capacity_ * OverloadSeconds && !Q.HasFailed_)
      R.Results_.OverloadedSeconds_ += 1;
    double Calls = 0;
    for (auto &[F, Rate] : R.Demand_) {
      Calls += Q.CallsThisSecond_[F];
      Q.WarmRate_[F] +=
          (Q.CallsThisSecond_[F] - Q.WarmRate_[F]) / WarmingSeconds;
    }
    R.Results_.MaxLoad_ =
        std::max(R.Results_.MaxLoad_, Calls / (Q.Capacity_ * DeclaredFraction));
    Q.CallsThisSecond_.clear();
    for (const LinkDecl &L : R.D_.Links_)
      if (L.From_ == Id)
        R.Results_.MaxLinkUse_ = std::max(
            R.Results_.MaxLinkUse_, R.LinkBytes_[Id] / L.Cap_.bytesPerSecond());
  }
}

double sentTo(Run &R, const RegionId &Region) {
  double Sum = 0;
  for (const auto &[Key, Calls] : R.Sent_)
    if (Key.second == Region)
      Sum += Calls;
  return Sum;
}

void simulateSecond(Run &R, bool IsWarmedUp) {
  R.Sent_.clear();
  R.Chosen_.clear();
  R.ReceivedBy_.clear();
  R.LinkBytes_.clear();
  for (int Tick = 0; Tick < TicksPerSecond; ++Tick) {
    grantCredits(R);
    for (const auto &[F, Rate] : R.Demand_) {
      std::poisson_distribution<int> Arrivals(Rate / TicksPerSecond);
      for (int I = Arrivals(R.Source_); I > 0; --I)
        call(R, F);
    }
    processBacklog(R);
  }
  recordSecond(R, IsWarmedUp);
  exchangeReports(R);
  updateViews(R);
  R.Now_ = R.Now_ + Duration::seconds(1);
}

/// An action at a given second of the run.
struct Event {
  int At_;
  std::function<void(Run &)> Action_;
};

struct Scenario {
  std::string Name_;
  double Load_; ///< demand as a fraction of the regions' total capacity
  int Seconds_;
  std::function<void(Run &)> Setup_;
  std::vector<Event> Events_;
};

constexpr int WarmUp = 30;

Results runScenario(const Deployment &F, const Scenario &S, Policy P) {
  Run R(F, P, S.Load_);
  S.Setup_(R);
  updateViews(R);
  for (int Second = 0; Second < WarmUp; ++Second)
    simulateSecond(R, false);
  R.Results_ = Results();
  double Before = sentTo(R, F.FaultedRegion_);
  for (int Second = 0; Second < S.Seconds_; ++Second) {
    for (const Event &E : S.Events_)
      if (E.At_ == Second)
        E.Action_(R);
    simulateSecond(R, true);
    if (R.Results_.DrainSeconds_ < 0 &&
        sentTo(R, F.FaultedRegion_) < 0.01 * Before)
      R.Results_.DrainSeconds_ = Second + 1;
  }
  return R.Results_;
}

/// Restarts the VMs of a region with the plan of a VM of another region.
void restart(Run &R, const RegionId &Region) {
  VmId Peer;
  for (const VmId &Vm : R.Vms_)
    if (R.regionOf(Vm) != Region)
      Peer = Vm;
  RegionPlanSnapshot Snapshot =
      snapshotOf(R.Plans_[Peer], R.Views_[Peer], R.Now_);
  for (const VmId &Vm : R.Vms_)
    if (R.regionOf(Vm) == Region)
      R.Plans_[Vm] = restorePlan(Snapshot, R.Now_);
}

std::vector<Scenario> scenarios(const Deployment &F) {
  RegionId Faulted = F.FaultedRegion_;
  auto Nothing = [](Run &) {};
  auto Drain = [=](Run &R) { R.D_.Regions_.at(Faulted).Drained_ = true; };
  auto Kill = [=](Run &R) { R.Queues_[Faulted].HasFailed_ = true; };
  auto Revive = [=](Run &R) {
    R.Queues_[Faulted].HasFailed_ = false;
    R.Queues_[Faulted].Backlog_ = 0;
    R.Queues_[Faulted].WarmRate_.clear();
    restart(R, Faulted);
  };
  auto Halve = [=](Run &R) {
    R.Queues_[Faulted].Capacity_ /= 2;
    R.Queues_[Faulted].Slots_ /= 2;
  };
  auto AvoidHome = [=](Run &R) {
    for (auto &[Id, P] : R.D_.Profiles_) {
      P.Objective_ = Objective::Cheapest;
      P.Avoid_ = {Faulted};
    }
  };
  auto NewPrices = [](Run &R) {
    for (LinkDecl &L : R.D_.Links_)
      L.Price_ = Price(20 - L.Price_.centsPerGigabyte());
  };
  auto LargeResponses = [=](Run &R) {
    double Cap = R.D_.Links_.front().Cap_.bytesPerSecond();
    double Rate = R.D_.Regions_.at(Faulted).Capacity_.perSecond() * 0.5;
    R.ResponseBytes_ = 1.5 * Cap / Rate;
  };
  return {
      {"nothing happens", 0.5, 180, Nothing, {}},
      {"drain of a region", 0.5, 180, Nothing, {{10, Drain}}},
      {"region fails at peak, returns",
       0.8,
       420,
       Nothing,
       {{10, Kill}, {200, Revive}}},
      {"half of a region's upstreams die", 0.6, 180, Nothing, {{10, Halve}}},
      {"price change at noon", 0.5, 180, AvoidHome, {{10, NewPrices}}},
      {"drain over a full link", 0.5, 180, LargeResponses, {{10, Drain}}}};
}

void print(const char *Name, const Results &F) {
  std::printf("  %-8s worst shift/interval %5.1f %%  overload %3.0f s  lost "
              "%5.2f %%  refused %5.2f %%  worst load %3.0f %%  worst link "
              "%3.0f %%  drained after %4.0f s\n",
              Name, 100 * F.MaxShift_, F.OverloadedSeconds_,
              100 * F.Abandoned_ / F.Calls_, 100 * F.Refused_ / F.Calls_,
              100 * F.MaxLoad_, 100 * F.MaxLinkUse_, F.DrainSeconds_);
}

} // namespace

int main() {
  for (const Deployment &F :
       {Deployment{"tussock-ridge", RegionId("waikato"), 4000},
        Deployment{"kaasik", RegionId("tallinn"), 4000}})
    for (const Scenario &S : scenarios(F)) {
      std::printf("%s: %s\n", F.Folder_.c_str(), S.Name_.c_str());
      print("paced", runScenario(F, S, Policy::Paced));
      print("instant", runScenario(F, S, Policy::Instant));
    }
}
