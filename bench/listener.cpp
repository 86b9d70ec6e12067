/// \file
/// Runs the callers' listener with an entry VM that admits every call and has
/// one upstream. bench_load then measures the cost of the listener itself.

#include "lagoonpoint/Http"

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <memory>
#include <string>

namespace po = boost::program_options;
using namespace lagoonpoint;

namespace {

/// Admits every call and sends it to one upstream.
class AdmitAllPort final : public CallerPort {
public:
  explicit AdmitAllPort(const Address &Upstream) : Upstream_(Upstream) {}

  LookupReply lookup(const LookupQuery &) override {
    LookupReply Reply{{}, Duration::seconds(5), Revision(1), "a-1-1-"};
    for (const char *Vm : {"e1", "e2", "e3", "e4"})
      Reply.Targets_.push_back(
          {VmId(Vm), ZoneId("a"), {"10.0.0.1", 8080}, 0.25});
    return Reply;
  }
  RouteDecl route(const std::string &) override { return Route_; }
  std::unique_ptr<CallHandle> admit(const Call &C) override {
    return std::make_unique<UnlimitedCall>(*this, C);
  }
  bool draining() const override { return false; }

private:
  class UnlimitedCall final : public CallHandle {
  public:
    UnlimitedCall(const AdmitAllPort &Port, const Call &C)
        : Port_(Port), Deadline_(C.ArrivedAt_ + Duration::seconds(5)) {}
    const RouteDecl &route() const override { return Port_.Route_; }
    const TeamId &team() const override { return Team_; }
    Time deadline() const override { return Deadline_; }
    std::optional<StoredResponse> storedResponse() override { return {}; }
    CallTarget nextTarget() override {
      return {UpstreamId("u1"), VmId(), Port_.Upstream_};
    }
    bool recordTry(const TryReport &) override { return false; }
    void storeResponse(const StoredResponse &) override {}

  private:
    const AdmitAllPort &Port_;
    Time Deadline_;
    TeamId Team_{"team"};
  };

  Address Upstream_;
  RouteDecl Route_;
};

} // namespace

int main(int Count, char **Arguments) {
  Settings S;
  Address Upstream;
  po::options_description All("bench_listener");
  auto Add = All.add_options();
  Add("help", "show this help");
  Add("port", po::value(&S.Callers_.Port_)->default_value(0),
      "port, 0 for any free one");
  Add("upstream-port", po::value(&Upstream.Port_)->default_value(1),
      "port of the upstream on this machine");
  Add("threads", po::value(&S.CallerThreads_)->default_value(64), "threads");
  po::variables_map Given;
  po::store(po::parse_command_line(Count, Arguments, All), Given);
  po::notify(Given);
  if (Given.count("help")) {
    std::cout << All;
    return 0;
  }
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  S.Vm_ = VmId("e1");
  S.Callers_.Host_ = Upstream.Host_ = "127.0.0.1";
  SystemClock Clock;
  AdmitAllPort Port(Upstream);
  CallerServer Server(Port, S, Clock);
  Server.start();
  std::cout << "listening on 127.0.0.1:" << Server.port() << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Server.stop();
  return 0;
}
