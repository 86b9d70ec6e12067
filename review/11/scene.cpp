/// \file
/// DRAIN: an instance deregisters, and all processes are killed right after the
/// acknowledgement. A heartbeat that the instance had sent before arrives late.
/// Counts the requests that reach the instance from machines in touch.

#include "../rig3.h"

namespace {

using namespace rig;

constexpr double Drain = 2.5;        ///< drain
constexpr double ContactWindow = 4;  ///< contactWindow
constexpr double KillAfter = 0.05;   ///< the acknowledgement
constexpr double DownSeconds = 0.7;  ///< from the kill until the start
constexpr double LateSeconds = 3;    ///< from the sending of the heartbeat
constexpr double ServesSeconds = 12; ///< after the acknowledgement
constexpr double UsualSeconds = 4;
constexpr double RequestsPerSecond = 60;
constexpr int InstancesPerZone = 2;
constexpr const char *Leaver = "i-a0";

constexpr const char *Configuration =
    R"({"upsert":{"routes":{"columns":["name","host","pathPrefix","routeType",)"
    R"("timeout","targetLatency","priority","maxAttempts","allowAnonymous",)"
    R"("sessionAffinity","allowedRegions","version","service"],"rows":[["r-1",)"
    R"("calls.example","/lookup/","safe","1200ms","500ms",1,2,true,false,[],)"
    R"(1,"register"]]},"tenants":{"columns":["name","apiKeys","priority",)"
    R"("ratePerS","burst","allowedRegions","version"],"rows":[["tenant-1",)"
    R"(["key-of-tenant-1"],1,0,0,[],1]]},"services":{"columns":["name",)"
    R"("healthPath","maxConnections","protocol","tls","warmup","warmupPerS",)"
    R"("version"],"rows":[["register","/health",390,"h1",false,"3s",2.9,1]]},)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
    R"("headerTimeout":"3000ms","idleTimeout":"15000ms","version":1}},)"
    R"("remove":{"routes":[]}})";

struct Arrival {
  std::string Id_;
  double SentAt_ = 0;
  double At_ = 0;
};

class Arrivals {
public:
  void sent(const std::string &Id) {
    std::lock_guard Guard(Lock_);
    SentAt_[Id] = now();
  }
  void arrived(const std::string &Id, double At) {
    std::lock_guard Guard(Lock_);
    All_.push_back({Id, SentAt_[Id], At});
  }
  std::vector<Arrival> all() {
    std::lock_guard Guard(Lock_);
    return All_;
  }

private:
  std::mutex Lock_;
  std::map<std::string, double> SentAt_;
  std::vector<Arrival> All_;
};

int run(const std::string &RecordFile) {
  Record Out(RecordFile);
  Arrivals Seen;
  Deployment D({{"a", "north"}, {"b", "north"}, {"c", "north"}}, 1);
  D.startAll();
  sleepFor(1);
  if (!callControl(D.cores(), "/-/rpc?call=config.patch", Configuration, 15)) {
    Out.note("the first configuration was not acknowledged");
    return ExitNotRun;
  }
  std::vector<std::unique_ptr<Instance>> Servers;
  for (const std::string Zone : {"a", "b", "c"})
    for (int N = 0; N < InstancesPerZone; ++N) {
      std::string Id = "i-" + Zone + std::to_string(N);
      Instance::Options O{Id, "register", Zone, {D.nextIp(), 18080}};
      Servers.push_back(std::make_unique<Instance>(
          O, D.cores(), [&Seen, Id](const Message &Request, double Arrived) {
            if (Id == Leaver)
              Seen.arrived(Request.field("lagoonpoint-attempt-id"), Arrived);
            return Work{0.05, ""};
          }));
      Servers.back()->startHeartbeats(0.4 * N);
    }
  if (!D.awaitReady(15)) {
    Out.note("the edge machines are not ready");
    return ExitNotRun;
  }
  sleepFor(4);

  double Begin = now();
  std::atomic<double> EndAt{Begin + 60};
  double AcknowledgedAt = 0;
  double StartedAt = 0;
  std::thread Events([&] {
    Instance &Leaving = *Servers.front();
    sleepUntil(Begin + UsualSeconds);
    Leaving.stopHeartbeats();
    std::string Late = Leaving.heartbeat();
    double LateAt = now() + LateSeconds;
    Out.note("heartbeat sent, arrives later: %s", Late.c_str());
    Machine *Giver = callControl(
        D.cores(), std::string("/-/rpc?call=instances.deregister&of=") + Leaver,
        Leaving.heartbeat(), 4);
    AcknowledgedAt = StartedAt = now();
    Out.note("%s is deregistered, acknowledged by %s", Leaver,
             Giver ? Giver->Name_.c_str() : "none");
    if (troubled()) {
      sleepFor(KillAfter);
      std::vector<Machine *> All = D.cores();
      for (Machine *Edge : D.edges())
        All.push_back(Edge);
      for (Machine *M : All)
        D.signal(*M, SIGKILL);
      Out.note("all processes are killed");
      sleepFor(DownSeconds);
      for (Machine *M : All)
        D.start(*M);
      StartedAt = now();
      Out.note("all processes are started");
    }
    sleepUntil(LateAt);
    int Status = 0;
    callControl(D.cores(),
                std::string("/-/rpc?call=instances.heartbeat&of=") + Leaver,
                Late, 1, &Status);
    Out.note("the heartbeat arrived, answered %d", Status);
    sleepUntil(AcknowledgedAt + ServesSeconds);
    EndAt = now();
  });
  std::vector<std::thread> Clients;
  std::mt19937 Random(1);
  std::vector<Machine *> Edges = D.edges();
  std::atomic<int> Served{0};
  for (double At = Begin; At < EndAt;) {
    At += std::exponential_distribution<double>(RequestsPerSecond)(Random);
    sleepUntil(At);
    std::string Id = "attempt-" + std::to_string(Clients.size());
    Address To{Edges[Random() % Edges.size()]->Ip_, Deployment::Frontend};
    Clients.emplace_back([&Seen, &Served, Id, To] {
      Seen.sent(Id);
      Message Reply = call(To,
                           "GET /lookup/" + Id +
                               " HTTP/1.1\r\nHost: calls.example\r\n"
                               "Lagoonpoint-Attempt-Id: " +
                               Id + "\r\nLagoonpoint-Deadline-Ms: 3000\r\n",
                           "", 4);
      Served += Reply.status() == 200 ? 1 : 0;
    });
  }
  Events.join();
  for (std::thread &Client : Clients)
    Client.join();

  int Usual = 0;
  int Late = 0;
  int InTouch = 0;
  for (const Arrival &A : Seen.all()) {
    Out.note("%s sent %.3f arrived %.3f", A.Id_.c_str(), A.SentAt_, A.At_);
    Usual += A.At_ < AcknowledgedAt;
    bool IsLate = A.At_ > AcknowledgedAt + Drain;
    Late += IsLate;
    InTouch += IsLate && A.SentAt_ > StartedAt + ContactWindow;
  }
  Out.note("sent %zu, served %d; at %s: %d before the acknowledgement, %d "
           "later than drain after it, %d of them by machines in touch",
           Clients.size(), Served.load(), Leaver, Usual, Late, InTouch);
  std::printf("sent %zu, served %d; at the leaver %d before, %d late, %d by "
              "machines in touch\n",
              Clients.size(), Served.load(), Usual, Late, InTouch);
  if (Usual < 5 || AcknowledgedAt == 0)
    return ExitNotRun;
  return InTouch > 0 ? ExitBroken : ExitHeld;
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
