// All processes of the core are killed and restarted. An instance then
// announces its departure, and the core dies once more right after the
// acknowledgement.
#include "../rig.h"

namespace {

using namespace rig;

/// The core is back well within a second.
constexpr long DownMs = 300;
/// An instance may serve for many seconds after its departure.
constexpr long ServesOnMs = 12000;

void killAndRestartCore(Platform &P, Record &Log) {
  Log.add("disruption: all processes of the core are killed");
  P.killCores();
  sleepMs(DownMs);
  P.startCores();
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
  auto AddInstance = [&](const std::string &Zone) {
    ++Number;
    Instances.push_back(std::make_unique<Instance>(
        P, Log,
        Instance::Options{.Id_ = "i-" + std::to_string(Number),
                          .Service_ = "svc",
                          .Zone_ = Zone,
                          .Host_ = P.instanceHost(Number)}));
    Instances.back()->startHeartbeats();
  };
  for (const ZonePlan &Z : P.zones())
    AddInstance(Z.Zone_);
  AddInstance("east-a");
  Instance &Leaving = *Instances.back();
  P.awaitReady(20000);
  std::vector<std::unique_ptr<Clients>> All;
  for (const ZonePlan &Z : P.zones()) {
    All.push_back(
        std::make_unique<Clients>(P, Log,
                                  Clients::Options{.Zone_ = Z.Zone_,
                                                   .Host_ = "app.example",
                                                   .Path_ = "/open/a",
                                                   .PerSecond_ = 10}));
    All.back()->start();
  }
  sleepMs(8000);

  Leaving.stopHeartbeats();
  if (Trouble)
    killAndRestartCore(P, Log);
  // Its last heartbeat tells a restarted core machine what departs.
  if (!Leaving.sendHeartbeat(10000))
    throw CannotRun("no core machine took a heartbeat");
  long AckedMs = Leaving.deregister(10000);
  if (AckedMs == 0)
    throw CannotRun("no core machine acknowledged the departure");
  long InTouchMs = AckedMs;
  if (Trouble) {
    killAndRestartCore(P, Log);
    InTouchMs = nowMs() + ContactWindowMs;
  }
  sleepUntilMs(AckedMs + ServesOnMs);
  for (auto &C : All)
    C->stop();
  if (P.anyEnded())
    throw CannotRun("a process ended by itself");

  std::map<std::string, long> SentMs;
  for (auto &C : All)
    for (const Attempt &A : C->attempts())
      SentMs[A.Id_] = A.SentMs_;
  long Before = 0;
  long Late = 0;
  long LastMs = 0;
  for (const Arrival &A : Leaving.arrivals()) {
    Before += A.AtMs_ <= AckedMs ? 1 : 0;
    bool InTouch = SentMs[A.Attempt_] >= InTouchMs;
    if (A.AtMs_ <= AckedMs + DrainMs || !InTouch)
      continue;
    ++Late;
    LastMs = A.AtMs_;
    Log.addAt(A.AtMs_, "late: " + A.Attempt_ + " reached " +
                           Leaving.options().Id_ + " " +
                           std::to_string(A.AtMs_ - AckedMs) +
                           " ms after the acknowledgement, from " + A.Entry_);
  }
  Log.add("summary: " + std::to_string(Before) +
          " requests reached the instance before the acknowledgement, " +
          std::to_string(Late) + " later than " + std::to_string(DrainMs) +
          " ms after it from machines in touch" +
          (Late ? ", the last one " + std::to_string(LastMs - AckedMs) +
                      " ms after it"
                : ""));
  if (Before == 0)
    throw CannotRun("the instance got no request before its departure");
  return Late > 0;
}

} // namespace

int main(int Count, char **Words) {
  return rig::runCase(Count, Words, isBroken);
}
