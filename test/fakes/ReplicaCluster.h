#pragma once

#include "fakes/ClusterNode.h"
#include "fakes/FakeNetwork.h"
#include "fakes/Faults.h"
#include "fakes/ReplicaChecks.h"

#include <optional>

namespace lagoonpoint::fakes {

/// A change that an operator sends repeatedly until it is answered.
struct PendingChange {
  Change Change_;
  std::optional<ChangeReply> Reply_;
  Time NextTry_;
};

/// A cluster of replicas under a virtual clock, connected by a FakeNetwork.
class ReplicaCluster {
public:
  static constexpr Duration HealAfter = Duration::millis(3000);

  /// The nodes start at the first step.
  /// \param Voters number of initial voters
  /// \param Size number of nodes; they are named a, b, c, ...
  ReplicaCluster(std::size_t Voters, std::size_t Size, std::uint64_t Seed)
      : Random_(Seed) {
    for (std::size_t NodeIndex = 0; NodeIndex < Size; ++NodeIndex) {
      VmId Id(std::string(1, static_cast<char>('a' + NodeIndex)));
      Nodes_[Id].Id_ = Id;
      if (NodeIndex < Voters)
        InitialVoters_.push_back(Id);
    }
    for (auto &Entry : Nodes_)
      attach(Entry.second);
    Net_.setHook(
        [this](std::uint64_t, const Envelope &E) { return outcomeOf(E); });
  }

  Duration Step_ = Duration::millis(10);
  Duration Delay_ = Duration::millis(30); ///< one-way, of each message
  ReplicationLimits Limits_{.SnapshotEvery_ = 16};
  FaultPlan Plan_;
  Duration SyncLatency_; ///< of each sync, unless the plan slows it down
  FakeNetwork Net_;
  ReplicaChecks Checks_;
  std::vector<PendingChange> Changes_;

  Time now() const { return Now_; }
  std::map<VmId, ClusterNode> &nodes() { return Nodes_; }
  ClusterNode &node(const char *Id) { return Nodes_.at(VmId(Id)); }
  Time localTime(const ClusterNode &N) const {
    double Local = static_cast<double>(Now_.count()) * N.ClockRate_;
    return Time(static_cast<std::int64_t>(Local));
  }

  /// \returns the leader with the highest term; null if there is none.
  ClusterNode *leader() {
    ClusterNode *Best = nullptr;
    for (auto &[Id, N] : Nodes_)
      if (N.isLeader() &&
          (!Best || N.Replica_->state().Term_ > Best->Replica_->state().Term_))
        Best = &N;
    return Best;
  }

  void submit(Change C) {
    Changes_.push_back({std::move(C), std::nullopt, Now_});
  }

  /// Advances the time by one step.
  void step() {
    Now_ = Now_ + Step_;
    heal();
    for (Envelope &E : Net_.takeDue(Now_))
      if (Nodes_.count(E.To_) && Nodes_.at(E.To_).isUp())
        Nodes_.at(E.To_).Queue_.push_back(std::move(E));
    for (auto &Entry : Nodes_)
      advance(Entry.second);
    sendChanges();
    Checks_.observeLeases(Nodes_, [this](const ClusterNode &N) {
      return N.Replica_->leaseValid(localTime(N));
    });
  }

  void run(Duration For) {
    for (Time End = Now_ + For; Now_ < End;)
      step();
  }

  /// Runs until a condition holds.
  /// \returns false if it doesn't hold within the limit.
  bool runUntil(const std::function<bool()> &Done, Duration Limit) {
    for (Time End = Now_ + Limit; Now_ < End && !Done();)
      step();
    return Done();
  }

  std::int64_t answered(ChangeVerdict Verdict, ChangeKind Kind) const {
    return std::count_if(Changes_.begin(), Changes_.end(),
                         [&](const PendingChange &P) {
                           return P.Reply_ && P.Reply_->Verdict_ == Verdict &&
                                  P.Change_.Kind_ == Kind;
                         });
  }

  bool allAnswered() const {
    for (const PendingChange &P : Changes_)
      if (!P.Reply_)
        return false;
    return true;
  }

  /// \returns true if all members have committed the whole log of a leader with
  /// a valid lease.
  bool converged() {
    ClusterNode *Leader = leader();
    if (!Leader || !allUp())
      return false;
    const ReplicaState &Lead = Leader->Replica_->state();
    if (Lead.Commit_ != Lead.Log_.lastIndex())
      return false;
    for (const VmId &Vm : Lead.Log_.config().peersOf(Leader->Id_))
      if (!Nodes_.at(Vm).PermanentlyDown_ &&
          Nodes_.at(Vm).Replica_->state().Commit_ != Lead.Commit_)
        return false;
    return Leader->Replica_->leaseValid(localTime(*Leader));
  }

  /// Crashes a VM's process. It restarts after at most 2 s.
  void crash(ClusterNode &N, bool LosePower) {
    constexpr std::uint64_t MaxDowntimeMs = 2000;
    auto Millis = static_cast<std::int64_t>(Random_() % MaxDowntimeMs);
    crash(N, LosePower, Duration::millis(Millis));
  }

  void crash(ClusterNode &N, bool LosePower, Duration Until) {
    N.Replica_.reset();
    N.Storage_.reset();
    N.Queue_.clear();
    N.PendingProposals_.clear();
    Net_.dropTo(N.Id_);
    N.RestartAt_ = Now_ + Until;
    if (LosePower)
      N.Disk_.losePower(Random_() % 40);
  }

  /// Replaces the disk of a VM by an empty one, and restarts the VM.
  void wipe(ClusterNode &N) {
    crash(N, false);
    N.Disk_ = FakeDisk();
    attach(N);
    Checks_.observeWipe(N);
  }

  /// Runs an action on a replica and processes its output.
  template <class Action> void act(ClusterNode &N, const Action &Do) {
    runWithFaults(N, [&] {
      Do();
      pump(N);
    });
  }

  void isolate(const VmId &Vm, Duration For = HealAfter) {
    for (auto &[Other, N] : Nodes_)
      if (Other != Vm)
        cutBoth(Vm, Other);
    HealAt_ = Now_ + For;
  }

private:
  void attach(ClusterNode &N) {
    N.Disk_.setHook([this, &N](const std::string &Operation) {
      return diskOutcomeOf(N, Operation);
    });
  }

  Fault faultAt(const FaultPoint &E) { return Plan_ ? Plan_(E) : Fault::None; }

  void start(ClusterNode &N) {
    N.Catalog_ = Catalog();
    N.Storage_ = std::make_unique<DiskStorage>(N.Disk_, DiskId(Random_() | 1));
    ReplicaOptions Options;
    Options.Self_ = N.Id_;
    Options.InitialVoters_ = InitialVoters_;
    Options.Limits_ = Limits_;
    Options.Seed_ = Random_();
    ++N.Starts_;
    runWithFaults(N, [&] {
      N.Replica_ =
          std::make_unique<Replica>(Options, *N.Storage_, localTime(N));
      Checks_.observeStart(N);
    });
  }

  /// Runs an action during which injected faults may crash the VM.
  template <class Action> void runWithFaults(ClusterNode &N, const Action &Do) {
    LosePower_ = false;
    try {
      Do();
    } catch (const Crash &) {
      crash(N, LosePower_);
    } catch (const DiskError &) {
      crash(N, false);
    }
    Time Free = N.BusyUntil_ > Now_ ? N.BusyUntil_ : Now_;
    N.BusyUntil_ = Free + N.Disk_.takeLatency();
  }

  void advance(ClusterNode &N) {
    if (!N.isUp()) {
      if (Now_ >= N.RestartAt_)
        start(N);
      return;
    }
    if (Now_ < N.BusyUntil_)
      return;
    if (!N.Replica_->fault().empty()) {
      Checks_.observeFault(N);
      crash(N, false);
      return;
    }
    runWithFaults(N, [&] {
      while (!N.Queue_.empty() && Now_ >= N.BusyUntil_) {
        Envelope E = std::move(N.Queue_.front());
        N.Queue_.pop_front();
        N.Replica_->receive(E, localTime(N));
      }
      N.Replica_->tick(localTime(N));
      pump(N);
    });
  }

  void pump(ClusterNode &N) {
    if (!N.Replica_->fault().empty())
      return; // stopped; nothing of this step may be sent
    Checks_.observe(N);
    for (const CommittedItem &Item : N.Replica_->takeCommitted())
      apply(N, Item);
    if (N.Replica_->wantsSnapshot())
      N.Replica_->snapshot(encode(N.Catalog_), localTime(N));
    for (Envelope &E : N.Replica_->takeOutbox()) {
      Net_.send(Now_, std::move(E));
      if (std::exchange(CrashAfterSend_, false))
        throw Crash();
    }
  }

  void apply(ClusterNode &N, const CommittedItem &Item) {
    if (Item.IsSnapshot_) {
      N.Catalog_ = decode<Catalog>(Item.Bytes_, "test.snapshot", "");
      Checks_.observeSnapshot(N, Item);
      return;
    }
    Change C = decode<Change>(Item.Bytes_, "test.apply", "");
    Revision Before = N.Catalog_.Revision_;
    ChangeReply Reply = applyChange(N.Catalog_, C);
    Checks_.observeApplied(N, Item, C, Before, Reply);
    auto Found = N.PendingProposals_.find(Item.Index_);
    if (Found == N.PendingProposals_.end())
      return;
    auto [T, ChangeIndex] = Found->second;
    N.PendingProposals_.erase(Found);
    if (T == Item.Term_)
      answer(N, Changes_[ChangeIndex], Reply);
  }

  void answer(ClusterNode &N, PendingChange &P, const ChangeReply &Reply) {
    Fault F = faultAt({FaultPoint::Kind::Reply, N.Id_, VmId(), "reply"});
    if (F == Fault::SenderCrashes || F == Fault::SenderLosesPower) {
      LosePower_ = F == Fault::SenderLosesPower;
      throw Crash();
    }
    if (F == Fault::LeaderIsolated)
      isolate(N.Id_);
    if (F == Fault::Lost)
      return;
    Checks_.observeReply(P.Change_, Reply);
    P.Reply_ = Reply;
  }

  void sendChanges() {
    constexpr Duration Retry = Duration::millis(1200);
    for (std::size_t ChangeIndex = 0; ChangeIndex < Changes_.size();
         ++ChangeIndex) {
      PendingChange &P = Changes_[ChangeIndex];
      if (P.Reply_ || Now_ < P.NextTry_)
        continue;
      for (auto &[Id, N] : Nodes_)
        if (N.isLeader() && Now_ >= N.BusyUntil_ && N.Replica_->fault().empty())
          propose(N, ChangeIndex);
      P.NextTry_ = Now_ + Retry;
    }
  }

  void propose(ClusterNode &N, std::size_t ChangeIndex) {
    runWithFaults(N, [&] {
      ProposeResult Result = N.Replica_->propose(
          encode(Changes_[ChangeIndex].Change_), localTime(N));
      if (Result.accepted())
        N.PendingProposals_[Result.Index_] = {Result.Term_, ChangeIndex};
      pump(N);
    });
  }

  bool allUp() const {
    for (const auto &[Id, N] : Nodes_)
      if (!N.isUp() && !N.PermanentlyDown_)
        return false;
    return true;
  }

  void cutBoth(const VmId &A, const VmId &B) {
    Net_.cut(A, B);
    Net_.cut(B, A);
  }

  void heal() {
    if (HealAt_ && Now_ >= *HealAt_) {
      Net_.healAll();
      HealAt_.reset();
    }
  }

  MessageOutcome outcomeOf(const Envelope &E) {
    MessageOutcome F;
    F.Delay_ = Delay_ + Nodes_.at(E.From_).Disk_.latency();
    std::string What = std::to_string(static_cast<int>(E.Body_.front()));
    switch (faultAt({FaultPoint::Kind::Message, E.From_, E.To_, What})) {
    case Fault::Lost:
      F.Lost_ = true;
      break;
    case Fault::Delayed:
      F.Delay_ = Duration::millis(700);
      break;
    case Fault::Reordered:
      F.Delay_ = Duration::millis(130);
      break;
    case Fault::Doubled:
      F.Copies_ = 2;
      break;
    case Fault::CutOneWay:
      Net_.cut(E.From_, E.To_);
      HealAt_ = Now_ + HealAfter;
      break;
    case Fault::CutBothWays:
      cutBoth(E.From_, E.To_);
      HealAt_ = Now_ + HealAfter;
      break;
    case Fault::SenderCrashes:
      CrashAfterSend_ = true;
      break;
    case Fault::SenderLosesPower:
      CrashAfterSend_ = true;
      LosePower_ = true;
      break;
    case Fault::ReceiverCrashes:
      crash(Nodes_.at(E.To_), false);
      break;
    case Fault::ReceiverLosesPower:
      crash(Nodes_.at(E.To_), true);
      break;
    case Fault::LeaderIsolated:
      if (ClusterNode *Leader = leader())
        isolate(Leader->Id_);
      break;
    default:
      break;
    }
    return F;
  }

  DiskOutcome diskOutcomeOf(ClusterNode &N, const std::string &Operation) {
    Fault F = faultAt({FaultPoint::Kind::Disk, N.Id_, VmId(), Operation});
    LosePower_ = F == Fault::PowerLostBefore || F == Fault::PowerLostAfter;
    DiskOutcome Outcome;
    Outcome.CrashBefore_ =
        F == Fault::CrashBefore || F == Fault::PowerLostBefore;
    Outcome.CrashAfter_ = F == Fault::CrashAfter || F == Fault::PowerLostAfter;
    Outcome.Fails_ = F == Fault::DiskFails;
    if (Operation == "sync")
      Outcome.Latency_ = SyncLatency_;
    if (F == Fault::DiskSlow)
      Outcome.Latency_ = Duration::millis(1500);
    return Outcome;
  }

  Random Random_;
  Time Now_;
  std::vector<VmId> InitialVoters_;
  std::map<VmId, ClusterNode> Nodes_;
  std::optional<Time> HealAt_;
  bool CrashAfterSend_ = false;
  bool LosePower_ = false;
};

} // namespace lagoonpoint::fakes
