#include "fakes/Operations.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdio>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

namespace {

/// One fault at one event of an operation.
struct Strike {
  std::uint64_t Event_ = 0;
  Fault Fault_ = Fault::None;
};

constexpr std::uint64_t Seed = 20261204;
constexpr Duration Limit = Duration::seconds(90);

/// One run of an operation with its strikes.
class Case {
public:
  Case(const Operation &O, std::vector<Strike> Strikes)
      : Operation_(O), Strikes_(std::move(Strikes)),
        Cluster_(O.Voters_, O.Nodes_, Seed) {
    Cluster_.Limits_.PieceBytes_ = 512;
  }

  /// \returns what went wrong; empty if nothing.
  std::string run() {
    if (Operation_.Prepare_)
      Operation_.Prepare_(Cluster_);
    Cluster_.Plan_ = [this](const Event &E) { return strikeAt(E); };
    Operation_.Begin_(Cluster_);
    if (!Cluster_.runUntil([this] { return isDone(); }, Limit))
      return "not done in time; " + Cluster_.Checks_.report();
    Cluster_.Plan_ = {};
    if (!loseOneMore())
      return "lost service with one more VM; " + Cluster_.Checks_.report();
    return Cluster_.Checks_.report();
  }

  const std::vector<Event::Kind> &events() const { return Events_; }
  std::uint64_t observed() const { return Cluster_.Checks_.Observed_; }

private:
  Fault strikeAt(const Event &E) {
    std::uint64_t Number = Events_.size();
    Events_.push_back(E.Kind_);
    for (const Strike &S : Strikes_)
      if (S.Event_ == Number)
        return S.Fault_;
    return Fault::None;
  }

  bool isDone() {
    bool Advanced = !Operation_.Advance_ || Operation_.Advance_(Cluster_);
    return Advanced && Cluster_.allAnswered() && Cluster_.converged();
  }

  /// The leader goes for good as soon as that is said to be harmless.
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
    Leader->Gone_ = true;
    Cluster_.crash(*Leader, true, Duration::seconds(3600));
    Cluster_.submit(withdrawal("last"));
    return Cluster_.runUntil([this] { return Cluster_.allAnswered(); }, Limit);
  }

  const Operation &Operation_;
  std::vector<Strike> Strikes_;
  ReplicaCluster Cluster_;
  std::vector<Event::Kind> Events_;
};

/// Counts of one row of the matrix.
struct Row {
  std::uint64_t Single_ = 0;
  std::uint64_t Pairs_ = 0;
  std::uint64_t Observed_ = 0;
  std::vector<std::string> Failures_;
};

std::string toString(const std::vector<Strike> &Strikes) {
  std::string Text;
  for (const Strike &S : Strikes)
    Text += ", " + std::string(toString(S.Fault_)) + " at event " +
            std::to_string(S.Event_);
  return Text;
}

void runCase(const Operation &O, const std::vector<Strike> &Strikes, Row &R) {
  Case C(O, Strikes);
  std::string Wrong = C.run();
  R.Observed_ += C.observed();
  if (!Wrong.empty())
    R.Failures_.push_back(O.Name_ + toString(Strikes) + ": " + Wrong);
}

Strike randomStrike(const std::vector<Event::Kind> &Events, Random &Source) {
  std::uint64_t Number = Source() % Events.size();
  const std::vector<Fault> &Faults = faultsAt(Events[Number]);
  return {Number, Faults[Source() % Faults.size()]};
}

/// Enough to tell what is wrong; a broken rule would make the rest slow.
bool hasFailedEnough(const Row &R) { return R.Failures_.size() >= 5; }

Row runOperation(const Operation &O, std::uint64_t Pairs) {
  Row R;
  Case Plain(O, {});
  std::string Wrong = Plain.run();
  if (!Wrong.empty())
    R.Failures_.push_back(O.Name_ + " without faults: " + Wrong);
  const std::vector<Event::Kind> &Events = Plain.events();
  for (std::uint64_t Number = 0; Number < Events.size(); ++Number)
    for (Fault F : faultsAt(Events[Number])) {
      if (hasFailedEnough(R))
        return R;
      runCase(O, {{Number, F}}, R);
      ++R.Single_;
    }
  Random Source(Seed);
  for (; R.Pairs_ < Pairs && !hasFailedEnough(R); ++R.Pairs_)
    runCase(O, {randomStrike(Events, Source), randomStrike(Events, Source)}, R);
  return R;
}

} // namespace

TEST_CASE("Every fault at every event of every operation") {
  constexpr std::uint64_t PairsEach = 300;
  std::printf("%-28s %8s %8s %10s %8s %8s\n", "operation", "single", "pairs",
              "checks", "failed", "seconds");
  for (const Operation &O : allOperations()) {
    auto Start = std::chrono::steady_clock::now();
    Row R = runOperation(O, PairsEach);
    std::chrono::duration<double> Took =
        std::chrono::steady_clock::now() - Start;
    std::printf("%-28s %8llu %8llu %10llu %8zu %8.1f\n", O.Name_.c_str(),
                static_cast<unsigned long long>(R.Single_),
                static_cast<unsigned long long>(R.Pairs_),
                static_cast<unsigned long long>(R.Observed_),
                R.Failures_.size(), Took.count());
    std::fflush(stdout);
    for (const std::string &Failure : R.Failures_)
      UNSCOPED_INFO(Failure);
    REQUIRE(R.Failures_.empty());
  }
}
