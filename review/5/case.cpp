// A core machine freezes while the operator takes back an evacuation. The
// operator gets its acknowledgement from another core machine and evacuates the
// zone again. When the frozen machine wakes, it carries out the order that its
// operator has long given up.

#include "../standins.h"

using namespace review;

namespace {

constexpr const char *Items =
    R"({"upsert":{"routes":{"columns":["name","host","pathPrefix","routeType",)"
    R"("timeout","targetLatency","priority","service","maxAttempts",)"
    R"("allowAnonymous","version"],"rows":[)"
    R"(["lookup","review.example","/lookup/","safe","1200ms","500ms",2,"register",2,true,1]]},)"
    R"("services":{"columns":["name","healthPath","maxConnections","protocol","tls","version"],)"
    R"("rows":[["register","/health",330,"h1",false,1]]},)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeout":"3000ms","idleTimeout":"15000ms","version":1}}})";

constexpr const char *Evacuated = "b";
constexpr std::int64_t FreezeMs = 5000;
/// Bounds of the site `tussock-tags`.
constexpr std::int64_t EvacuationMs = 5000;
constexpr std::int64_t ContactWindowMs = 4000;
constexpr std::int64_t WatchMs = 6000;

int run(Record &Out) {
  Deployment &D =
      Deployment::create({{"a", "north"}, {"b", "north"}, {"c", "north"}}, Out);
  for (const char *Name : {"a", "b", "c"})
    D.addMachines(Name, true, 1);
  D.addMachines("a", false, 1);
  D.startAll();
  Runs &Seen = *new Runs(Out);
  constexpr int Slots = 3;
  constexpr int WorkMs = 150;
  new Instance(D, Seen, "i-a", "register", "a", Slots, WorkMs);
  new Instance(D, Seen, "i-b", "register", Evacuated, Slots, WorkMs);
  if (!D.order("config.patch", "", Items, 0, 20'000) || !D.waitReady(10'000))
    return CouldNotRun;
  Machine &Edge = *D.edges().front();
  Request Lookup{.Path_ = "/lookup/1",
                 .Attempt_ = "warm",
                 .Key_ = "",
                 .Fields_ = "",
                 .Body_ = ""};
  if (!waitServed(Edge, Lookup, 15'000, Out))
    return CouldNotRun;
  sleepMs(4000); // all heartbeats have arrived, the core is stable

  std::atomic<bool> Stop{false};
  std::atomic<int> Served{0};
  std::atomic<int> Number{0};
  std::vector<std::thread> Clients;
  constexpr int ClientCount = 4;
  for (int Index = 0; Index < ClientCount; ++Index)
    Clients.emplace_back([&] {
      while (!Stop) {
        Request Each = Lookup;
        Each.Attempt_ = "lookup-" + std::to_string(++Number);
        auto Answer = call(Edge.Ip_, FrontendPort, Each.head(), 1500);
        Served += Answer && Answer->status() == 200 ? 1 : 0;
        sleepMs(100);
      }
    });
  sleepMs(2000);
  std::vector<Run> Early = Seen.all();
  bool BothServe = std::any_of(Early.begin(), Early.end(), [](const Run &R) {
    return R.Zone_ == Evacuated;
  });

  constexpr int AckMs = 4000;
  Machine &Frozen = *D.cores().front();
  bool Ordered = D.order("evacuations.start", Evacuated, "", 1, AckMs);
  sleepMs(6000);
  std::int64_t FrozenAt = nowMs();
  if (withTrouble())
    D.signal(Frozen, SIGSTOP);
  sleepMs(100);
  Ordered = Ordered && D.order("evacuations.end", Evacuated, "", 0, AckMs);
  sleepMs(300);
  Ordered = Ordered && D.order("evacuations.start", Evacuated, "", 1, AckMs);
  std::int64_t AcknowledgedAt = nowMs();
  sleepMs(std::max<std::int64_t>(FrozenAt + FreezeMs - nowMs(), 0));
  std::int64_t WokenAt = nowMs();
  if (withTrouble())
    D.signal(Frozen, SIGCONT);
  std::int64_t BindsFrom =
      std::max(AcknowledgedAt + EvacuationMs, WokenAt + ContactWindowMs);
  Out.line("the second evacuation binds from " + std::to_string(BindsFrom) +
           " ms");
  sleepMs(BindsFrom + WatchMs - nowMs());
  Stop = true;
  for (std::thread &Client : Clients)
    Client.join();
  if (!Ordered || !BothServe || Served == 0 || !D.ended().empty())
    return CouldNotRun;

  int Wrong = 0;
  for (const Run &R : Seen.all())
    Wrong += R.Zone_ == Evacuated && R.At_ > BindsFrom ? 1 : 0;
  Out.line("EVAC: " + std::to_string(Wrong) +
           " requests reached the evacuated zone after that");
  return Wrong > 0 ? Broken : Held;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
