// Runs the replicated log under random faults, one run for each seed:
//   bench_replication_soak FIRST_SEED COUNT [SECONDS_EACH]
// Prints the seed and the trace of each failed run. Exits with 1 if any failed.

#include "fakes/RandomRun.h"

#include <cstdio>
#include <cstdlib>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

namespace {

struct Totals {
  std::uint64_t Checks_ = 0;
  std::uint64_t Faults_ = 0;
  std::uint64_t Wipes_ = 0;
  std::uint64_t Changes_ = 0;
  std::uint64_t Failed_ = 0;
};

void runSeed(std::uint64_t Seed, Duration Length, Totals &Sum) {
  RandomRun Run({.Seed_ = Seed, .Length_ = Length});
  std::string Failure = Run.run();
  Sum.Checks_ += Run.checks();
  Sum.Faults_ += Run.faults();
  Sum.Wipes_ += Run.wipes();
  Sum.Changes_ += Run.changes();
  if (Failure.empty())
    return;
  ++Sum.Failed_;
  std::printf("seed %llu: %s\n%s\n", static_cast<unsigned long long>(Seed),
              Failure.c_str(), Run.trace().c_str());
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr long long DefaultSeconds = 60;
  if (Count < 3) {
    std::fprintf(stderr, "usage: %s FIRST_SEED COUNT [SECONDS_EACH]\n",
                 Arguments[0]);
    return 2;
  }
  std::uint64_t First = std::strtoull(Arguments[1], nullptr, 10);
  std::uint64_t Seeds = std::strtoull(Arguments[2], nullptr, 10);
  long long Seconds = Count > 3 ? std::atoll(Arguments[3]) : DefaultSeconds;
  Totals Sum;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed)
    runSeed(Seed, Duration::seconds(Seconds), Sum);
  std::printf("seeds %llu faults %llu lost disks %llu changes %llu checks %llu "
              "failed %llu\n",
              static_cast<unsigned long long>(Seeds),
              static_cast<unsigned long long>(Sum.Faults_),
              static_cast<unsigned long long>(Sum.Wipes_),
              static_cast<unsigned long long>(Sum.Changes_),
              static_cast<unsigned long long>(Sum.Checks_),
              static_cast<unsigned long long>(Sum.Failed_));
  return Sum.Failed_ == 0 ? 0 : 1;
}
