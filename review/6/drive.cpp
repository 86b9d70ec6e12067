// The operator drops the only tenant, so that its key is taken away. Clients go
// on sending with that key.
#include "../rig.h"

namespace {

using namespace rig;

constexpr const char *Key = "xd9dnn2ctnfzs989anu6";
/// No configuration ever holds this key.
constexpr const char *UnknownKey = "n0keyofthisdeployment";
/// Requests are watched for so long after the bound.
constexpr long WatchMs = 8000;

bool isBroken(Record &Log, bool Trouble) {
  Platform P(
      {{"east-a", "east", 1}, {"west-a", "west", 1}, {"north-a", "north", 1}},
      Log);
  P.startAll();
  Operator Op(P, Log);
  Op.order("config.patch",
           firstConfiguration(
               routeRow("r-1", "/keyed/", false, "[]", 7, "svc"),
               tenantRow("huka270", "[\"" + std::string(Key) + "\"]", "[]", 7),
               "svc"));
  std::vector<std::unique_ptr<Instance>> Instances;
  int Number = 0;
  for (const ZonePlan &Z : P.zones()) {
    ++Number;
    Instances.push_back(std::make_unique<Instance>(
        P, Log,
        Instance::Options{.Id_ = "i-" + std::to_string(Number),
                          .Service_ = "svc",
                          .Zone_ = Z.Zone_,
                          .Host_ = P.instanceHost(Number)}));
    Instances.back()->startHeartbeats();
  }
  P.awaitReady(20000);
  std::vector<std::unique_ptr<Clients>> All;
  for (const ZonePlan &Z : P.zones()) {
    All.push_back(
        std::make_unique<Clients>(P, Log,
                                  Clients::Options{.Zone_ = Z.Zone_,
                                                   .Host_ = "app.example",
                                                   .Path_ = "/keyed/a",
                                                   .Key_ = Key}));
    All.back()->start();
  }
  Clients Strangers(P, Log,
                    Clients::Options{.Zone_ = "east-a",
                                     .Host_ = "app.example",
                                     .Path_ = "/keyed/stranger",
                                     .Key_ = UnknownKey,
                                     .PerSecond_ = 2,
                                     .Name_ = "stranger"});
  Strangers.start();
  sleepMs(6000);
  long AckedMs = nowMs();
  if (Trouble)
    AckedMs =
        Op.order("config.patch", R"({"remove":{"tenants":[{"name":"huka270",)"
                                 R"("version":9}]}})");
  sleepUntilMs(AckedMs + RevokeMs + WatchMs);
  for (auto &C : All)
    C->stop();
  Strangers.stop();
  if (P.anyEnded())
    throw CannotRun("a process ended by itself");

  std::set<std::string> Run;
  for (auto &I : Instances)
    for (const Arrival &A : I->arrivals())
      Run.insert(A.Attempt_);
  long RunBefore = 0;
  long SentLate = 0;
  long RunLate = 0;
  for (auto &C : All)
    for (const Attempt &A : C->attempts()) {
      bool HasRun = Run.count(A.Id_) != 0;
      if (A.SentMs_ <= AckedMs) {
        RunBefore += HasRun ? 1 : 0;
        continue;
      }
      if (A.SentMs_ <= AckedMs + RevokeMs)
        continue;
      ++SentLate;
      RunLate += HasRun ? 1 : 0;
    }
  Log.add("summary: " + std::to_string(RunBefore) +
          " requests ran before the change; of " + std::to_string(SentLate) +
          " sent over " + std::to_string(RevokeMs) +
          " ms after its acknowledgement, " + std::to_string(RunLate) + " ran");
  long StrangersBefore = 0;
  long StrangersAfter = 0;
  for (const Attempt &A : Strangers.attempts())
    if (Run.count(A.Id_))
      ++(A.SentMs_ <= AckedMs ? StrangersBefore : StrangersAfter);
  Log.add("summary: of requests with a key that no configuration ever held, " +
          std::to_string(StrangersBefore) + " ran before the change and " +
          std::to_string(StrangersAfter) + " after it");
  if (RunBefore == 0)
    throw CannotRun("no request ran before the change");
  if (!Trouble && RunLate < SentLate / 2)
    throw CannotRun("requests with a key in force are not served");
  return Trouble && RunLate > 0;
}

} // namespace

int main(int Count, char **Words) {
  return rig::runCase(Count, Words, isBroken);
}
