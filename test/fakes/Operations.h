#pragma once

#include "fakes/ReplicaCluster.h"

namespace lagoonpoint::fakes {

/// \returns a key withdrawal, which is valid at any revision.
inline Change withdrawal(const std::string &Id) {
  Change C;
  C.Id_ = ChangeId("change-" + Id);
  C.Kind_ = ChangeKind::WithdrawKey;
  C.Key_.Id_ = KeyId("key-" + Id);
  return C;
}

/// \returns a declaration change with a base revision.
inline Change declaration(const std::string &Id, Revision Base) {
  Change C;
  C.Id_ = ChangeId("change-" + Id);
  C.Base_ = Base;
  C.Text_ = "[region." + Id + "]\ncapacity = 10/s\n[zone.z]\nregion = " + Id +
            "\n[vm.v]\nzone = z\ncallers = 127.0.0.1:1\n"
            "upstreams = 127.0.0.1:2\noperators = 127.0.0.1:3\n"
            "peers = 127.0.0.1:4\n";
  return C;
}

/// An operation of the fault matrix: its initial state, its start and the
/// condition for its end.
struct Operation {
  std::string Name_;
  std::size_t Voters_ = 3;
  std::size_t Nodes_ = 3;
  std::function<void(ReplicaCluster &)> Prepare_; ///< runs without faults
  std::function<void(ReplicaCluster &)> Begin_;
  /// Called at each step; the operation ends when it returns true, all changes
  /// are answered and the cluster has converged. If empty, the other two
  /// suffice.
  std::function<bool(ReplicaCluster &)> Advance_;
};

/// Runs until the cluster has elected a leader and applied some changes.
inline void settle(ReplicaCluster &C, int Changes = 2) {
  constexpr int AtOnce = 10;
  for (int N = 0; N < Changes; ++N) {
    C.submit(withdrawal("settle" + std::to_string(N)));
    if (N % AtOnce == AtOnce - 1)
      C.runUntil([&] { return C.allAnswered(); }, Duration::seconds(60));
  }
  C.runUntil([&] { return C.allAnswered() && C.converged(); },
             Duration::seconds(60));
}

inline bool isVoter(ReplicaCluster &C, const char *Vm) {
  ClusterNode *Leader = C.leader();
  return Leader &&
         Leader->Replica_->status(C.now()).Config_.findVoter(VmId(Vm));
}

/// Proposes a change of the voters to the leader, if there is one.
template <class Change>
void askLeader(ReplicaCluster &C, const Change &Propose) {
  ClusterNode *Leader = C.leader();
  if (Leader && Leader->Replica_->fault().empty())
    C.act(*Leader, [&] { Propose(*Leader->Replica_, C.localTime(*Leader)); });
}

inline void addVoter(ReplicaCluster &C, const char *Vm) {
  askLeader(C, [&](Replica &R, Time Now) {
    VmId Id(Vm);
    if (R.addLearner(Id, Now).Refusal_ == ProposeRefusal::AlreadyMember)
      R.promote(Id, Now);
  });
}

inline void removeVoter(ReplicaCluster &C, const char *Vm) {
  askLeader(C, [&](Replica &R, Time Now) { R.remove(VmId(Vm), Now); });
}

inline Operation firstStart() {
  Operation O{.Name_ = "first start"};
  O.Begin_ = [](ReplicaCluster &C) { C.submit(withdrawal("first")); };
  return O;
}

inline Operation applyOne() {
  Operation O{.Name_ = "apply a change"};
  O.Prepare_ = [](ReplicaCluster &C) { settle(C); };
  O.Begin_ = [](ReplicaCluster &C) { C.submit(withdrawal("one")); };
  return O;
}

inline Operation applyConflicting() {
  Operation O{.Name_ = "two operators, equal bases"};
  O.Prepare_ = [](ReplicaCluster &C) { settle(C); };
  O.Begin_ = [](ReplicaCluster &C) {
    C.submit(declaration("left", Revision(2)));
    C.submit(declaration("right", Revision(2)));
  };
  O.Advance_ = [](ReplicaCluster &C) {
    return C.answered(ChangeVerdict::Accepted, ChangeKind::Declare) == 1 &&
           C.answered(ChangeVerdict::Conflict, ChangeKind::Declare) == 1;
  };
  return O;
}

inline Operation replaceLeader() {
  Operation O{.Name_ = "elect after a loss"};
  O.Prepare_ = [](ReplicaCluster &C) { settle(C); };
  O.Begin_ = [](ReplicaCluster &C) {
    C.crash(*C.leader(), true);
    C.submit(withdrawal("one"));
  };
  return O;
}

inline Operation takeSnapshots() {
  Operation O{.Name_ = "snapshot and truncate"};
  O.Prepare_ = [](ReplicaCluster &C) { settle(C, 14); };
  O.Begin_ = [](ReplicaCluster &C) {
    C.submit(withdrawal("one"));
    C.submit(withdrawal("two"));
  };
  return O;
}

inline Operation catchUp() {
  Operation O{.Name_ = "catch up by snapshot"};
  O.Prepare_ = [](ReplicaCluster &C) {
    settle(C);
    ClusterNode &Behind = C.node(C.leader()->Id_ == VmId("a") ? "b" : "a");
    C.crash(Behind, true, Duration::seconds(3600));
    for (int N = 0; N < 40; ++N)
      C.submit(withdrawal(std::to_string(N)));
    C.runUntil([&] { return C.allAnswered(); }, Duration::seconds(60));
    Behind.RestartAt_ = C.now();
  };
  O.Begin_ = [](ReplicaCluster &) {};
  return O;
}

inline Operation addOne() {
  Operation O{.Name_ = "add a voter", .Nodes_ = 4};
  O.Prepare_ = [](ReplicaCluster &C) { settle(C); };
  O.Begin_ = [](ReplicaCluster &) {};
  O.Advance_ = [](ReplicaCluster &C) {
    if (!isVoter(C, "d"))
      addVoter(C, "d");
    return isVoter(C, "d");
  };
  return O;
}

inline Operation removeOne() {
  Operation O{.Name_ = "remove a voter", .Voters_ = 5, .Nodes_ = 5};
  O.Prepare_ = [](ReplicaCluster &C) { settle(C); };
  O.Begin_ = [](ReplicaCluster &) {};
  O.Advance_ = [](ReplicaCluster &C) {
    if (isVoter(C, "e"))
      removeVoter(C, "e");
    return C.leader() && !isVoter(C, "e");
  };
  return O;
}

inline Operation replaceVoter() {
  Operation O{.Name_ = "replace a lost voter", .Nodes_ = 4};
  O.Prepare_ = [](ReplicaCluster &C) {
    settle(C);
    C.crash(C.node("c"), true, Duration::seconds(3600));
    C.node("c").PermanentlyDown_ = true;
    C.runUntil([&] { return C.converged(); }, Duration::seconds(60));
  };
  O.Begin_ = [](ReplicaCluster &) {};
  O.Advance_ = [](ReplicaCluster &C) {
    if (!isVoter(C, "d"))
      addVoter(C, "d");
    else if (isVoter(C, "c"))
      removeVoter(C, "c");
    return isVoter(C, "d") && !isVoter(C, "c");
  };
  return O;
}

inline Operation restartAll() {
  Operation O{.Name_ = "restart after 300 changes"};
  O.Prepare_ = [](ReplicaCluster &C) { settle(C, 300); };
  O.Begin_ = [](ReplicaCluster &C) {
    for (auto &Entry : C.nodes())
      C.crash(Entry.second, true);
    C.submit(withdrawal("settle7"));
    C.submit(withdrawal("one"));
  };
  return O;
}

/// \returns all operations of the fault matrix.
inline std::vector<Operation> allOperations() {
  return {firstStart(),    applyOne(),  applyConflicting(), replaceLeader(),
          takeSnapshots(), catchUp(),   addOne(),           removeOne(),
          replaceVoter(),  restartAll()};
}

} // namespace lagoonpoint::fakes
