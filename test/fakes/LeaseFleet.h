#pragma once

#include "fakes/FakeNetwork.h"
#include "lagoonpoint/Limits"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoonpoint::fakes {

/// Checks that no time window contains more than rate * length + burst units,
/// with a tolerance for two clock readings in milliseconds.
class WindowCheck {
public:
  void take(double Seconds, double Cost, double Rate, double Burst) {
    Level_ = std::max(0.0, Level_ - (Seconds - At_) * Rate);
    At_ = Seconds;
    Level_ += Cost;
    WorstExcess_ =
        std::max(WorstExcess_, Level_ - Burst - Rate * ClockReadingSeconds);
  }
  /// \returns the largest excess of any window in units; <= 0 if there was
  /// none.
  double worstExcess() const { return WorstExcess_; }

private:
  static constexpr double ClockReadingSeconds = 0.002;
  double Level_ = 0;
  double At_ = 0;
  double WorstExcess_ = -1e300;
};

/// Simulated VMs with their lease shards, on a fake network and a virtual
/// clock.
///
/// Each VM's clock may run at its own rate. Load is generated as evenly spaced
/// calls.
class LeaseFleet {
public:
  struct Vm {
    std::map<unsigned, std::unique_ptr<LeaseShard>> Shards_; ///< by number
    bool Up_ = true;
    double ClockRate_ = 1;
    std::uint64_t Starts_ = 1;
    Revision Revision_; ///< latest one it knows
  };
  struct Counts {
    int Taken_ = 0;
    int Refused_ = 0;
    int Offered_ = 0;
  };
  /// Called for each finished call: VM, quantity, time of the call, result.
  using CompletionHook = std::function<void(const VmId &, const QuantityId &,
                                            Time CalledAt, TakeStatus)>;
  struct Load {
    VmId Vm_;
    QuantityId Quantity_;
    double PerSecond_ = 0;
    double Accrued_ = 0;
  };

  static Declarations sixZoneDeclarations(int Vms = 11) {
    Declarations D;
    for (int Z = 0; Z < 6; ++Z) {
      RegionId R("r" + std::to_string(Z / 2));
      ZoneId Id("z" + std::to_string(Z));
      D.Regions_[R] = {R, Rate(1000), false};
      D.Zones_[Id] = {Id, R, false};
    }
    for (int I = 0; I < Vms; ++I) {
      VmDecl Vm;
      Vm.Id_ = VmId("vm" + std::to_string(I));
      Vm.Zone_ = ZoneId("z" + std::to_string(I % 6));
      D.Vms_[Vm.Id_] = Vm;
    }
    addTeam(D, "big", 100, 50);
    addTeam(D, "small", 5, 5);
    return D;
  }

  static void addTeam(Declarations &D, const std::string &Name,
                      double PerSecond, double Burst) {
    TeamDecl T;
    T.Id_ = TeamId(Name);
    T.Rate_ = Rate(PerSecond);
    T.Burst_ = Burst;
    D.Teams_[T.Id_] = T;
  }

  explicit LeaseFleet(Declarations D) : Declarations_(std::move(D)) {
    History_[Revision(1)] = Declarations_;
    for (const auto &[Id, Decl] : Declarations_.Vms_)
      start(Id, false);
  }

  void setCompletionHook(CompletionHook H) { OnCompletion_ = std::move(H); }
  FakeNetwork &network() { return Net_; }
  Time now() const { return Now_; }
  Time localNow(const VmId &Id) const {
    return Time(static_cast<std::int64_t>(
        std::floor(Now_.count() * Vms_.at(Id).ClockRate_)));
  }
  Vm &vm(const VmId &Id) { return Vms_.at(Id); }
  const Declarations &declarations() const { return Declarations_; }
  int taken(const QuantityId &Id) { return Counts_[Id].Taken_; }
  int refused(const QuantityId &Id) { return Counts_[Id].Refused_; }
  int offered(const QuantityId &Id) { return Counts_[Id].Offered_; }

  /// \returns the largest excess of any team over its rate and burst; <= 0 if
  /// there was none.
  double worstOverspend() const {
    double Worst = -1e300;
    for (const auto &[Id, Check] : Checks_)
      Worst = std::max(Worst, Check.worstExcess() - 1e-6);
    return Worst;
  }

  void setClockRate(const VmId &Id, double R) { Vms_.at(Id).ClockRate_ = R; }

  void start(const VmId &Id, bool Restarted) {
    Vm &V = Vms_[Id];
    V.Up_ = true;
    for (unsigned S = 0; S < LeaseShard::Shards; ++S)
      V.Shards_[S] = std::make_unique<LeaseShard>(S, Id, Incarnation(V.Starts_),
                                                  Restarted, localNow(Id));
    // A restarted VM gets all revisions from the settled one on.
    for (auto It = History_.lower_bound(Settled_); It != History_.end(); ++It)
      declareAt(Id, It->first, It->second);
    applySettledAt(Id);
    learnLeader(Id);
  }

  /// Adds a new revision that no VM knows yet.
  void declare(Declarations D) {
    History_[History_.rbegin()->first.next()] = D;
    Declarations_ = std::move(D);
    for (const auto &[Id, Decl] : Declarations_.Vms_)
      if (!Vms_.count(Id))
        start(Id, false);
  }

  /// Applies the revision in force at a VM.
  void learn(const VmId &Id) {
    Vm &V = Vms_.at(Id);
    if (V.Up_)
      declareAt(Id, History_.rbegin()->first, Declarations_);
  }

  /// Settles the revision in force if all VMs know it.
  void settleIfConfirmed() {
    for (const auto &[Id, V] : Vms_)
      if (V.Revision_ < History_.rbegin()->first)
        return;
    Settled_ = History_.rbegin()->first;
    for (const auto &[Id, V] : Vms_)
      if (V.Up_)
        applySettledAt(Id);
  }

  void crash(const VmId &Id) {
    if (Id == Leader_)
      expireLeadership();
    Vms_.at(Id).Up_ = false;
    Net_.dropTo(Id);
    std::erase_if(Waiting_, [&](const auto &W) { return W.first.first == Id; });
  }

  void restart(const VmId &Id) {
    ++Vms_.at(Id).Starts_;
    start(Id, true);
  }

  /// Stops extending the leader's proof of leadership, without notifying it.
  void expireLeadership() { Leader_ = VmId(); }

  /// Makes a VM the leader after its predecessor's proof of leadership has
  /// expired, and announces it to all VMs at once.
  void electAndAnnounce(const VmId &Id) {
    expireLeadership();
    run(LeaderProof + Duration::millis(10));
    electUnannounced(Id);
    for (const auto &[Each, V] : Vms_)
      learnLeader(Each);
  }

  /// Makes a VM the leader. Other VMs learn of it by learnLeader().
  void electUnannounced(const VmId &Id) {
    Leader_ = Id;
    LastLeader_ = Id;
    Term_ = Term_.next();
    extendLeadership();
  }

  void learnLeader(const VmId &Id) {
    Vm &V = Vms_.at(Id);
    if (!V.Up_ || LastLeader_.empty())
      return;
    for (auto &[Number, Shard] : V.Shards_)
      Shard->setAuthority(QuantityKind::TeamRate, LastLeader_, Term_,
                          localNow(Id));
  }

  /// Disconnects a zone's VMs from all others.
  void cutOff(const std::string &Zone) {
    for (const auto &[A, DeclA] : Declarations_.Vms_)
      for (const auto &[B, DeclB] : Declarations_.Vms_)
        if ((DeclA.Zone_ == ZoneId(Zone)) != (DeclB.Zone_ == ZoneId(Zone)))
          Net_.cut(A, B);
  }
  void heal() { Net_.healAll(); }
  const VmId &leader() const { return Leader_; }
  std::vector<VmId> ids() const {
    std::vector<VmId> Out;
    for (const auto &[Id, V] : Vms_)
      Out.push_back(Id);
    return Out;
  }

  void addLoad(const VmId &Id, const QuantityId &Q, double PerSecond) {
    Loads_.push_back({Id, Q, PerSecond, 0});
  }
  void clearLoads() { Loads_.clear(); }
  void runWithLoad(const VmId &Id, const QuantityId &Q, double PerSecond,
                   Duration For) {
    addLoad(Id, Q, PerSecond);
    run(For);
    Loads_.pop_back();
  }

  void call(const VmId &Id, const QuantityId &Q,
            Duration Deadline = Duration::seconds(5)) {
    Vm &V = Vms_.at(Id);
    if (!V.Up_)
      return;
    ++Counts_[Q].Offered_;
    Time Local = localNow(Id);
    unsigned S = LeaseShard::shardOf(Q);
    TakeResult R = V.Shards_[S]->take(Q, 1, Local + Deadline, Local);
    if (R.Status_ == TakeStatus::Waiting)
      Waiting_[{Id, {S, R.Ticket_}}] = {Q, Now_};
    else
      recordCompletion(Id, Q, Now_, R.Status_);
    flush(Id, V);
  }

  void run(Duration For) {
    for (Time End = Now_ + For; Now_ < End; Now_ = Now_ + Duration::millis(1))
      step();
  }

  void step() {
    if (Now_.count() % TickMillis == 0)
      extendLeadership();
    for (Envelope &E : Net_.takeDue(Now_)) {
      Vm &V = Vms_.at(E.To_);
      if (!V.Up_)
        continue;
      V.Shards_[LeaseShard::shardOf(E)]->receive(E, localNow(E.To_));
      flush(E.To_, V);
    }
    for (auto &[Id, V] : Vms_) {
      if (!V.Up_ || Now_.count() % TickMillis != 0)
        continue;
      for (auto &[Number, Shard] : V.Shards_)
        Shard->tick(localNow(Id));
      flush(Id, V);
    }
    for (std::size_t L = 0; L < Loads_.size(); ++L) {
      Loads_[L].Accrued_ += Loads_[L].PerSecond_ / 1000;
      for (; Loads_[L].Accrued_ >= 1; Loads_[L].Accrued_ -= 1)
        call(Loads_[L].Vm_, Loads_[L].Quantity_);
    }
  }

private:
  static constexpr int TickMillis = 10;
  static constexpr Duration LeaderProof = Duration::millis(500);

  void extendLeadership() {
    if (Leader_.empty() || !Vms_.at(Leader_).Up_)
      return;
    Time Local = localNow(Leader_);
    for (auto &[Number, Shard] : Vms_.at(Leader_).Shards_)
      Shard->lead(QuantityKind::TeamRate, Term_, Local + LeaderProof, Local);
  }

  void declareAt(const VmId &Id, Revision R, const Declarations &D) {
    Vm &V = Vms_.at(Id);
    V.Revision_ = R;
    for (auto &[Number, Shard] : V.Shards_)
      Shard->setDeclarations(D, R, localNow(Id));
  }

  void applySettledAt(const VmId &Id) {
    for (auto &[Number, Shard] : Vms_.at(Id).Shards_)
      Shard->setSettled(Settled_, localNow(Id));
  }

  void flush(const VmId &Id, Vm &V) {
    for (auto &[S, Shard] : V.Shards_) {
      for (const TakeResult &R : Shard->takeCompleted()) {
        auto Found = Waiting_.find({Id, {S, R.Ticket_}});
        if (Found == Waiting_.end())
          continue;
        recordCompletion(Id, Found->second.first, Found->second.second,
                         R.Status_);
        Waiting_.erase(Found);
      }
      for (Envelope &E : Shard->takeOutbox())
        Net_.send(Now_, std::move(E));
    }
  }

  void recordCompletion(const VmId &Id, const QuantityId &Q, Time CalledAt,
                        TakeStatus End) {
    if (OnCompletion_)
      OnCompletion_(Id, Q, CalledAt, End);
    Counts &T = Counts_[Q];
    ++(End == TakeStatus::Taken ? T.Taken_ : T.Refused_);
    if (End != TakeStatus::Taken)
      return;
    const TeamDecl &Team = Declarations_.Teams_.at(TeamId(Q.Name_));
    Checks_[Q].take(Now_.count() / 1000.0, 1, Team.Rate_.perSecond(),
                    Team.Burst_);
  }

  Declarations Declarations_;
  FakeNetwork Net_;
  Time Now_{10'000};
  std::map<VmId, Vm> Vms_;
  std::map<Revision, Declarations> History_;
  Revision Settled_{1};
  VmId Leader_; ///< empty when its proof is no longer extended
  VmId LastLeader_;
  Term Term_;
  std::vector<Load> Loads_;
  std::map<QuantityId, Counts> Counts_;
  std::map<QuantityId, WindowCheck> Checks_;
  std::map<std::pair<VmId, std::pair<unsigned, std::uint64_t>>,
           std::pair<QuantityId, Time>>
      Waiting_;
  CompletionHook OnCompletion_;
};

} // namespace lagoonpoint::fakes
