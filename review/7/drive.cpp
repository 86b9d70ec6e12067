// The operator binds a tenant to another region than the one to which the route
// is bound, so that no region may serve the tenant on this route.
#include "../rig.h"

namespace {

using namespace rig;

constexpr const char *Key = "xd9dnn2ctnfzs989anu6";
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
               routeRow("r-1", "/keyed/", false, "[\"east\"]", 7, "svc"),
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
  sleepMs(6000);
  long AckedMs = nowMs();
  if (Trouble)
    AckedMs = Op.order(
        "config.patch",
        "{\"upsert\":{\"tenants\":" +
            tenantTable(tenantRow("huka270", "[\"" + std::string(Key) + "\"]",
                                  "[\"west\"]", 9)) +
            "}}");
  sleepUntilMs(AckedMs + ConfigMs + WatchMs);
  for (auto &C : All)
    C->stop();
  if (P.anyEnded())
    throw CannotRun("a process ended by itself");

  std::map<std::string, long> SentMs;
  long SentLate = 0;
  for (auto &C : All)
    for (const Attempt &A : C->attempts()) {
      SentMs[A.Id_] = A.SentMs_;
      SentLate += A.SentMs_ > AckedMs + ConfigMs ? 1 : 0;
    }
  // The route's home is east. The tenant's home is west once the change is in
  // force, so that then no region is a home of both.
  long RunBefore = 0;
  long Violations = 0;
  std::map<std::string, long> LateByRegion;
  for (auto &I : Instances) {
    std::string Region = P.regionOf(I->options().Zone_);
    for (const Arrival &A : I->arrivals()) {
      bool IsLate = SentMs[A.Attempt_] > AckedMs + ConfigMs;
      RunBefore += IsLate ? 0 : 1;
      LateByRegion[Region] += IsLate ? 1 : 0;
      bool Forbidden = Region != "east" || (Trouble && IsLate);
      Violations += Forbidden ? 1 : 0;
    }
  }
  std::string Summary = "summary: " + std::to_string(RunBefore) +
                        " requests ran before; of " + std::to_string(SentLate) +
                        " sent over " + std::to_string(ConfigMs) +
                        " ms after the acknowledgement, there ran";
  for (const auto &[Region, Sum] : LateByRegion)
    Summary += " " + std::to_string(Sum) + " in " + Region;
  Log.add(Summary);
  if (RunBefore == 0)
    throw CannotRun("no request ran before the change");
  return Violations > 0;
}

} // namespace

int main(int Count, char **Words) {
  return rig::runCase(Count, Words, isBroken);
}
