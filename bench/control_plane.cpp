// Measures the control plane's cost per VM, and how fast changes and
// withdrawals propagate, with all VMs in one process under a virtual clock:
//   bench_control_plane VMS ZONES UPSTREAMS SECONDS
//   bench_control_plane stop VMS ZONES
//   bench_control_plane wire
#include "fakes/ControlFleet.h"
#include "lagoonpoint/Peer"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

using namespace lagoonpoint;
using fakes::ControlFleet;
using fakes::MessageOutcome;

namespace {

/// Bytes that a sender writes per message in addition to the body: HTTP/2
/// frames, message authentication and acknowledgement. See `wire`.
constexpr double WireOverhead = 57;
const KeyId Key("k1");
constexpr Duration ObservationPeriod = Duration::seconds(20);

struct Traffic {
  double Messages_ = 0;
  double Bytes_ = 0; ///< with WireOverhead
};

/// Counts the messages and bytes that each VM sends and receives.
class TrafficMeter {
public:
  void attach(ControlFleet &Fleet, Duration Delay) {
    Fleet.Net_.setHook([this, Delay](std::uint64_t, const Envelope &E) {
      double Size = static_cast<double>(E.Body_.size()) + WireOverhead;
      add(Out_[E.From_], Size);
      add(In_[E.To_], Size);
      add(ByChannel_[E.Channel_], Size);
      return MessageOutcome{.Delay_ = Delay};
    });
  }
  void clear() {
    Out_.clear();
    In_.clear();
    ByChannel_.clear();
  }
  static double mean(const std::map<VmId, Traffic> &Of, double Vms,
                     double Traffic::*Field) {
    double Sum = 0;
    for (const auto &[Vm, T] : Of)
      Sum += T.*Field;
    return Sum / Vms;
  }
  static double busiest(const std::map<VmId, Traffic> &Of) {
    double Most = 0;
    for (const auto &[Vm, T] : Of)
      Most = std::max(Most, T.Bytes_);
    return Most;
  }

  std::map<VmId, Traffic> Out_;
  std::map<VmId, Traffic> In_;
  std::map<Channel, Traffic> ByChannel_;

private:
  static void add(Traffic &T, double Size) {
    T.Messages_ += 1;
    T.Bytes_ += Size;
  }
};

double cpuSeconds() {
  rusage Used{};
  getrusage(RUSAGE_SELF, &Used);
  return static_cast<double>(Used.ru_utime.tv_sec + Used.ru_stime.tv_sec) +
         static_cast<double>(Used.ru_utime.tv_usec + Used.ru_stime.tv_usec) /
             1e6;
}

/// \returns the resident memory of this process in bytes.
double residentBytes() {
  std::ifstream File("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  File >> Total >> Resident;
  return Resident * 4096;
}

void announceAll(ControlFleet &Fleet, int Upstreams) {
  auto Vm = Fleet.Vms_.begin();
  for (int Number = 0; Number < Upstreams; ++Number) {
    AnnouncedUpstream Offer;
    Offer.Key_ = {ServiceId("service"),
                  UpstreamId("u" + std::to_string(Number))};
    Offer.Host_ = "10.0.0.1";
    Offer.Port_ = 8080;
    Offer.Slots_ = 3;
    Vm->second->Members_.announce(Offer, Fleet.Now_);
    if (++Vm == Fleet.Vms_.end())
      Vm = Fleet.Vms_.begin();
  }
}

void runAnnouncing(ControlFleet &Fleet, int Upstreams, int Seconds) {
  for (int Second = 0; Second < Seconds; ++Second) {
    announceAll(Fleet, Upstreams);
    Fleet.run(Duration::seconds(1));
  }
}

void printCost(ControlFleet &Fleet, TrafficMeter &M, int Upstreams,
               int Seconds) {
  M.clear();
  double Cpu = cpuSeconds();
  runAnnouncing(Fleet, Upstreams, Seconds);
  Cpu = cpuSeconds() - Cpu;
  double Vms = static_cast<double>(Fleet.Vms_.size());
  double Per = static_cast<double>(Seconds);
  std::printf("messages/s out per VM      %8.1f\n",
              TrafficMeter::mean(M.Out_, Vms, &Traffic::Messages_) / Per);
  std::printf("bytes/s out per VM, mean   %8.0f\n",
              TrafficMeter::mean(M.Out_, Vms, &Traffic::Bytes_) / Per);
  std::printf("bytes/s out, busiest VM    %8.0f\n",
              TrafficMeter::busiest(M.Out_) / Per);
  std::printf("bytes/s in, busiest VM     %8.0f\n",
              TrafficMeter::busiest(M.In_) / Per);
  for (const auto &[Channel, T] : M.ByChannel_)
    std::printf("  channel %u: bytes/s out per VM, mean %8.0f\n",
                static_cast<unsigned>(Channel), T.Bytes_ / Vms / Per);
  std::printf("core share per VM, %%       %8.3f\n", 100 * Cpu / Per / Vms);
  std::printf("resident bytes per VM      %8.0f\n", residentBytes() / Vms);
}

void printChange(ControlFleet &Fleet) {
  auto R = Fleet.propose(std::string(1000, 'x'));
  if (!R)
    return;
  auto Elapsed = Fleet.runUntil([&] { return Fleet.allAtRevision(*R); },
                                Duration::seconds(60));
  std::printf("change in force on all, ms %8lld\n",
              Elapsed ? static_cast<long long>(Elapsed->count()) : -1);
}

/// Fault that is present while a key is withdrawn.
enum class Fault { None, VmCutOff, NoQuorum };

void injectFault(ControlFleet &Fleet, Fault Injected) {
  VmId Last = Fleet.Vms_.rbegin()->first;
  if (Injected == Fault::VmCutOff)
    for (const auto &[Vm, Zone] : Fleet.DeclaredVms_) {
      Fleet.cutLink(Vm, Last);
      Fleet.cutLink(Last, Vm);
    }
  if (Injected == Fault::NoQuorum)
    for (std::size_t At = 0; At <= Fleet.Voters_.size() / 2; ++At)
      Fleet.crash(Fleet.Voters_[At]);
}

bool anyAccepts(const ControlFleet &Fleet) {
  return std::any_of(Fleet.Vms_.begin(), Fleet.Vms_.end(), [&](const auto &E) {
    return Fleet.verdict(E.first, Key, Duration::seconds(3600)) ==
           KeyVerdict::Ok;
  });
}

/// \returns the time in ms from the withdrawal of a key until a VM last
/// accepted it, or -1 if one still does at the end of ObservationPeriod.
long long timeToLastAcceptance(ControlFleet &Fleet, bool Logged, bool Gossip) {
  Fleet.LogWithdrawalsEnabled_ = Logged;
  Fleet.GossipEnabled_ = Gossip;
  Fleet.run(ControlFleet::Step);
  if (Gossip)
    Fleet.Vms_.begin()->second->Withdrawn_.withdraw(Key);
  if (Logged)
    Fleet.propose("-k1");
  Time From = Fleet.Now_;
  Time Last = From;
  while (Fleet.Now_ - From < ObservationPeriod) {
    Fleet.run(ControlFleet::Step);
    if (anyAccepts(Fleet))
      Last = Fleet.Now_;
  }
  return Last == Fleet.Now_ ? -1 : (Last - From).count();
}

int measure(int Vms, int Zones, int Upstreams, int Seconds) {
  ControlFleet Fleet(Zones, Vms / Zones);
  TrafficMeter M;
  M.attach(Fleet, Duration::millis(40));
  runAnnouncing(Fleet, Upstreams, 8);
  Fleet.propose("first");
  runAnnouncing(Fleet, Upstreams, 8);
  std::printf("VMs %zu, zones %d, upstreams %d, %d s of virtual time\n",
              Fleet.Vms_.size(), Zones, Upstreams, Seconds);
  printCost(Fleet, M, Upstreams, Seconds);
  printChange(Fleet);
  return 0;
}

int measureWithdrawal(int Vms, int Zones) {
  const char *Faults[] = {"no fault", "one VM cut off", "no quorum"};
  const char *Mechanisms[] = {"log and lease", "gossip", "both"};
  for (Fault Injected : {Fault::None, Fault::VmCutOff, Fault::NoQuorum})
    for (int Mechanism = 0; Mechanism < 3; ++Mechanism) {
      FeedOptions Options;
      if (Mechanism == 1)
        Options.KeyLease_ = Duration::seconds(86400); // effectively no expiry
      ControlFleet Fleet(Zones, Vms / Zones, Options);
      TrafficMeter M;
      M.attach(Fleet, Duration::millis(40));
      Fleet.run(Duration::seconds(8));
      Fleet.propose("first");
      Fleet.run(Duration::seconds(8));
      injectFault(Fleet, Injected);
      bool Logged = Mechanism != 1;
      std::printf("VMs %d, %s, %s: last accepted after ms %lld\n", Vms,
                  Faults[static_cast<int>(Injected)], Mechanisms[Mechanism],
                  timeToLastAcceptance(Fleet, Logged, Mechanism != 0));
    }
  return 0;
}

/// Prints the cost of a message with a body of 50 bytes on a real connection.
int measureWire() {
  constexpr int Count = 2000;
  constexpr int BodyBytes = 50;
  SystemClock Now;
  VmId A("vm-a-001"), B("vm-b-001");
  auto Ignore = [](Envelope) {};
  PeerTransport One({A, {"127.0.0.1", 0}, "wire", {}}, Ignore, Now);
  PeerTransport Two({B, {"127.0.0.1", 0}, "wire", {}}, Ignore, Now);
  One.start();
  Two.start();
  One.setPeers({{B, {"127.0.0.1", Two.port()}}});
  double Cpu = cpuSeconds();
  for (int Number = 0; Number < Count; ++Number) {
    One.send({A, B, Channel::Membership, std::string(BodyBytes, 'x')});
    while (Two.counters().MessagesReceived_ <
           static_cast<std::uint64_t>(Number + 1))
      std::this_thread::yield();
  }
  std::printf(
      "sender writes %.1f, receiver writes %.1f bytes per message in "
      "addition to a body of %d\n",
      static_cast<double>(One.counters().BytesSent_) / Count - BodyBytes,
      static_cast<double>(Two.counters().BytesSent_) / Count, BodyBytes);
  std::printf("processor time of both ends, us a message, at most: %.0f\n",
              1e6 * (cpuSeconds() - Cpu) / Count);
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count == 2 && std::string(Arguments[1]) == "wire")
    return measureWire();
  if (Count == 4 && std::string(Arguments[1]) == "stop")
    return measureWithdrawal(std::atoi(Arguments[2]), std::atoi(Arguments[3]));
  if (Count != 5) {
    std::fprintf(stderr,
                 "usage: bench_control_plane VMS ZONES UPSTREAMS SECONDS\n"
                 "       bench_control_plane stop VMS ZONES\n"
                 "       bench_control_plane wire\n");
    return 2;
  }
  return measure(std::atoi(Arguments[1]), std::atoi(Arguments[2]),
                 std::atoi(Arguments[3]), std::atoi(Arguments[4]));
}
