#include "fakes/Operations.h"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

namespace {

/// A fault to inject at one event of an operation.
struct FaultInjection {
  std::uint64_t Event_ = 0;
  Fault Fault_ = Fault::None;
};

constexpr std::uint64_t Seed = 20261204;
constexpr Duration Limit = Duration::seconds(90);

/// One run of an operation with injected faults.
class FaultCase {
public:
  FaultCase(const Operation &O, std::vector<FaultInjection> Injections)
      : Operation_(O), Injections_(std::move(Injections)),
        Cluster_(O.Voters_, O.Nodes_, Seed) {
    Cluster_.Limits_.ChunkBytes_ = 512;
  }

  /// \returns what failed; empty if nothing.
  std::string run() {
    if (Operation_.Prepare_)
      Operation_.Prepare_(Cluster_);
    Cluster_.Plan_ = [this](const FaultPoint &E) { return faultAt(E); };
    Operation_.Begin_(Cluster_);
    if (!Cluster_.runUntil([this] { return isDone(); }, Limit))
      return "operation not finished in time; " + Cluster_.Checks_.report();
    Cluster_.Plan_ = {};
    if (!loseOneMore())
      return "no service after the loss of one more VM; " +
             Cluster_.Checks_.report();
    return Cluster_.Checks_.report();
  }

  const std::vector<FaultPoint::Kind> &events() const { return Events_; }
  std::uint64_t observed() const { return Cluster_.Checks_.CheckCount_; }

private:
  Fault faultAt(const FaultPoint &E) {
    std::uint64_t Number = Events_.size();
    Events_.push_back(E.Kind_);
    for (const FaultInjection &S : Injections_)
      if (S.Event_ == Number)
        return S.Fault_;
    return Fault::None;
  }

  bool isDone() {
    bool Advanced = !Operation_.Advance_ || Operation_.Advance_(Cluster_);
    return Advanced && Cluster_.allAnswered() && Cluster_.converged();
  }

  /// Crashes the leader permanently once it reports that the loss of one VM is
  /// harmless, and checks that changes are still answered.
  bool loseOneMore() {
    ClusterNode *Leader = nullptr;
    bool Safe = Cluster_.runUntil(
        [&] {
          Leader = Cluster_.leader();
          return Leader && Leader->Replica_->status(Cluster_.localTime(*Leader))
                               .SurvivesOneLoss_;
        },
        Limit);
    if (!Safe)
      return false;
    Leader->PermanentlyDown_ = true;
    Cluster_.crash(*Leader, true, Duration::seconds(3600));
    Cluster_.submit(withdrawal("last"));
    return Cluster_.runUntil([this] { return Cluster_.allAnswered(); }, Limit);
  }

  const Operation &Operation_;
  std::vector<FaultInjection> Injections_;
  ReplicaCluster Cluster_;
  std::vector<FaultPoint::Kind> Events_;
};

/// One cell of the fault matrix.
struct Cell {
  std::uint64_t Cases_ = 0;
  std::uint64_t Failed_ = 0;
};

/// The results of one operation. Pairs of faults are counted under Fault::None.
struct Row {
  std::map<Fault, Cell> Cells_;
  std::uint64_t Observed_ = 0;
  std::vector<std::string> Failures_;
};

std::string toString(const std::vector<FaultInjection> &Injections) {
  std::string Text;
  for (const FaultInjection &S : Injections)
    Text += ", " + std::string(toString(S.Fault_)) + " at event " +
            std::to_string(S.Event_);
  return Text;
}

void runCase(const Operation &O, const std::vector<FaultInjection> &Injections,
             Row &R) {
  FaultCase C(O, Injections);
  std::string Failure = C.run();
  R.Observed_ += C.observed();
  Cell &Target =
      R.Cells_[Injections.size() == 1 ? Injections[0].Fault_ : Fault::None];
  ++Target.Cases_;
  if (Failure.empty())
    return;
  ++Target.Failed_;
  R.Failures_.push_back(O.Name_ + toString(Injections) + ": " + Failure);
}

FaultInjection randomInjection(const std::vector<FaultPoint::Kind> &Events,
                               Random &Source) {
  std::uint64_t Number = Source() % Events.size();
  const std::vector<Fault> &Faults = faultsAt(Events[Number]);
  return {Number, Faults[Source() % Faults.size()]};
}

/// Five failures suffice for diagnosis. If an invariant is broken, running the
/// other cases would take long.
bool hasFailedEnough(const Row &R) { return R.Failures_.size() >= 5; }

Row runOperation(const Operation &O, std::uint64_t Pairs) {
  Row R;
  FaultCase FaultFree(O, {});
  std::string Failure = FaultFree.run();
  if (!Failure.empty())
    R.Failures_.push_back(O.Name_ + " without faults: " + Failure);
  const std::vector<FaultPoint::Kind> &Events = FaultFree.events();
  for (std::uint64_t Number = 0; Number < Events.size(); ++Number)
    for (Fault F : faultsAt(Events[Number])) {
      if (hasFailedEnough(R))
        return R;
      runCase(O, {{Number, F}}, R);
    }
  Random Source(Seed);
  for (std::uint64_t Pair = 0; Pair < Pairs && !hasFailedEnough(R); ++Pair)
    runCase(O,
            {randomInjection(Events, Source), randomInjection(Events, Source)},
            R);
  return R;
}

std::string cellText(const Row &R, Fault F) {
  auto Found = R.Cells_.find(F);
  if (Found == R.Cells_.end())
    return "-";
  const Cell &C = Found->second;
  std::string Cases = std::to_string(C.Cases_);
  return C.Failed_ ? std::to_string(C.Failed_) + "/" + Cases + " FAILED"
                   : Cases;
}

void printMatrix(const std::vector<Operation> &Operations,
                 const std::vector<Row> &Rows) {
  std::printf("| fault |");
  for (const Operation &O : Operations)
    std::printf(" %s |", O.Name_.c_str());
  std::printf("\n|---|");
  for (std::size_t N = 0; N < Operations.size(); ++N)
    std::printf("--:|");
  for (int F = 0; F <= static_cast<int>(Fault::DiskSlow); ++F) {
    Fault Injected = static_cast<Fault>(F);
    std::printf("\n| %s |",
                Injected == Fault::None ? "pairs" : toString(Injected));
    for (const Row &R : Rows)
      std::printf(" %s |", cellText(R, Injected).c_str());
  }
  std::printf("\n");
}

} // namespace

TEST_CASE("Operations tolerate every fault at every event") {
  constexpr std::uint64_t PairsEach = 300;
  std::vector<Operation> Operations = allOperations();
  std::vector<Row> Rows;
  std::uint64_t Checks = 0;
  for (const Operation &O : Operations) {
    Rows.push_back(runOperation(O, PairsEach));
    Checks += Rows.back().Observed_;
    for (const std::string &Failure : Rows.back().Failures_)
      UNSCOPED_INFO(Failure);
    REQUIRE(Rows.back().Failures_.empty());
  }
  printMatrix(Operations, Rows);
  std::printf("%llu checks\n", static_cast<unsigned long long>(Checks));
}
