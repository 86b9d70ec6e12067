/// \file
/// Open-loop load generator: sends requests at fixed times, independently of
/// the responses; with --rate 0, each connection sends its next request after
/// the previous response. The rounds of a run alternate between an upstream,
/// directly, and a VM. Latency is measured from the time at which a request was
/// due.

#include "lagoonpoint/Core"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <boost/histogram.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace bh = boost::histogram;
namespace po = boost::program_options;
using SteadyClock = std::chrono::steady_clock;

namespace {

struct Options {
  std::string Vm_;
  std::string Direct_;
  std::string Path_;
  std::string Method_;
  std::string Key_;
  std::size_t BodyBytes_ = 0;
  double Rate_ = 0;
  double Seconds_ = 0;
  unsigned Rounds_ = 0;
  unsigned Connections_ = 0;
  long MaxRequests_ = 0;
  int Pid_ = 0;
};

constexpr double MinMicros = 1;
constexpr double MaxMicros = 1e8;
constexpr unsigned Bins = 4000; ///< each 0.5 % wide

auto makeHistogram() {
  using Log = bh::axis::regular<double, bh::axis::transform::log>;
  return bh::make_histogram(Log(Bins, MinMicros, MaxMicros));
}
using Histogram = decltype(makeHistogram());

/// Results for one target.
struct Result {
  Histogram Micros_ = makeHistogram();
  std::map<int, long> Statuses_; ///< 0: no response
  double Seconds_ = 0;
  double CpuSeconds_ = 0; ///< of the measured process

  void add(const Result &Other) {
    Micros_ += Other.Micros_;
    for (auto [Status, Count] : Other.Statuses_)
      Statuses_[Status] += Count;
  }
  long count() const {
    long Sum = 0;
    for (auto [Status, Count] : Statuses_)
      Sum += Count;
    return Sum;
  }
};

double quantileMillis(const Histogram &H, double Quantile) {
  double Total = 0;
  for (double Count : H)
    Total += Count;
  double Cumulative = 0;
  for (int Bin = 0; Bin < H.axis().size(); ++Bin) {
    Cumulative += H.at(Bin);
    if (Cumulative >= Quantile * Total)
      return H.axis().bin(Bin).upper() / 1000;
  }
  return MaxMicros / 1000;
}

/// A persistent connection to one target.
class Sender {
public:
  Sender(const Options &O, const std::string &Target)
      : Options_(O), Target_(Target) {}

  /// \returns the status, 0 if no response arrived.
  int send() {
    try {
      if (!Session_)
        connect();
      Poco::Net::HTTPRequest Request(Options_.Method_, Options_.Path_,
                                     "HTTP/1.1");
      if (!Options_.Key_.empty())
        Request.set("X-Api-Key", Options_.Key_);
      std::string Body(Options_.BodyBytes_, 'b');
      if (!Body.empty())
        Request.setContentLength(static_cast<std::streamsize>(Body.size()));
      Session_->sendRequest(Request) << Body;
      Poco::Net::HTTPResponse Response;
      Poco::NullOutputStream Sink;
      Poco::StreamCopier::copyStream(Session_->receiveResponse(Response), Sink);
      if (!Response.getKeepAlive())
        Session_.reset();
      return Response.getStatus();
    } catch (const Poco::Exception &) {
      Session_.reset();
      return 0;
    }
  }

private:
  void connect() {
    constexpr long TimeoutSeconds = 10;
    Session_ = std::make_unique<Poco::Net::HTTPClientSession>(
        Poco::Net::SocketAddress(Target_));
    Session_->setKeepAlive(true);
    Session_->setTimeout(Poco::Timespan(TimeoutSeconds, 0));
    // POCO would reconnect after this time, which would hide a lost connection.
    Session_->setKeepAliveTimeout(Poco::Timespan(3600, 0));
  }

  const Options &Options_;
  std::string Target_;
  std::unique_ptr<Poco::Net::HTTPClientSession> Session_;
};

/// User and system time of a process, in seconds.
double cpuSeconds(int Pid) {
  if (Pid == 0)
    return 0;
  std::ifstream In("/proc/" + std::to_string(Pid) + "/stat");
  std::string Text((std::istreambuf_iterator<char>(In)), {});
  std::istringstream Fields(
      Text.substr(std::min(Text.rfind(')') + 2, Text.size())));
  std::string Skipped;
  for (int Field = 0; Field < 11; ++Field)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Sends the requests that are due on one connection until the round ends.
void sendDue(const Options &O, const std::string &Target,
             std::atomic<long> &Next, long Count, SteadyClock::time_point Begin,
             Result &Out) {
  Sender S(O, Target);
  for (;;) {
    long Number = Next.fetch_add(1);
    if (Number >= Count)
      return;
    auto Due = SteadyClock::now();
    if (O.Rate_ > 0) {
      std::chrono::duration<double> Offset(double(Number) / O.Rate_);
      Due = Begin + std::chrono::duration_cast<SteadyClock::duration>(Offset);
      std::this_thread::sleep_until(Due);
    } else if (Due - Begin >= std::chrono::duration<double>(O.Seconds_)) {
      return;
    }
    ++Out.Statuses_[S.send()];
    std::chrono::duration<double, std::micro> Latency =
        SteadyClock::now() - Due;
    Out.Micros_(std::max(Latency.count(), MinMicros));
  }
}

/// Runs one round against one target.
/// \param Pid process whose CPU time is measured, or 0
void runRound(const Options &O, const std::string &Target, int Pid,
              Result &Out) {
  long Count = O.MaxRequests_;
  if (O.Rate_ > 0)
    Count = std::min(Count, static_cast<long>(O.Rate_ * O.Seconds_));
  std::atomic<long> Next{0};
  std::vector<Result> PerThread(O.Connections_);
  std::vector<std::thread> Threads;
  double Cpu = cpuSeconds(Pid);
  auto Begin = SteadyClock::now();
  for (Result &Partial : PerThread)
    Threads.emplace_back(
        [&] { sendDue(O, Target, Next, Count, Begin, Partial); });
  for (std::thread &T : Threads)
    T.join();
  Out.Seconds_ +=
      std::chrono::duration<double>(SteadyClock::now() - Begin).count();
  Out.CpuSeconds_ += cpuSeconds(Pid) - Cpu;
  for (const Result &Partial : PerThread)
    Out.add(Partial);
}

void print(const char *Name, const Result &R) {
  double PerSecond = static_cast<double>(R.count()) / R.Seconds_;
  std::printf("%-8s %9.0f/s  p50 %8.3f  p99 %8.3f  p99.9 %8.3f ms ", Name,
              PerSecond, quantileMillis(R.Micros_, 0.5),
              quantileMillis(R.Micros_, 0.99),
              quantileMillis(R.Micros_, 0.999));
  for (auto [Status, Count] : R.Statuses_)
    std::printf(" %d:%ld", Status, Count);
  if (R.CpuSeconds_ > 0)
    std::printf("  %.0f per CPU second",
                static_cast<double>(R.count()) / R.CpuSeconds_);
  std::printf("\n");
}

po::options_description describe(Options &O) {
  po::options_description All("bench_load");
  auto Add = All.add_options();
  Add("help", "show this help");
  Add("vm", po::value(&O.Vm_)->default_value(""), "HOST:PORT of a VM");
  Add("direct", po::value(&O.Direct_)->default_value(""),
      "HOST:PORT of an upstream to compare with");
  Add("path", po::value(&O.Path_)->default_value("/tags/7"), "request target");
  Add("method", po::value(&O.Method_)->default_value("GET"), "method");
  Add("key", po::value(&O.Key_)->default_value(""), "key of a team");
  Add("body", po::value(&O.BodyBytes_)->default_value(0),
      "bytes of the request body");
  Add("rate", po::value(&O.Rate_)->default_value(1000),
      "requests per second; 0 for as many as the connections allow");
  Add("seconds", po::value(&O.Seconds_)->default_value(3),
      "duration of one round");
  Add("rounds", po::value(&O.Rounds_)->default_value(3),
      "rounds, each against both targets");
  Add("connections", po::value(&O.Connections_)->default_value(32),
      "connections, with one thread each");
  Add("max-requests", po::value(&O.MaxRequests_)->default_value(1'000'000),
      "maximum requests per round");
  Add("pid", po::value(&O.Pid_)->default_value(0),
      "process whose CPU time is measured");
  return All;
}

} // namespace

int main(int Count, char **Arguments) {
  Options O;
  po::options_description All = describe(O);
  po::variables_map Given;
  po::store(po::parse_command_line(Count, Arguments, All), Given);
  po::notify(Given);
  if (Given.count("help") || (O.Vm_.empty() && O.Direct_.empty())) {
    std::cout << All;
    return Given.count("help") ? 0 : 1;
  }
  Result Direct;
  Result Vm;
  for (unsigned Round = 0; Round < O.Rounds_; ++Round) {
    if (!O.Direct_.empty())
      runRound(O, O.Direct_, 0, Direct);
    if (!O.Vm_.empty())
      runRound(O, O.Vm_, O.Pid_, Vm);
  }
  if (!O.Direct_.empty())
    print("direct", Direct);
  if (!O.Vm_.empty())
    print("vm", Vm);
  if (!O.Direct_.empty() && !O.Vm_.empty())
    std::printf("added    p50 %.3f ms  p99 %.3f ms\n",
                quantileMillis(Vm.Micros_, 0.5) -
                    quantileMillis(Direct.Micros_, 0.5),
                quantileMillis(Vm.Micros_, 0.99) -
                    quantileMillis(Direct.Micros_, 0.99));
  return 0;
}
