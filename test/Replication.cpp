#include "lagoonpoint/Replication"
#include "fakes/ReplicaGroup.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;
using fakes::ReplicaGroup;

namespace {

const std::vector<VmId> InitialVoters = {VmId("a"), VmId("b"), VmId("c")};
constexpr Duration Settle = Duration::seconds(5);

using Commands = std::vector<std::string>;

void propose(ReplicaGroup &Group, const Commands &Wanted) {
  for (const std::string &Command : Wanted) {
    REQUIRE(Group.leader());
    REQUIRE(Group.leader()->propose(Command, Group.Now_).accepted());
    Group.run(Duration::millis(300));
  }
}

VmId leaderOf(ReplicaGroup &Group) {
  REQUIRE(Group.leader());
  return Group.leader()->leaderHint();
}

} // namespace

TEST_CASE("Three voters with empty disks") {
  ReplicaGroup Group(InitialVoters, InitialVoters);

  SECTION("elect a leader and commit in the same order") {
    Group.run(Settle);
    propose(Group, {"x", "y", "z"});
    for (const char *Vm : {"a", "b", "c"})
      CHECK(Group[Vm].Applied_ == Commands{"x", "y", "z"});

    SECTION("and continue when the leader dies") {
      VmId OldLeader = leaderOf(Group);
      Group.stop(OldLeader.str().c_str());
      Group.run(Settle);
      CHECK(leaderOf(Group) != OldLeader);
      propose(Group, {"w"});

      SECTION("and the old leader catches up when it returns") {
        Group.start(OldLeader);
        Group.run(Settle);
        CHECK(Group[OldLeader.str().c_str()].Applied_ ==
              Commands{"x", "y", "z", "w"});
      }
    }
    SECTION("and an isolated leader loses its lease and steps down") {
      VmId OldLeader = leaderOf(Group);
      for (const VmId &Other : InitialVoters) {
        Group.Net_.cut(OldLeader, Other);
        Group.Net_.cut(Other, OldLeader);
      }
      Group.run(Duration::millis(1200));
      CHECK_FALSE(
          Group[OldLeader.str().c_str()].Replica_->leaseValid(Group.Now_));
      CHECK_FALSE(Group[OldLeader.str().c_str()].Replica_->isLeader());
      Group.run(Settle);
      CHECK(leaderOf(Group) != OldLeader);
    }
  }
  SECTION("keep their leader when an isolated or removed voter returns") {
    Group.run(Settle);
    VmId Leader = leaderOf(Group);
    Term Before = Group.leader()->status(Group.Now_).Term_;
    VmId Absent = Leader == VmId("a") ? VmId("b") : VmId("a");
    for (const VmId &Other : InitialVoters) {
      Group.Net_.cut(Absent, Other);
      Group.Net_.cut(Other, Absent);
    }
    SECTION("isolated") {}
    SECTION("removed") {
      Group.run(Settle);
      REQUIRE(Group.leader()->remove(Absent, Group.Now_).accepted());
    }
    Group.run(Settle * 4);
    Group.Net_.healAll();
    Group.run(Settle * 4);
    CHECK(leaderOf(Group) == Leader);
    CHECK(Group.leader()->status(Group.Now_).Term_ == Before);
  }
  SECTION("don't bootstrap until all of them have been reached") {
    Group.stop("c");
    Group.run(Settle);
    CHECK(Group.leader() == nullptr);
    Group.start(VmId("c"));
    Group.run(Settle);
    CHECK(Group.leader() != nullptr);
  }
}

TEST_CASE("A voter that lost its disk") {
  ReplicaGroup Group(InitialVoters, InitialVoters);
  Group.run(Settle);
  propose(Group, {"x"});
  Group.stop("c");
  Group["c"].Disk_ = fakes::FakeDisk();
  Group.start(VmId("c"));
  Group.run(Settle);

  SECTION("receives the log but no longer counts as a voter") {
    CHECK(Group["c"].Applied_ == Commands{"x"});
    CHECK_FALSE(Group["c"].Replica_->status(Group.Now_).IsVoter_);
    CHECK_FALSE(Group.leader()->status(Group.Now_).SurvivesOneLoss_);
  }
  SECTION("votes again after it is removed, added and promoted") {
    VmId C("c");
    REQUIRE(Group.leader()->remove(C, Group.Now_).accepted());
    CHECK(Group.leader()->addLearner(C, Group.Now_).Refusal_ ==
          ProposeRefusal::ChangeInProgress);
    Group.run(Settle);
    REQUIRE(Group.leader()->addLearner(C, Group.Now_).accepted());
    CHECK(Group.leader()->promote(C, Group.Now_).Refusal_ ==
          ProposeRefusal::ChangeInProgress);
    Group.run(Settle);
    REQUIRE(Group.leader()->promote(C, Group.Now_).accepted());
    CHECK_FALSE(Group.leader()->status(Group.Now_).SurvivesOneLoss_);
    Group.run(Settle);
    CHECK(Group["c"].Replica_->status(Group.Now_).IsVoter_);
    CHECK(Group.leader()->status(Group.Now_).SurvivesOneLoss_);
  }
}

TEST_CASE("The vote of a voter that lost its disk doesn't count") {
  ReplicaGroup Group(InitialVoters, InitialVoters);
  Group.run(Settle);
  VmId Leader = leaderOf(Group);
  VmId Behind = Leader == VmId("a") ? VmId("b") : VmId("a");
  VmId Wiped = Leader == VmId("c") ? VmId("b") : VmId("c");
  Group.stop(Behind.str().c_str());
  propose(Group, {"x"});

  SECTION("for a candidate without an entry that the voter had acknowledged") {
    Group.stop(Leader.str().c_str());
    Group.stop(Wiped.str().c_str());
    Group[Wiped.str().c_str()].Disk_ = fakes::FakeDisk();
    Group.start(Wiped);
    Group.start(Behind);
    Group.run(Settle * 2);
    CHECK(Group.leader() == nullptr);
    Group.start(Leader);
    Group.run(Settle);
    REQUIRE(Group.leader());
    CHECK(Group[Behind.str().c_str()].Applied_ == Commands{"x"});
  }
}

TEST_CASE("A voter that restarts repeatedly doesn't depose the leader") {
  ReplicaGroup Group(InitialVoters, InitialVoters);
  Group.run(Settle);
  VmId Leader = leaderOf(Group);
  VmId Restarting = Leader == VmId("a") ? VmId("b") : VmId("a");
  VmId CutOff = Leader == VmId("c") ? VmId("b") : VmId("c");
  Group.Net_.cut(Leader, CutOff);
  Group.Net_.cut(CutOff, Leader);

  SECTION("although another VM requests its vote") {
    constexpr int Restarts = 60;
    for (int N = 0; N < Restarts; ++N) {
      Group.start(Restarting);
      Group.run(Duration::millis(300));
      REQUIRE(leaderOf(Group) == Leader);
    }
  }
}

TEST_CASE("A reconfiguration is refused") {
  ReplicaGroup Group(InitialVoters,
                     {VmId("a"), VmId("b"), VmId("c"), VmId("d")});
  Group.run(Settle);
  REQUIRE(Group.leader());

  SECTION("by a VM that is not the leader") {
    CHECK(Group["d"].Replica_->addLearner(VmId("d"), Group.Now_).Refusal_ ==
          ProposeRefusal::NotLeader);
  }
  SECTION("when it adds a member again or removes a non-member") {
    CHECK(Group.leader()->addLearner(VmId("b"), Group.Now_).Refusal_ ==
          ProposeRefusal::AlreadyMember);
    CHECK(Group.leader()->remove(VmId("z"), Group.Now_).Refusal_ ==
          ProposeRefusal::NoSuchMember);
  }
  SECTION("when the remaining voters would have no quorum in contact") {
    VmId Leader = leaderOf(Group);
    std::vector<VmId> Others;
    for (const VmId &Vm : InitialVoters)
      if (Vm != Leader)
        Others.push_back(Vm);
    Group.stop(Others[0].str().c_str());
    Group.run(Settle);
    CHECK(Group.leader()->remove(Others[1], Group.Now_).Refusal_ ==
          ProposeRefusal::BreaksQuorum);
    CHECK(Group.leader()->remove(Others[0], Group.Now_).accepted());
  }
  SECTION("when a learner has not caught up") {
    REQUIRE(Group.leader()->addLearner(VmId("d"), Group.Now_).accepted());
    Group.run(Settle);
    Group.stop("d");
    propose(Group, {"x"});
    CHECK(Group.leader()->promote(VmId("d"), Group.Now_).Refusal_ ==
          ProposeRefusal::NotCaughtUp);
  }
}

TEST_CASE("A follower that fell far behind") {
  ReplicaGroup Group(InitialVoters, InitialVoters);
  Group.Limits_.SnapshotEvery_ = 8;
  Group.Limits_.ChunkBytes_ = 16;
  for (const VmId &Vm : InitialVoters)
    Group.start(Vm);
  Group.run(Settle);
  VmId Behind = leaderOf(Group) == VmId("a") ? VmId("b") : VmId("a");
  Group.stop(Behind.str().c_str());
  Commands AllCommands;
  for (int N = 0; N < 40; ++N)
    AllCommands.push_back("command " + std::to_string(N));
  propose(Group, AllCommands);
  REQUIRE(Group.leader()->status(Group.Now_).SnapshotIndex_ > LogIndex(8));

  SECTION("catches up by a snapshot in chunks") {
    Group.start(Behind);
    Group.run(Settle * 6);
    CHECK(Group[Behind.str().c_str()].Applied_ == AllCommands);
  }
}

TEST_CASE("A voter whose disk fails") {
  ReplicaGroup Group(InitialVoters, InitialVoters);
  Group.run(Settle);
  VmId Leader = leaderOf(Group);
  fakes::FakeDisk &Disk = Group[Leader.str().c_str()].Disk_;
  Disk.setHook([](const std::string &Operation) {
    return fakes::DiskOutcome{.Fails_ = Operation == "sync"};
  });

  SECTION("stops without acknowledging") {
    CHECK(Group.leader()->propose("x", Group.Now_).Refusal_ ==
          ProposeRefusal::Failed);
    CHECK_FALSE(Group[Leader.str().c_str()].Replica_->isLeader());
    CHECK(Group[Leader.str().c_str()].Replica_->takeOutbox().empty());

    SECTION("and stays stopped when the disk works again, until restarted") {
      Disk.setHook({});
      Group.run(Settle);
      CHECK(leaderOf(Group) != Leader);
      propose(Group, {"y"});
      CHECK(Group[Leader.str().c_str()].Applied_.empty());
      Group.start(Leader);
      Group.run(Settle);
      CHECK(Group[Leader.str().c_str()].Applied_ == Commands{"y"});
    }
  }
}

TEST_CASE("An entry of an older term is not committed by counting replicas") {
  StoredState Stored;
  Stored.Disk_ = DiskId(1);
  Stored.Term_ = Term(2);
  Stored.Snapshot_.Meta_.Config_.Voters_ = {
      {VmId("a"), DiskId(1)}, {VmId("b"), DiskId(2)}, {VmId("c"), DiskId(3)}};
  Stored.Entries_ = {{Term(2), LogIndex(1), EntryKind::Command, "x"}};
  ReplicaOptions Options;
  Options.Self_ = VmId("a");
  ReplicaState S = startReplica(Options, Stored, Time(0));
  ReplicaOutput Out;
  Time Now(10'000);
  VmId B("b");
  tick(S, Now, Out);
  receive(S, B, VoteReply{Term(3), true, true, DiskId(2)}, Now, Out);
  receive(S, B, VoteReply{Term(3), false, true, DiskId(2)}, Now, Out);
  REQUIRE(S.Role_ == ReplicaRole::Leader);
  AppendReply Reply{Term(3),    true,      LogIndex(1),
                    LogIndex(), DiskId(2), Now.count()};

  SECTION("even if a quorum holds it") {
    receive(S, B, Reply, Now, Out);
    CHECK(S.Commit_ == LogIndex(0));

    SECTION("but with a later entry of the leader's term") {
      onWritesDurable(S, Now, Out);
      Reply.Match_ = LogIndex(2);
      receive(S, B, Reply, Now, Out);
      CHECK(S.Commit_ == LogIndex(2));
    }
  }
}
