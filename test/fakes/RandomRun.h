#pragma once

#include "fakes/Operations.h"

#include <sstream>

namespace lagoonpoint::fakes {

/// Options of one random run. The run is determined by them.
struct RandomRunOptions {
  std::uint64_t Seed_ = 1;
  Duration Length_ = Duration::seconds(60);
  Duration RecoveryLimit_ =
      Duration::seconds(120); ///< time limit for recovery after the faults
};

/// Runs five VMs, of which three are initial voters, with random changes,
/// faults, reconfigurations and clock rates that differ by up to 10 %.
class RandomRun {
public:
  explicit RandomRun(RandomRunOptions Options)
      : Options_(Options), Random_(Options.Seed_),
        Cluster_(3, 5, Options.Seed_) {
    Cluster_.Limits_.ChunkBytes_ = 256 + Random_() % 2048;
    Cluster_.Limits_.BatchBytes_ = 500 + Random_() % 2000;
    Cluster_.Limits_.SnapshotEvery_ = 4 + Random_() % 40;
    FaultEvery_ = 5 + Random_() % 200;
    for (auto &Entry : Cluster_.nodes())
      Entry.second.ClockRate_ =
          0.952 + static_cast<double>(Random_() % 96) / 1000;
  }

  /// \returns the violated checks; empty if there are none.
  std::string run() {
    Cluster_.Plan_ = [this](const FaultPoint &E) { return drawFault(E); };
    for (Time End = Cluster_.now() + Options_.Length_; Cluster_.now() < End;) {
      performRandomActions();
      Cluster_.step();
    }
    Cluster_.Plan_ = {};
    bool Recovered = Cluster_.runUntil(
        [this] {
          removeWipedVoters();
          return Cluster_.allAnswered() && Cluster_.converged();
        },
        Options_.RecoveryLimit_);
    std::string Violations = Cluster_.Checks_.report();
    return Recovered ? Violations
                     : "no recovery within the limit; " + Violations;
  }

  std::uint64_t checks() const { return Cluster_.Checks_.CheckCount_; }
  std::uint64_t faults() const { return Faults_; }
  std::int64_t acceptedDeclarations() const {
    return Cluster_.answered(ChangeVerdict::Accepted, ChangeKind::Declare);
  }
  std::uint64_t wipes() const { return Wipes_; }
  std::uint64_t changes() const { return Cluster_.Changes_.size(); }

  /// \returns the last faults and actions, one on each line, and the state of
  /// the VMs.
  std::string trace() {
    std::string Text;
    for (const std::string &Line : Trace_)
      Text += Line + "\n";
    return Text + describe();
  }

private:
  static constexpr std::size_t TraceLines = 30;

  std::string describe() {
    std::ostringstream Out;
    for (const auto &[Id, N] : Cluster_.nodes()) {
      Out << Id << ": ";
      if (!N.isUp()) {
        Out << "down\n";
        continue;
      }
      ReplicaStatus S = N.Replica_->status(Cluster_.localTime(N));
      Out << toString(S.Role_) << " term " << S.Term_ << " commit " << S.Commit_
          << " last " << S.LastIndex_ << " snapshot " << S.SnapshotIndex_
          << " voters";
      for (const Voter &V : S.Config_.Voters_)
        Out << " " << V.Vm_;
      Out << " learners";
      for (const VmId &Vm : S.Config_.Learners_)
        Out << " " << Vm;
      Out << " " << S.Fault_ << "\n";
    }
    return Out.str();
  }

  bool chance(std::uint64_t OneIn) { return Random_() % OneIn == 0; }

  void addToTrace(const std::string &What) {
    std::ostringstream Line;
    Line << Cluster_.now().count() << " ms: " << What;
    Trace_.push_back(Line.str());
    if (Trace_.size() > TraceLines)
      Trace_.pop_front();
  }

  Fault drawFault(const FaultPoint &E) {
    if (!chance(FaultEvery_))
      return Fault::None;
    const std::vector<Fault> &Faults = faultsAt(E.Kind_);
    Fault F = Faults[Random_() % Faults.size()];
    ++Faults_;
    addToTrace(E.Vm_.str() + " " + E.Description_ + " " + E.Receiver_.str() +
               ": " + toString(F));
    return F;
  }

  void performRandomActions() {
    constexpr std::uint64_t ChangeEvery = 40; // steps, on average
    constexpr std::uint64_t ReconfigureEvery = 100;
    constexpr std::uint64_t PowerLossEvery = 2000;
    constexpr std::uint64_t WipeEvery = 300;
    if (chance(ChangeEvery))
      submit();
    if (chance(ReconfigureEvery))
      reconfigure();
    if (chance(PowerLossEvery))
      losePowerEverywhere();
    if (chance(WipeEvery))
      wipeOne();
  }

  void submit() {
    std::string Name = std::to_string(Cluster_.Changes_.size());
    bool Again = !Cluster_.Changes_.empty() && chance(5);
    if (Again)
      Cluster_.submit(
          Cluster_.Changes_[Random_() % Cluster_.Changes_.size()].Change_);
    else if (chance(3))
      submitConflictingDeclarations(Name);
    else
      Cluster_.submit(withdrawal(Name));
  }

  void submitConflictingDeclarations(const std::string &Name) {
    ClusterNode *Leader = Cluster_.leader();
    Revision Base = Leader ? Leader->Catalog_.Revision_ : Revision();
    Cluster_.submit(declaration("left" + Name, Base));
    Cluster_.submit(declaration("right" + Name, Base));
  }

  void reconfigure() {
    if (recentlyWiped())
      return; // removing a voter now would amount to a second loss
    std::string Vm(1, static_cast<char>('a' + Random_() % 5));
    bool Add = chance(2);
    addToTrace((Add ? "add " : "remove ") + Vm);
    if (Add)
      addVoter(Cluster_, Vm.c_str());
    else
      removeVoter(Cluster_, Vm.c_str());
  }

  void losePowerEverywhere() {
    addToTrace("all VMs lose power");
    for (auto &Entry : Cluster_.nodes())
      Cluster_.crash(Entry.second, true);
  }

  bool recentlyWiped() const {
    constexpr Duration DetectionTime = Duration::seconds(3);
    return Wipes_ > 0 && Cluster_.now() < LastWipe_ + DetectionTime;
  }

  /// Wipes the disk of a random voter if the leader reports that the loss of
  /// any one voter loses no data.
  void wipeOne() {
    ClusterNode *Leader = Cluster_.leader();
    if (!Leader || recentlyWiped())
      return;
    Time Now = Cluster_.localTime(*Leader);
    ReplicaStatus Status = Leader->Replica_->status(Now);
    if (!Status.SurvivesOneLoss_ || !Leader->Replica_->leaseValid(Now))
      return;
    const std::vector<Voter> &Voters = Status.Config_.Voters_;
    ClusterNode &Lost =
        Cluster_.nodes().at(Voters[Random_() % Voters.size()].Vm_);
    addToTrace(Lost.Id_.str() + " loses its disk");
    LastWipe_ = Cluster_.now();
    ++Wipes_;
    Cluster_.wipe(Lost);
  }

  /// Removes voters whose disk was replaced by an empty one.
  void removeWipedVoters() {
    ClusterNode *Leader = Cluster_.leader();
    if (!Leader)
      return;
    VoterConfig Config = Leader->Replica_->state().Log_.config();
    for (const Voter &V : Config.Voters_) {
      const ClusterNode &N = Cluster_.nodes().at(V.Vm_);
      if (N.isUp() && N.Replica_->state().Disk_ != V.Disk_)
        removeVoter(Cluster_, V.Vm_.str().c_str());
    }
  }

  RandomRunOptions Options_;
  Random Random_;
  ReplicaCluster Cluster_;
  std::uint64_t FaultEvery_ = 0;
  std::uint64_t Faults_ = 0;
  std::uint64_t Wipes_ = 0;
  Time LastWipe_;
  std::deque<std::string> Trace_;
};

} // namespace lagoonpoint::fakes
