/// \file
/// CONFIG: an operator drops a service that a route still names. Looks whether
/// this invalid configuration is acknowledged and comes into force. Then the
/// service's instances are replaced one after the other, each by a release.

#include "../rig3.h"

namespace {

using namespace rig;

constexpr double ConfigBound = 5; ///< config, s
constexpr double UsualSeconds = 3;
/// From the start of a new instance until the old one reports that it drains.
constexpr double DrainAfter = 2;
constexpr double OldServesSeconds = 4; ///< after that report
constexpr double LastSeconds = 5;
constexpr double RequestsPerSecond = 20;
constexpr int Instances = 3;

constexpr const char *Configuration =
    R"({"upsert":{"routes":{"columns":["name","host","pathPrefix","routeType",)"
    R"("timeout","targetLatency","priority","maxAttempts","allowAnonymous",)"
    R"("sessionAffinity","allowedRegions","version","service"],"rows":[["r-1",)"
    R"("calls.example","/lookup/","safe","1200ms","500ms",1,2,true,false,[],)"
    R"(1,"register"]]},"tenants":{"columns":["name","apiKeys","priority",)"
    R"("ratePerS","burst","allowedRegions","version"],"rows":[["tenant-1",)"
    R"(["key-of-tenant-1"],1,0,0,[],1]]},"services":{"columns":["name",)"
    R"("healthPath","maxConnections","protocol","tls","warmup","warmupPerS",)"
    R"("version"],"rows":[["register","/health",390,"h1",false,"3s",3.0,1],)"
    R"(["spare","/health",390,"h1",false,"3s",3.0,1]]},"limits":{)"
    R"("maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":)"
    R"("3000ms","idleTimeout":"15000ms","version":1}},"remove":{"routes":[]}})";
/// No route names this service.
constexpr const char *ValidDrop =
    R"({"upsert":{},"remove":{"services":[{"name":"spare","version":2}]}})";
/// The route names this service.
constexpr const char *InvalidDrop =
    R"({"upsert":{},"remove":{"services":[{"name":"register","version":2}]}})";

class Statuses {
public:
  void add(double SentAt, int Status) {
    std::lock_guard Guard(Lock_);
    All_.emplace_back(SentAt, Status);
  }
  /// \returns the number of answers by status
  std::map<int, int> between(double From, double Upto) {
    std::lock_guard Guard(Lock_);
    std::map<int, int> Out;
    for (const auto &[SentAt, Status] : All_)
      Out[Status] += SentAt >= From && SentAt < Upto ? 1 : 0;
    return Out;
  }

private:
  std::mutex Lock_;
  std::vector<std::pair<double, int>> All_;
};

Message post(Machine &M, const std::string &Target, const std::string &Body) {
  return call({M.Ip_, Deployment::Control},
              "POST " + Target +
                  " HTTP/1.1\r\nHost: control\r\nContent-Type: "
                  "application/json\r\n",
              Body, 3);
}

int run(const std::string &RecordFile) {
  Record Out(RecordFile);
  Statuses Answers;
  Deployment D({{"a", "north"}, {"b", "north"}, {"c", "north"}}, 1);
  D.startAll();
  sleepFor(1);
  if (!callControl(D.cores(), "/-/rpc?call=config.patch", Configuration, 15)) {
    Out.note("the first configuration was not acknowledged");
    return ExitNotRun;
  }
  std::vector<std::unique_ptr<Instance>> Servers;
  auto StartInstance = [&](int N) {
    Instance::Options O{"i-" + std::to_string(Servers.size()),
                        "register",
                        std::string(1, static_cast<char>('a' + N)),
                        {D.nextIp(), 18080}};
    Servers.push_back(
        std::make_unique<Instance>(O, D.cores(), [](const Message &, double) {
          return Work{0.05, ""};
        }));
    Servers.back()->startHeartbeats(0);
  };
  for (int N = 0; N < Instances; ++N)
    StartInstance(N);
  if (!D.awaitReady(15)) {
    Out.note("the edge machines are not ready");
    return ExitNotRun;
  }
  sleepFor(4);

  double Begin = now();
  double DropAt = Begin + UsualSeconds;
  double ReleaseAt = DropAt + ConfigBound;
  double ReplacedAt = ReleaseAt + Instances * (DrainAfter + OldServesSeconds);
  double EndAt = ReplacedAt + LastSeconds;
  int DropStatus = 0;
  std::thread Operator([&] {
    sleepUntil(DropAt);
    callControl(D.cores(), "/-/rpc?call=config.patch",
                troubled() ? InvalidDrop : ValidDrop, 5, &DropStatus);
    Out.note("the service that %s is dropped: status %d",
             troubled() ? "a route names" : "no route names", DropStatus);
    sleepUntil(ReleaseAt);
    for (Machine *M : D.cores())
      Out.note("read back: %s",
               post(*M, "/-/rpc?call=config.get", "").Body_.c_str());
    int Beat = 0;
    callControl(D.cores(), "/-/rpc?call=instances.heartbeat&of=i-0",
                Servers.front()->heartbeat(), 3, &Beat);
    Out.note("heartbeat of an instance of the route's service: status %d",
             Beat);
    for (int N = 0; N < Instances; ++N) {
      StartInstance(N);
      sleepFor(DrainAfter);
      Machine *M = Servers[N]->drain(1);
      Out.note("%s is replaced, reports that it drains: %s",
               Servers[N]->options().Id_.c_str(),
               M ? "acknowledged" : "not acknowledged");
      sleepUntil(ReleaseAt + (N + 1) * (DrainAfter + OldServesSeconds));
      Servers[N]->stop();
    }
    Out.note("the old instances have ended");
  });
  std::vector<std::thread> Clients;
  std::mt19937 Random(1);
  std::vector<Machine *> Edges = D.edges();
  for (double At = Begin; At < EndAt;) {
    At += std::exponential_distribution<double>(RequestsPerSecond)(Random);
    sleepUntil(At);
    std::string Id = "attempt-" + std::to_string(Clients.size());
    Address To{Edges[Random() % Edges.size()]->Ip_, Deployment::Frontend};
    Clients.emplace_back([&Answers, Id, To] {
      double SentAt = now();
      Message Reply = call(To,
                           "GET /lookup/x HTTP/1.1\r\nHost: calls.example\r\n"
                           "Lagoonpoint-Attempt-Id: " +
                               Id + "\r\nLagoonpoint-Deadline-Ms: 3000\r\n",
                           "", 4);
      Answers.add(SentAt, Reply.status());
    });
  }
  Operator.join();
  for (std::thread &Client : Clients)
    Client.join();

  for (const auto &[Status, Count] : Answers.between(Begin, DropAt))
    Out.note("before the drop: status %d: %d", Status, Count);
  for (const auto &[Status, Count] : Answers.between(ReplacedAt + 1, EndAt))
    Out.note("after the release: status %d: %d", Status, Count);
  int Served = Answers.between(Begin, DropAt)[200];
  int ServedLater = Answers.between(ReplacedAt + 1, EndAt)[200];
  std::printf("drop answered %d; served before %d, after the release %d\n",
              DropStatus, Served, ServedLater);
  if (Served < 20 || DropStatus == 0)
    return ExitNotRun;
  bool Acknowledged = DropStatus / 100 == 2;
  if (!troubled())
    return Acknowledged && ServedLater > 0 ? ExitHeld : ExitBroken;
  return Acknowledged ? ExitBroken : ExitHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count != 2)
    return ExitNotRun;
  int Result = run(Arguments[1]);
  std::fflush(nullptr);
  ::_exit(Result);
}
