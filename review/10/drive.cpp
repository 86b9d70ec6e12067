// An instance in need names the requests a second that it takes from all
// machines together. Then all processes of the core are killed and restarted.
#include "../rig.h"

namespace {

using namespace rig;

/// The core is back well within a second.
constexpr long DownMs = 300;
constexpr double LimitPerSecond = 4;
constexpr long WindowMs = 4000;
/// One and a half times what the limit allows in the window, and 5 requests.
constexpr double MostPerWindow = LimitPerSecond * 1.5 * WindowMs / 1000 + 5;
constexpr long WatchMs = 9000;

std::pair<long, long> busiestWindow(const std::vector<long> &Times) {
  std::pair<long, long> Out{0, 0};
  for (long Start : Times) {
    long Count = std::count_if(Times.begin(), Times.end(), [&](long At) {
      return At >= Start && At < Start + WindowMs;
    });
    Out = std::max(Out, {Count, Start});
  }
  return Out;
}

bool isBroken(Record &Log, bool Trouble) {
  Platform P(
      {{"east-a", "east", 3}, {"east-b", "east", 3}, {"east-c", "east", 3}},
      Log);
  P.startAll();
  Operator Op(P, Log);
  Op.order("config.patch",
           firstConfiguration(routeRow("r-1", "/open/", true, "[]", 7, "svc"),
                              "", "svc"));
  std::vector<std::unique_ptr<Instance>> Instances;
  for (int Number = 1; Number <= 6; ++Number) {
    const ZonePlan &Z = P.zones()[std::size_t(Number % 3)];
    Instances.push_back(std::make_unique<Instance>(
        P, Log,
        Instance::Options{.Id_ = "i-" + std::to_string(Number),
                          .Service_ = "svc",
                          .Zone_ = Z.Zone_,
                          .Host_ = P.instanceHost(Number),
                          .WorkMs_ = 20,
                          .Limit_ = Number == 1 ? "4" : ""}));
    Instances.back()->startHeartbeats();
  }
  Instance &InNeed = *Instances.front();
  P.awaitReady(20000);
  std::vector<std::unique_ptr<Clients>> All;
  for (const ZonePlan &Z : P.zones()) {
    All.push_back(
        std::make_unique<Clients>(P, Log,
                                  Clients::Options{.Zone_ = Z.Zone_,
                                                   .Host_ = "app.example",
                                                   .Path_ = "/open/a",
                                                   .PerSecond_ = 80}));
    All.back()->start();
  }
  sleepMs(6000);
  long FirstMs = 0;
  for (const Arrival &A : InNeed.arrivals())
    FirstMs = FirstMs ? std::min(FirstMs, A.AtMs_) : A.AtMs_;
  if (FirstMs == 0)
    throw CannotRun("the instance in need got no request");
  sleepUntilMs(FirstMs + ContactWindowMs + WindowMs);
  long CountedFromMs = nowMs();
  if (Trouble) {
    Log.add("disruption: all processes of the core are killed");
    P.killCores();
    sleepMs(DownMs);
    P.startCores();
  }
  sleepMs(WatchMs);
  for (auto &C : All)
    C->stop();
  if (P.anyEnded())
    throw CannotRun("a process ended by itself");

  std::set<std::string> Told; // machines that have passed on the limit before
  std::vector<long> Times;
  std::map<std::string, long> BySender;
  for (const Arrival &A : InNeed.arrivals()) {
    if (A.AtMs_ < CountedFromMs - 1000)
      Told.insert(A.Entry_);
    if (A.AtMs_ < CountedFromMs || !Told.count(A.Entry_))
      continue;
    Times.push_back(A.AtMs_);
    ++BySender[A.Entry_];
  }
  auto [Most, At] = busiestWindow(Times);
  std::string Summary = "summary: " + std::to_string(Most) + " requests in " +
                        std::to_string(WindowMs) + " ms from " +
                        std::to_string(At) + " ms, allowed " +
                        std::to_string(MostPerWindow) + "; from";
  for (const auto &[Entry, Count] : BySender)
    Summary += " " + Entry + " " + std::to_string(Count);
  Log.add(Summary);
  return double(Most) > MostPerWindow;
}

} // namespace

int main(int Count, char **Words) {
  return rig::runCase(Count, Words, isBroken);
}
