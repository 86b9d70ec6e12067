// Four of six core machines are replaced, two at a time, the second pair 8 s
// after the first. Each successor is empty and has another address.

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

constexpr std::int64_t SuccessorAfterMs = 1000; ///< as in `fleetbench kinds`
constexpr std::int64_t BetweenPairsMs = 8000;
/// Bounds of the site `tussock-tags`.
constexpr std::int64_t RecoveryMs = 15000;
constexpr std::int64_t ContactWindowMs = 4000;

void replacePair(Deployment &D, std::size_t First) {
  std::vector<Machine *> Cores = D.cores();
  D.remove(*Cores[First]);
  D.remove(*Cores[First + 1]);
  sleepMs(SuccessorAfterMs);
  D.replace(*Cores[First]);
  D.replace(*Cores[First + 1]);
}

int run(Record &Out) {
  Deployment &D = Deployment::create({{"a", "north"},
                                      {"b", "north"},
                                      {"c", "middle"},
                                      {"d", "middle"},
                                      {"e", "south"},
                                      {"f", "south"}},
                                     Out);
  for (const char *Name : {"a", "b", "c", "d", "e", "f"})
    D.addMachines(Name, true, 1);
  D.addMachines("a", false, 1);
  D.startAll();
  if (!D.order("config.patch", "", Items, 0, 20'000) || !D.waitReady(10'000))
    return CouldNotRun;
  sleepMs(5000); // all core machines have become voters
  if (!D.order("config.get", "", "", 0, 4000))
    return CouldNotRun;

  if (withTrouble()) {
    replacePair(D, 0);
    sleepMs(BetweenPairsMs - SuccessorAfterMs);
    if (!D.order("config.get", "", "", 0, 4000))
      return CouldNotRun;
    replacePair(D, 2);
  }
  sleepMs(RecoveryMs);
  if (!D.ended().empty())
    return CouldNotRun;

  // The operator reads back for much longer than it has to.
  bool Read = D.order("config.get", "", "", 0, 5 * ContactWindowMs);
  Out.line(Read ? "the acknowledged configuration was read back"
                : "CONFIG: read back, nothing comes");
  return Read ? Held : Broken;
}

} // namespace

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
