// Guards against a control plane that ends for good because VMs that were
// replaced stay voters beside their successors and raise the quorum.
#include "fakes/Operations.h"
#include "lagoonpoint/Fleet"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

namespace {

/// Promises of the platform: a replaced VM counts as lost until its successor
/// has run for CatchUp, and after that the voters bear the next losses.
constexpr Duration CatchUp = Duration::seconds(4);
constexpr Duration Recovery = Duration::seconds(15);
constexpr Duration HeartbeatInterval = Duration::seconds(1);
constexpr Duration RepairInterval = Duration::millis(250);
constexpr Duration Never = Duration::seconds(1'000'000);

VmId vmAt(std::size_t Number) {
  return VmId(std::string(1, static_cast<char>('a' + Number)));
}

/// A cluster whose leader adapts the voters as core VMs do. Each initial voter
/// has a zone of its own, which its successors take over.
class RepairedCluster {
public:
  RepairedCluster(std::size_t Voters, std::size_t Spares, std::uint64_t Seed)
      : Cluster_(Voters, Voters + Spares, Seed), NextSpare_(Voters) {
    for (std::size_t Number = 0; Number < Voters; ++Number)
      setZone(vmAt(Number), ZoneId(std::to_string(Number)));
    for (std::size_t Number = Voters; Number < Voters + Spares; ++Number)
      remove(vmAt(Number));
    runUntil([&] { return Cluster_.leader() != nullptr; });
  }

  void run(Duration For) {
    for (Time End = Cluster_.now() + For; Cluster_.now() < End;)
      step();
  }
  template <class Condition> bool runUntil(Condition Holds) {
    for (Time End = Cluster_.now() + Recovery;
         Cluster_.now() < End && !Holds();)
      step();
    return Holds();
  }

  void remove(const VmId &Vm) {
    ClusterNode &N = Cluster_.nodes().at(Vm);
    N.PermanentlyDown_ = true;
    Cluster_.crash(N, true, Never);
  }
  /// Starts an empty VM in the zone of another one.
  VmId startSuccessor(const VmId &Of) {
    VmId Vm = vmAt(NextSpare_++);
    setZone(Vm, Nodes_.at(Of).Zone_);
    ClusterNode &N = Cluster_.nodes().at(Vm);
    N.PermanentlyDown_ = false;
    N.RestartAt_ = Cluster_.now();
    return Vm;
  }

  /// \returns the number of voters that may be lost now without a loss of the
  /// quorum; negative if the quorum is lost.
  int spareVoters() {
    ClusterNode *Leader = Cluster_.leader();
    if (!Leader)
      return -1;
    VoterConfig Config = Leader->Replica_->status(Cluster_.now()).Config_;
    int Live = 0;
    for (const Voter &V : Config.Voters_)
      Live += Cluster_.nodes().at(V.Vm_).isUp() ? 1 : 0;
    return Live - static_cast<int>(Config.quorum());
  }

  bool answersChanges() {
    Cluster_.submit(withdrawal(std::to_string(++Submitted_)));
    return runUntil([&] { return Cluster_.allAnswered(); });
  }
  std::string violations() const { return Cluster_.Checks_.report(); }
  VmId leader() { return Cluster_.leader() ? Cluster_.leader()->Id_ : VmId(); }

private:
  void setZone(const VmId &Vm, const ZoneId &Zone) {
    NodeRecord R;
    R.Vm_ = Vm;
    R.Core_ = true;
    R.Zone_ = Zone;
    Nodes_[Vm] = R;
  }

  void step() {
    Cluster_.step();
    if (Cluster_.now() >= NextHeartbeat_)
      sendHeartbeats();
    if (Cluster_.now() >= NextRepair_)
      repair();
    if (ClusterNode *Leader = Cluster_.leader())
      Cluster_.act(*Leader, [&] {
        Leader->Replica_->promoteLearner(Held_, Cluster_.localTime(*Leader));
      });
  }

  void sendHeartbeats() {
    NextHeartbeat_ = Cluster_.now() + HeartbeatInterval;
    for (auto &[Vm, N] : Cluster_.nodes()) {
      if (!N.isUp())
        continue;
      Heartbeat B;
      B.Self_ = {Nodes_.at(Vm)};
      B.Self_.front().Disk_ = N.Replica_->state().Disk_;
      record(Registry_, Vm, B, Cluster_.now());
    }
  }

  void repair() {
    NextRepair_ = Cluster_.now() + RepairInterval;
    ClusterNode *Leader = Cluster_.leader();
    if (!Leader)
      return;
    Replica &R = *Leader->Replica_;
    Time Now = Cluster_.now();
    std::vector<NodeRecord> Live;
    for (const KnownNode *Node : liveCoreVms(Registry_, LivenessTimeout, Now))
      Live.push_back(Node->Record_);
    VoterConfig Config = R.status(Now).Config_;
    auto SilentFor = [&](Duration Min) {
      return silentMembers(Config, memberContact(R.state()), Registry_,
                           Leader->Id_, Min, Now);
    };
    Held_ = heldLearners(Config, Live, SilentFor(HoldTimeout));
    auto Step = nextVoterRepairStep(Config, Live, SilentFor(LivenessTimeout));
    if (!Step)
      return;
    Cluster_.act(*Leader, [&] {
      if (Step->Add_)
        R.addLearner(Step->Vm_, Now);
      else
        R.remove(Step->Vm_, Now);
    });
  }

  ReplicaCluster Cluster_;
  std::map<VmId, NodeRecord> Nodes_; ///< as each VM describes itself
  NodeRegistry Registry_;
  std::set<VmId> Held_;
  std::size_t NextSpare_;
  Time NextHeartbeat_;
  Time NextRepair_;
  int Submitted_ = 0;
};

} // namespace

TEST_CASE("Core VMs that are replaced again and again leave the voters before "
          "the next losses") {
  constexpr int Rounds = 5;
  std::size_t Voters = GENERATE(3U, 6U, 9U);
  int Losses = static_cast<int>(std::min<std::size_t>(2, (Voters - 1) / 2));
  std::uint64_t Seed = GENERATE(1U, 2U, 3U);
  INFO(Voters << " voters, seed " << Seed);
  RepairedCluster C(Voters, Rounds * 2 * 2, Seed);
  REQUIRE(C.answersChanges());
  std::vector<VmId> Present;
  for (std::size_t Number = 0; Number < Voters; ++Number)
    Present.push_back(vmAt(Number));
  // Removes the VM that has run longest and returns it.
  auto RemoveOldest = [&] {
    VmId Oldest = Present.front();
    Present.erase(Present.begin());
    C.remove(Oldest);
    return Oldest;
  };
  auto StartSuccessor = [&](const VmId &Of) {
    Present.push_back(C.startSuccessor(Of));
  };

  SECTION("in pairs, with the successors started a second later") {
    for (int Round = 0; Round < Rounds; ++Round) {
      std::vector<VmId> Gone;
      for (int Number = 0; Number < Losses; ++Number)
        Gone.push_back(RemoveOldest());
      C.run(Duration::seconds(1));
      for (const VmId &Vm : Gone)
        StartSuccessor(Vm);
      C.run(CatchUp);
      INFO("round " << Round);
      REQUIRE(C.spareVoters() >= Losses);
    }
  }
  SECTION("in pairs, with the successors started at once") {
    for (int Round = 0; Round < Rounds; ++Round) {
      for (int Number = 0; Number < Losses; ++Number)
        StartSuccessor(RemoveOldest());
      C.run(CatchUp);
      INFO("round " << Round);
      REQUIRE(C.spareVoters() >= Losses);
    }
  }
  SECTION("one by one without a pause") {
    for (int Round = 0; Round < Rounds * 2; ++Round) {
      StartSuccessor(RemoveOldest());
      C.run(CatchUp);
      INFO("round " << Round);
      REQUIRE(C.spareVoters() >= Losses);
    }
  }
  SECTION("as planned, with the successors started first") {
    for (int Round = 0; Round < Rounds; ++Round) {
      for (int Number = 0; Number < Losses; ++Number)
        StartSuccessor(Present[static_cast<std::size_t>(Number)]);
      C.run(CatchUp);
      for (int Number = 0; Number < Losses; ++Number)
        RemoveOldest();
      C.run(CatchUp);
      INFO("round " << Round);
      REQUIRE(C.spareVoters() >= Losses);
    }
  }
  SECTION("each time the leader") {
    for (int Round = 0; Round < Rounds; ++Round) {
      REQUIRE(C.runUntil([&] { return !C.leader().empty(); }));
      VmId Leader = C.leader();
      std::erase(Present, Leader);
      C.remove(Leader);
      C.run(Duration::seconds(1));
      StartSuccessor(Leader);
      C.run(CatchUp);
      INFO("round " << Round);
      REQUIRE(C.spareVoters() >= Losses);
    }
  }
  SECTION("also a successor that is itself replaced while it joins") {
    for (int Round = 0; Round < Rounds; ++Round) {
      VmId Gone = RemoveOldest();
      C.run(Duration::seconds(1));
      VmId Successor = C.startSuccessor(Gone);
      C.run(Duration::millis(300));
      C.remove(Successor);
      C.run(Duration::seconds(1));
      StartSuccessor(Gone);
      C.run(CatchUp);
      INFO("round " << Round);
      REQUIRE(C.spareVoters() >= Losses);
    }
  }
  CHECK(C.answersChanges());
  CHECK(C.violations() == "");
}

TEST_CASE("A voter whose replica has stopped is silent though its process "
          "sends heartbeats") {
  VoterConfig Config;
  Config.Voters_ = {{VmId("a"), DiskId(1)}, {VmId("b"), DiskId(2)}};
  MemberContact Contact{Time(10'000), {}};
  NodeRegistry Nodes;
  Nodes.Nodes_[VmId("b")].HeardAt_ = Time(20'000);
  auto SilenceAt = [&](Time Now) {
    auto Silent =
        silentMembers(Config, Contact, Nodes, VmId("a"), LivenessTimeout, Now);
    return Silent.empty() ? Duration() : Silent.front().For_;
  };
  SECTION("since its last answer") {
    Contact.AnsweredAt_[VmId("b")] = Time(12'000);
    CHECK(SilenceAt(Time(14'000)) == Duration());
    CHECK(SilenceAt(Time(20'000)) == Duration::seconds(8));
  }
  SECTION("since the leader leads, if it never answered") {
    CHECK(SilenceAt(Time(20'000)) == Duration::seconds(10));
    Nodes.Nodes_.clear();
    CHECK(SilenceAt(Time(20'000)) == Duration::seconds(10));
  }
  SECTION("since its last heartbeat, if that was before the leader led") {
    Nodes.Nodes_[VmId("b")].HeardAt_ = Time(9'000);
    CHECK(SilenceAt(Time(20'000)) == Duration::seconds(11));
  }
  SECTION("but not a learner that has yet to answer") {
    Config.Learners_ = {VmId("b")};
    Config.Voters_.pop_back();
    CHECK(SilenceAt(Time(20'000)) == Duration());
  }
}

TEST_CASE("A voter that is silent without a successor stays for a while") {
  RepairedCluster C(6, 1, 1);
  REQUIRE(C.answersChanges());
  C.remove(vmAt(0));
  C.run(VoterTimeout - Duration::seconds(1));
  CHECK(C.spareVoters() == 1);
  C.run(Duration::seconds(3));
  CHECK(C.spareVoters() == 2);
}
