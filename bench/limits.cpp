// Compares methods of enforcing a team's rate over all VMs: leases, a fixed
// split, central counting and gossiped counters. All get the same calls under a
// virtual clock. Usage: bench_limits [DEPLOYMENT [SCENARIO [SEED]]]
#include "fakes/LeaseFleet.h"

#include <cstdio>
#include <cstring>
#include <functional>
#include <numeric>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

namespace {

constexpr int Vms = 11;
constexpr int Zones = 6;
constexpr std::int64_t WarmUpMillis = 10'000;
constexpr std::int64_t RunMillis = 60'000;
/// From the loss of an authority to the election of the next one.
constexpr std::int64_t ElectionMillis = 1500;
constexpr std::int64_t FaultAt = 20'000;

struct Deployment {
  const char *Name_;
  int RegionDelayMillis_;      ///< one-way, between VMs of a region
  int InterRegionDelayMillis_; ///< one-way, between regions
  std::vector<TeamDecl> Teams_;
};

TeamDecl team(const char *Name, double PerSecond, double Burst) {
  TeamDecl T;
  T.Id_ = TeamId(Name);
  T.Rate_ = Rate(PerSecond);
  T.Burst_ = Burst;
  return T;
}

std::vector<Deployment> deployments() {
  return {{"tussock",
           1,
           35,
           {team("agents", 400, 400), team("council", 300, 300),
            team("farmers", 200, 300), team("a", 40, 40), team("b", 30, 40),
            team("c", 20, 30), team("d", 10, 20), team("e", 5, 20)}},
          {"kaasik",
           2,
           20,
           {team("anchor", 300, 600), team("chain", 150, 200),
            team("drivers", 100, 100), team("a", 30, 40), team("b", 20, 40),
            team("c", 20, 30), team("d", 10, 20), team("e", 5, 20)}}};
}

struct Arrival {
  std::int64_t At_;
  int Vm_;
  int Team_;
};

/// Fault injected in a scenario.
enum class Event { None, CutZone, CutLeader, RestartVm, LoseLeaderTwice };

struct Scenario {
  const char *Name_;
  Event Event_;
  /// Calls per second of a team at a VM at a time.
  std::function<double(const TeamDecl &, int Team, int Vm, std::int64_t At)>
      Load_;
};

std::vector<Scenario> scenarios() {
  auto Even = [](const TeamDecl &T, int, int, std::int64_t) {
    return 0.8 * T.Rate_.perSecond() / Vms;
  };
  // The first team's callers arrive together: nearly its burst within one
  // second at the VMs of one region, then nearly its rate.
  auto Surge = [Even](const TeamDecl &T, int Team, int Vm, std::int64_t At) {
    if (Team != 0)
      return Even(T, Team, Vm, At);
    if (Vm % Zones > 1 || At < 15'000)
      return 0.0;
    bool Burst = At < 16'000;
    return (Burst ? 0.9 * T.Burst_ : 0.9 * T.Rate_.perSecond()) / 4;
  };
  auto FiveTimes = [Even](const TeamDecl &T, int Team, int Vm,
                          std::int64_t At) {
    return Team == 0 ? 5 * T.Rate_.perSecond() / Vms : Even(T, Team, Vm, At);
  };
  auto OneVm = [](const TeamDecl &T, int Team, int Vm, std::int64_t) {
    return Vm == (Team * 3 + 1) % Vms ? 0.9 * T.Rate_.perSecond() : 0.0;
  };
  auto Moving = [](const TeamDecl &T, int Team, int Vm, std::int64_t At) {
    auto Home = (Team * 3 + At / 5000 * 7) % Vms;
    return Vm == Home ? 0.9 * T.Rate_.perSecond() : 0.0;
  };
  return {{"even", Event::None, Even},
          {"dawn", Event::None, Surge},
          {"five-times", Event::None, FiveTimes},
          {"one-vm", Event::None, OneVm},
          {"moving", Event::None, Moving},
          {"zone-cut", Event::CutZone, Even},
          {"leader-cut", Event::CutLeader, Even},
          {"vm-restart", Event::RestartVm, Even},
          {"leader-lost-twice", Event::LoseLeaderTwice, Even}};
}

/// Whether a VM is down at a time; its callers use the next VM that is up.
bool isDown(Event E, int Vm, std::int64_t At) {
  bool FaultActive = At >= FaultAt;
  if (E == Event::RestartVm)
    return Vm == 3 && FaultActive && At < FaultAt + 10'000;
  if (E == Event::LoseLeaderTwice)
    return (Vm == 0 && FaultActive) || (Vm == 2 && At >= FaultAt + 2500);
  return false;
}

std::vector<Arrival> generateArrivals(const Deployment &F, const Scenario &S,
                                      std::uint64_t Seed) {
  Random R(Seed);
  std::vector<Arrival> Out;
  for (std::int64_t At = 0; At < RunMillis; ++At)
    for (std::size_t T = 0; T < F.Teams_.size(); ++T)
      for (int Vm = 0; Vm < Vms; ++Vm) {
        double Mean = S.Load_(F.Teams_[T], static_cast<int>(T), Vm, At) / 1000;
        int Count = Mean > 0 ? std::poisson_distribution<int>(Mean)(R) : 0;
        int Used = Vm;
        while (isDown(S.Event_, Used, At))
          Used = (Used + 1) % Vms;
        for (int I = 0; I < Count; ++I)
          Out.push_back({At, Used, static_cast<int>(T)});
      }
  return Out;
}

/// Exact token bucket, the reference for all methods.
struct Bucket {
  double Rate_ = 0;
  double Burst_ = 0;
  double Tokens_ = 0;
  std::int64_t At_ = 0;

  bool take(std::int64_t Now) {
    Tokens_ = std::min(Burst_, Tokens_ + Rate_ * (Now - At_) / 1000.0);
    At_ = Now;
    if (Tokens_ < 1)
      return false;
    Tokens_ -= 1;
    return true;
  }
};

Bucket bucketOf(const TeamDecl &T, double Share = 1) {
  return {T.Rate_.perSecond() * Share, T.Burst_ * Share, T.Burst_ * Share, 0};
}

/// Counts admitted calls and compares them with an exact bucket.
class Score {
public:
  explicit Score(const Deployment &F)
      : Deployment_(F), Teams_(F.Teams_.size()) {
    for (std::size_t T = 0; T < Teams_.size(); ++T)
      Teams_[T].Exact_ = bucketOf(F.Teams_[T]);
  }

  void offered(int Team, std::int64_t At) {
    PerTeam &T = Teams_[Team];
    ++T.Offered_;
    if (T.Exact_.take(At))
      ++T.Windows_[At / WindowMillis].Expected_;
  }

  void ended(int Team, std::int64_t CalledAt, std::int64_t At, bool Taken) {
    PerTeam &T = Teams_[Team];
    if (!Taken)
      return;
    ++T.Windows_[CalledAt / WindowMillis].Admitted_;
    const TeamDecl &D = Deployment_.Teams_[Team];
    T.Check_.take(At / 1000.0, 1, D.Rate_.perSecond(), D.Burst_);
    Waits_.push_back(At - CalledAt);
  }

  void print(const char *Method, double BytesPerSecond) {
    double Due = 0, WronglyRefused = 0, Worst = 1, Excess = 0;
    // Of teams that never exceed their rate.
    double WithinRateRefused = 0, WithinRateDue = 0;
    std::string WorstTeam = "-";
    for (PerTeam &T : Teams_) {
      double TeamDue = 0, TeamTaken = 0;
      for (const auto &[Number, W] : T.Windows_) {
        TeamDue += W.Expected_;
        TeamTaken += std::min(W.Admitted_, W.Expected_);
      }
      Due += TeamDue;
      if (TeamDue == T.Offered_) {
        WithinRateDue += TeamDue;
        WithinRateRefused += TeamDue - TeamTaken;
      }
      WronglyRefused += TeamDue - TeamTaken;
      if (TeamDue > 0 && TeamTaken / TeamDue < Worst) {
        Worst = TeamTaken / TeamDue;
        WorstTeam = Deployment_.Teams_[&T - Teams_.data()].Id_.str();
      }
      Excess = std::max(Excess, T.Check_.worstExcess());
    }
    std::sort(Waits_.begin(), Waits_.end());
    std::printf("  %-8s refused wrongly %8.4f %% (within rate %8.4f %%)  "
                "worst team %7.3f %% "
                "%-7s excess %7.1f  "
                "wait p50 %3lld p99 %3lld max %3lld ms  %7.0f B/s/VM\n",
                Method, Due > 0 ? 100 * WronglyRefused / Due : 0,
                WithinRateDue > 0 ? 100 * WithinRateRefused / WithinRateDue : 0,
                100 * Worst, WorstTeam.c_str(), Excess, wait(0.5), wait(0.99),
                wait(1), BytesPerSecond);
  }

private:
  /// Length of the windows in which admitted calls are compared with those of
  /// the exact bucket. Long enough that it makes no difference which of the
  /// calls beyond the rate are refused.
  static constexpr std::int64_t WindowMillis = 5000;
  struct Window {
    int Expected_ = 0;
    int Admitted_ = 0;
  };
  struct PerTeam {
    Bucket Exact_;
    WindowCheck Check_;
    std::map<std::int64_t, Window> Windows_;
    double Offered_ = 0;
  };

  long long wait(double Quantile) const {
    if (Waits_.empty())
      return 0;
    auto Last = static_cast<double>(Waits_.size() - 1);
    return Waits_[static_cast<std::size_t>(Quantile * Last)];
  }

  const Deployment &Deployment_;
  std::vector<PerTeam> Teams_;
  std::vector<std::int64_t> Waits_;
};

VmId vmId(int Vm) { return VmId("vm" + std::to_string(Vm)); }
int zoneOf(int Vm) { return Vm % Zones; }

int delay(const Deployment &F, int From, int To) {
  bool SameRegion = zoneOf(From) / 2 == zoneOf(To) / 2;
  return SameRegion ? F.RegionDelayMillis_ : F.InterRegionDelayMillis_;
}

int numberOf(const VmId &Id) { return std::stoi(Id.str().substr(2)); }

Declarations declarationsOf(const Deployment &F) {
  Declarations D = LeaseFleet::sixZoneDeclarations(Vms);
  D.Regions_.clear();
  D.Teams_.clear();
  for (const TeamDecl &T : F.Teams_)
    D.Teams_[T.Id_] = T;
  return D;
}

void runLeases(const Deployment &F, const Scenario &S,
               const std::vector<Arrival> &Calls) {
  LeaseFleet Fleet(declarationsOf(F));
  std::map<QuantityId, int> Numbers;
  for (std::size_t T = 0; T < F.Teams_.size(); ++T)
    Numbers[teamRate(F.Teams_[T].Id_)] = static_cast<int>(T);
  Fleet.network().setHook([&](std::uint64_t, const Envelope &E) {
    int Millis = delay(F, numberOf(E.From_), numberOf(E.To_));
    return MessageOutcome{.Delay_ = Duration::millis(Millis)};
  });
  Fleet.electAndAnnounce(vmId(0));
  Fleet.run(Duration::millis(WarmUpMillis));
  Score Result(F);
  Time Start = Fleet.now();
  Fleet.setCompletionHook(
      [&](const VmId &, const QuantityId &Q, Time At, TakeStatus End) {
        Result.ended(Numbers.at(Q), (At - Start).count(),
                     (Fleet.now() - Start).count(), End == TakeStatus::Taken);
      });
  std::uint64_t BytesBefore = Fleet.network().bytes();
  auto NextLeader = [&](int Vm) {
    Fleet.electUnannounced(vmId(Vm));
    for (const VmId &Id : Fleet.ids())
      Fleet.learnLeader(Id);
  };
  auto Next = Calls.begin();
  for (std::int64_t At = 0; At < RunMillis; ++At) {
    bool Cut = S.Event_ == Event::CutZone || S.Event_ == Event::CutLeader;
    if (Cut && At == FaultAt)
      Fleet.cutOff(S.Event_ == Event::CutLeader ? "z0" : "z4");
    if (Cut && At == FaultAt + 20'000)
      Fleet.heal();
    if (S.Event_ == Event::CutLeader && At == FaultAt + ElectionMillis - 510)
      Fleet.expireLeadership();
    if (S.Event_ == Event::CutLeader && At == FaultAt + ElectionMillis)
      NextLeader(2);
    if (S.Event_ == Event::RestartVm && At == FaultAt)
      Fleet.crash(vmId(3));
    if (S.Event_ == Event::RestartVm && At == FaultAt + 10'000)
      Fleet.restart(vmId(3));
    if (S.Event_ == Event::LoseLeaderTwice) {
      if (At == FaultAt)
        Fleet.crash(vmId(0));
      if (At == FaultAt + ElectionMillis)
        NextLeader(2);
      if (At == FaultAt + 2500)
        Fleet.crash(vmId(2));
      if (At == FaultAt + 2500 + ElectionMillis)
        NextLeader(4);
    }
    for (; Next != Calls.end() && Next->At_ == At; ++Next) {
      Result.offered(Next->Team_, At);
      Fleet.call(vmId(Next->Vm_), teamRate(F.Teams_[Next->Team_].Id_));
    }
    Fleet.run(Duration::millis(1));
  }
  Fleet.run(Duration::seconds(1));
  double Bytes = static_cast<double>(Fleet.network().bytes() - BytesBefore);
  Result.print("leases", Bytes / Vms / (RunMillis / 1000.0));
}

void runFixedSplit(const Deployment &F, const std::vector<Arrival> &Calls) {
  Score Result(F);
  std::vector<std::vector<Bucket>> Parts(Vms);
  for (auto &Part : Parts)
    for (const TeamDecl &T : F.Teams_)
      Part.push_back(bucketOf(T, 1.0 / Vms));
  for (const Arrival &A : Calls) {
    Result.offered(A.Team_, A.At_);
    bool Taken = Parts[A.Vm_][A.Team_].take(A.At_);
    Result.ended(A.Team_, A.At_, A.At_, Taken);
  }
  Result.print("split", 0);
}

/// \returns the VM that counts the calls of all VMs, -1 while there is none.
int counterVm(Event E, std::int64_t At) {
  if (E == Event::LoseLeaderTwice) {
    if (At < FaultAt)
      return 0;
    if (At < FaultAt + ElectionMillis)
      return -1;
    if (At < FaultAt + 2500)
      return 2;
    return At < FaultAt + 2500 + ElectionMillis ? -1 : 4;
  }
  if (E == Event::CutLeader && At >= FaultAt && At < FaultAt + 20'000)
    return At < FaultAt + ElectionMillis ? -1 : 2;
  return 0;
}

bool isCut(Event E, int A, int B, std::int64_t At) {
  if (At < FaultAt || At >= FaultAt + 20'000)
    return false;
  if (E != Event::CutZone && E != Event::CutLeader)
    return false;
  int Zone = E == Event::CutLeader ? 0 : 4;
  return (zoneOf(A) == Zone) != (zoneOf(B) == Zone);
}

void runCentral(const Deployment &F, const Scenario &S,
                const std::vector<Arrival> &Calls) {
  constexpr double BytesPerCall = 80;
  Score Result(F);
  std::vector<Bucket> Counts;
  for (const TeamDecl &T : F.Teams_)
    Counts.push_back(bucketOf(T));
  int PreviousCounterVm = 0;
  // Calls are counted in the order of their arrival at the counter.
  std::multimap<std::int64_t, Arrival> Due;
  for (const Arrival &A : Calls) {
    Result.offered(A.Team_, A.At_);
    int At = counterVm(S.Event_, A.At_);
    if (At >= 0 && !isCut(S.Event_, A.Vm_, At, A.At_))
      Due.emplace(A.At_ + (At == A.Vm_ ? 0 : delay(F, A.Vm_, At)), A);
  }
  for (const auto &[Millis, A] : Due) {
    int At = std::max(0, counterVm(S.Event_, A.At_));
    if (At != PreviousCounterVm)
      for (Bucket &B : Counts)
        B.Tokens_ = 0;
    PreviousCounterVm = At;
    bool Taken = Counts[A.Team_].take(Millis);
    Result.ended(A.Team_, A.At_, 2 * Millis - A.At_, Taken);
  }
  double Seconds = RunMillis / 1000.0;
  Result.print("central", static_cast<double>(Calls.size()) * 2 * BytesPerCall /
                              Vms / Seconds);
}

void runGossip(const Deployment &F, const Scenario &S,
               const std::vector<Arrival> &Calls) {
  constexpr std::int64_t Every = 100;
  constexpr double BytesPerCount = 12;
  Score Result(F);
  std::size_t Teams = F.Teams_.size();
  // Each VM's bucket is charged with local calls at once, and with other VMs'
  // calls when their counts arrive.
  std::vector<std::vector<Bucket>> Views(Vms);
  for (auto &View : Views)
    for (const TeamDecl &T : F.Teams_)
      View.push_back(bucketOf(T));
  std::vector<std::vector<int>> UnsentCounts(Vms, std::vector<int>(Teams));
  struct Count {
    int To_, Team_, Units_;
  };
  std::multimap<std::int64_t, Count> InFlight;
  auto Next = Calls.begin();
  for (std::int64_t At = 0; At < RunMillis; ++At) {
    while (!InFlight.empty() && InFlight.begin()->first <= At) {
      Count C = InFlight.begin()->second;
      Views[C.To_][C.Team_].Tokens_ -= C.Units_;
      InFlight.erase(InFlight.begin());
    }
    for (; Next != Calls.end() && Next->At_ == At; ++Next) {
      Result.offered(Next->Team_, At);
      bool Taken = Views[Next->Vm_][Next->Team_].take(At);
      UnsentCounts[Next->Vm_][Next->Team_] += Taken;
      Result.ended(Next->Team_, At, At, Taken);
    }
    if (At % Every != 0)
      continue;
    for (int From = 0; From < Vms; ++From)
      for (std::size_t T = 0; T < Teams; ++T) {
        for (int To = 0; To < Vms; ++To)
          if (To != From && UnsentCounts[From][T] &&
              !isCut(S.Event_, From, To, At))
            InFlight.emplace(
                At + delay(F, From, To),
                Count{To, static_cast<int>(T), UnsentCounts[From][T]});
        UnsentCounts[From][T] = 0;
      }
  }
  Result.print("gossip", static_cast<double>(Teams) * BytesPerCount *
                             (Vms - 1) * 1000 / Every);
}

bool isSelected(int Count, char **Arguments, int Place, const char *Name) {
  return Count <= Place || !std::strcmp(Arguments[Place], Name) ||
         !std::strcmp(Arguments[Place], "all");
}

} // namespace

int main(int Count, char **Arguments) {
  std::uint64_t Seed = Count > 3 ? std::stoull(Arguments[3]) : 1;
  for (const Deployment &F : deployments())
    for (const Scenario &S : scenarios()) {
      if (!isSelected(Count, Arguments, 1, F.Name_) ||
          !isSelected(Count, Arguments, 2, S.Name_))
        continue;
      std::vector<Arrival> Calls = generateArrivals(F, S, Seed);
      std::printf("%s %s: %zu calls\n", F.Name_, S.Name_, Calls.size());
      runLeases(F, S, Calls);
      runFixedSplit(F, Calls);
      runCentral(F, S, Calls);
      runGossip(F, S, Calls);
    }
  return invariantViolations() == 0 ? 0 : 1;
}
