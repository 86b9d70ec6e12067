// All processes of the core are killed and restarted while a zone is evacuated.
// The zone's instance becomes cold and says so; then the zone is taken back.
#include "../rig.h"

namespace {

using namespace rig;

/// The core is back well within a second.
constexpr long DownMs = 300;
/// From the restart of the core to the start of the cold time.
constexpr long ColdAfterMs = 700;
constexpr long ColdMs = 3000;
/// Most requests that a cold instance may get in a second: `warmupPerS` (3.0) x
/// `warmupOverage` (1.5) + `warmupSlack` (5).
constexpr double MostPerSecond = 3.0 * 1.5 + 5;

/// \returns the largest count in any second from \p FromMs to \p ToMs, and the
/// start of that second.
std::pair<long, long> busiestSecond(const std::vector<long> &Times, long FromMs,
                                    long ToMs) {
  std::pair<long, long> Out{0, FromMs};
  for (long Start : Times) {
    if (Start < FromMs || Start + 1000 > ToMs)
      continue;
    long Count = std::count_if(Times.begin(), Times.end(), [&](long At) {
      return At >= Start && At < Start + 1000;
    });
    Out = std::max(Out, {Count, Start});
  }
  return Out;
}

bool isBroken(Record &Log, bool Trouble) {
  Platform P(sixZones(2, 1), Log);
  P.startAll();
  Operator Op(P, Log);
  Op.order("config.patch",
           firstConfiguration(routeRow("r-1", "/open/", true, "[]", 7, "svc"),
                              "", "svc"));
  std::vector<std::unique_ptr<Instance>> Instances;
  int Number = 0;
  for (const ZonePlan &Z : P.zones()) {
    ++Number;
    Instances.push_back(std::make_unique<Instance>(
        P, Log,
        Instance::Options{.Id_ = "i-" + std::to_string(Number),
                          .Service_ = "svc",
                          .Zone_ = Z.Zone_,
                          .Host_ = P.instanceHost(Number),
                          .WorkMs_ = 20}));
    Instances.back()->startHeartbeats();
  }
  Instance &Cold = *Instances.front(); // of zone east-a
  P.awaitReady(20000);
  std::vector<std::unique_ptr<Clients>> All;
  for (const ZonePlan &Z : P.zones()) {
    All.push_back(
        std::make_unique<Clients>(P, Log,
                                  Clients::Options{.Zone_ = Z.Zone_,
                                                   .Host_ = "app.example",
                                                   .Path_ = "/open/a",
                                                   .PerSecond_ = 25}));
    All.back()->start();
  }
  sleepMs(6000);
  Op.order("evacuations.start&of=east-a", "");
  sleepMs(6000);

  if (Trouble) {
    Log.add("disruption: all processes of the core are killed");
    P.killCores();
    sleepMs(DownMs);
    P.startCores();
  }
  // The instance goes on with its heartbeats. Some time later it is cold again,
  // and says so in its next one.
  sleepMs(ColdAfterMs);
  Cold.becomeCold(ColdMs);
  long ToldMs = Cold.sendHeartbeat();
  if (ToldMs == 0)
    throw CannotRun("no core machine took the heartbeat of the cold instance");
  long BackMs = Op.order("evacuations.end&of=east-a", "");
  sleepUntilMs(Cold.coldUntilMs() + 1000);
  for (auto &C : All)
    C->stop();
  if (P.anyEnded())
    throw CannotRun("a process ended by itself");

  std::map<std::string, long> SentMs;
  for (auto &C : All)
    for (const Attempt &A : C->attempts())
      SentMs[A.Id_] = A.SentMs_;
  std::vector<long> Times;
  std::map<std::string, long> BySender;
  for (const Arrival &A : Cold.arrivals()) {
    // Counted are requests that were sent and arrived while the instance was
    // known to be cold.
    if (SentMs[A.Attempt_] < ToldMs || A.AtMs_ > Cold.coldUntilMs())
      continue;
    Times.push_back(A.AtMs_);
    ++BySender[A.Entry_];
  }
  auto [Most, At] = busiestSecond(Times, ToldMs, Cold.coldUntilMs());
  std::string Summary = "summary: the instance told that it is cold at " +
                        std::to_string(ToldMs) +
                        " ms, the evacuation's end was acknowledged at " +
                        std::to_string(BackMs) + " ms, cold until " +
                        std::to_string(Cold.coldUntilMs()) + " ms; it got " +
                        std::to_string(Times.size()) + " requests, " +
                        std::to_string(Most) + " of them in the second from " +
                        std::to_string(At) + " ms; from";
  for (const auto &[Entry, Count] : BySender)
    Summary += " " + Entry + " " + std::to_string(Count);
  Log.add(Summary);
  if (BackMs + 1000 > Cold.coldUntilMs())
    throw CannotRun("the evacuation ended too late to tell");
  return double(Most) > MostPerSecond;
}

} // namespace

int main(int Count, char **Words) {
  return rig::runCase(Count, Words, isBroken);
}
