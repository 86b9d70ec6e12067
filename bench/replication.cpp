// Measures the replicated log:
//   bench_replication FOLDER
// FOLDER is created for the disk measurements and removed afterwards. All other
// figures are in virtual time, with a one-way delay of 35 ms between VMs.

#include "fakes/Operations.h"

#include <chrono>
#include <cstdio>
#include <filesystem>

using namespace lagoonpoint;
using namespace lagoonpoint::fakes;

namespace {

using Samples = std::vector<double>;

double quantile(Samples Values, double Q) {
  std::sort(Values.begin(), Values.end());
  auto Last = static_cast<double>(Values.size() - 1);
  return Values.at(static_cast<std::size_t>(Q * Last));
}

void print(const std::string &Label, const Samples &Values, const char *Unit) {
  std::printf("%-44s p50 %9.3f  p99 %9.3f  max %9.3f %s  (n %zu)\n",
              Label.c_str(), quantile(Values, 0.5), quantile(Values, 0.99),
              quantile(Values, 1), Unit, Values.size());
}

template <class Action> double elapsedMillis(const Action &Do) {
  auto Start = std::chrono::steady_clock::now();
  Do();
  std::chrono::duration<double, std::milli> Millis =
      std::chrono::steady_clock::now() - Start;
  return Millis.count();
}

LogEntry entryOf(std::uint64_t Index, std::size_t Bytes) {
  return {Term(1), LogIndex(Index), EntryKind::Command,
          std::string(Bytes, 'x')};
}

void measureDisk(const std::string &Path) {
  constexpr int Writes = 300;
  std::filesystem::remove_all(Path);
  PosixFiles Folder(Path);
  DiskStorage Storage(Folder, randomDiskId());
  Storage.load();
  std::uint64_t Index = 0;
  for (std::size_t Bytes : {200, 10'000, 1'000'000}) {
    Samples Millis;
    for (int N = 0; N < Writes / (Bytes > 100'000 ? 10 : 1); ++N)
      Millis.push_back(
          elapsedMillis([&] { Storage.append({entryOf(++Index, Bytes)}); }));
    print("append and sync " + std::to_string(Bytes) + " bytes", Millis, "ms");
  }
  Samples Votes;
  for (int N = 0; N < Writes; ++N)
    Votes.push_back(
        elapsedMillis([&] { Storage.saveVote(Term(2), VmId("a")); }));
  print("save a vote", Votes, "ms");
  Snapshot S{{LogIndex(Index), Term(1), VoterConfig()},
             std::string(4 << 20, 'x')};
  Samples Snapshots;
  for (int N = 0; N < 20; ++N)
    Snapshots.push_back(elapsedMillis([&] { Storage.saveSnapshot(S, {}); }));
  print("save a snapshot of 4 MiB", Snapshots, "ms");
  std::filesystem::remove_all(Path);
}

void prepare(ReplicaCluster &C) {
  C.Delay_ = Duration::millis(35);
  C.Step_ = Duration::millis(5);
  settle(C);
}

void measureElections(std::size_t Voters) {
  Samples Millis;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    ReplicaCluster C(Voters, Voters, Seed);
    prepare(C);
    ClusterNode &OldLeader = *C.leader();
    OldLeader.PermanentlyDown_ = true;
    C.crash(OldLeader, false, Duration::seconds(3600));
    Time Start = C.now();
    C.runUntil(
        [&] {
          ClusterNode *Next = C.leader();
          return Next && Next->Replica_->leaseValid(C.now());
        },
        Duration::seconds(60));
    Millis.push_back(static_cast<double>((C.now() - Start).count()));
  }
  print("new leader after a loss, " + std::to_string(Voters) + " voters",
        Millis, "ms");
}

bool allApplied(ReplicaCluster &C, Revision Wanted) {
  for (const auto &[Id, N] : C.nodes())
    if (N.Catalog_.Revision_ < Wanted)
      return false;
  return true;
}

void measureCommits(Duration Sync) {
  Samples Answered;
  Samples Applied;
  ReplicaCluster C(3, 3, 1);
  prepare(C);
  C.SyncLatency_ = Sync;
  for (int N = 0; N < 200; ++N) {
    Time Start = C.now();
    C.submit(withdrawal(std::to_string(N)));
    C.runUntil([&] { return C.allAnswered(); }, Duration::seconds(10));
    Answered.push_back(static_cast<double>((C.now() - Start).count()));
    Revision Wanted = C.Changes_.back().Reply_->Revision_;
    C.runUntil([&] { return allApplied(C, Wanted); }, Duration::seconds(10));
    Applied.push_back(static_cast<double>((C.now() - Start).count()));
  }
  std::string Suffix = ", sync " + std::to_string(Sync.count()) + " ms";
  print("change answered" + Suffix, Answered, "ms");
  print("change applied by all voters" + Suffix, Applied, "ms");
}

void measureCatchUp(int Changes) {
  ReplicaCluster C(3, 3, 1);
  C.Limits_ = ReplicationLimits();
  prepare(C);
  ClusterNode &Lagging = C.node(C.leader()->Id_ == VmId("a") ? "b" : "a");
  C.crash(Lagging, false, Duration::seconds(360'000));
  for (int N = 0; N < Changes; ++N) {
    C.submit(withdrawal(std::to_string(N)));
    C.runUntil([&] { return C.allAnswered(); }, Duration::seconds(10));
    if (N % 100 == 99)
      C.Changes_.clear();
  }
  std::uint64_t Before = C.Net_.bytes();
  Time Start = C.now();
  Lagging.RestartAt_ = C.now();
  C.runUntil([&] { return C.converged(); }, Duration::seconds(60));
  std::printf("catch up on %5d changes: %5lld ms, %8llu bytes, snapshot to "
              "entry %llu\n",
              Changes, static_cast<long long>((C.now() - Start).count()),
              static_cast<unsigned long long>(C.Net_.bytes() - Before),
              static_cast<unsigned long long>(
                  Lagging.Replica_->state().Log_.baseIndex().value()));
}

/// Measures the traffic of a leader while one voter is down and lacks a large
/// entry.
void measureUnreachable() {
  constexpr std::int64_t Seconds = 60;
  ReplicaCluster C(3, 3, 1);
  C.Limits_ = ReplicationLimits();
  prepare(C);
  ClusterNode &Lost = C.node(C.leader()->Id_ == VmId("a") ? "b" : "a");
  C.crash(Lost, false, Duration::seconds(360'000));
  Change Large = withdrawal("large");
  Large.Text_ = std::string(200'000, 'x');
  C.submit(Large);
  C.runUntil([&] { return C.allAnswered(); }, Duration::seconds(10));
  C.run(Duration::seconds(1));
  std::uint64_t Before = C.Net_.bytes();
  C.run(Duration::seconds(Seconds));
  std::printf("one voter gone, 200000 bytes wait for it: %.0f bytes/s sent\n",
              static_cast<double>(C.Net_.bytes() - Before) / Seconds);
}

void measureIdle(std::size_t Voters) {
  constexpr std::int64_t Seconds = 600;
  ReplicaCluster C(Voters, Voters, 1);
  prepare(C);
  C.Step_ = Duration::millis(25);
  std::uint64_t Bytes = C.Net_.bytes();
  std::uint64_t Messages = C.Net_.sent();
  double Millis = elapsedMillis([&] { C.run(Duration::seconds(Seconds)); });
  auto PerVoter = static_cast<double>(Seconds) * static_cast<double>(Voters);
  std::printf("idle, %zu voters, mean per voter: %.0f bytes/s sent, %.1f "
              "messages/s, at most %.4f %% of a core\n",
              Voters, static_cast<double>(C.Net_.bytes() - Bytes) / PerVoter,
              static_cast<double>(C.Net_.sent() - Messages) / PerVoter,
              Millis / 10 / PerVoter);
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::fprintf(stderr, "usage: %s FOLDER\n", Arguments[0]);
    return 2;
  }
  measureDisk(Arguments[1]);
  measureElections(3);
  measureElections(5);
  for (int Sync : {0, 5, 20, 100})
    measureCommits(Duration::millis(Sync));
  for (int Changes : {10, 100, 1000, 5000})
    measureCatchUp(Changes);
  measureUnreachable();
  measureIdle(3);
  measureIdle(5);
  return 0;
}
