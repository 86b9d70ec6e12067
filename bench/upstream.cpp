/// \file
/// Test upstream: responds after a service time, announces itself to a VM, and
/// can shed requests, truncate responses or hang. On SIGTERM it announces its
/// departure and exits.

#include "lagoonpoint/Core"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <boost/program_options.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace po = boost::program_options;
using namespace lagoonpoint;

namespace {

struct Options {
  std::string Host_;
  unsigned short Port_ = 0;
  std::string Service_;
  std::string Id_;
  std::string Key_;
  std::vector<std::string> Vms_; ///< upstreams' listeners, HOST:PORT
  unsigned Slots_ = 0;
  unsigned Connections_ = 0;
  double ServiceMillis_ = 0;
  double ShedFraction_ = 0;
  double TruncateFraction_ = 0;
  double HangFraction_ = 0;
  std::size_t BodyBytes_ = 0;
  double LeaveSeconds_ = 0;
  bool AlwaysShedOverSlots_ = false;
};

std::atomic<int> Running{0};
std::atomic<long> RunCount{0};
std::atomic<long> ShedCount{0};
/// Requests that contained a caller's key.
std::atomic<long> RequestsWithKey{0};

double randomFraction() {
  thread_local Random Generator{std::random_device()()};
  return std::uniform_real_distribution<>()(Generator);
}

void sleepMillis(double Millis) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(Millis));
}

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(const Options &O) : Options_(O) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    int Now = ++Running;
    bool OverSlots = Options_.AlwaysShedOverSlots_ &&
                     Now > static_cast<int>(Options_.Slots_);
    Poco::NullOutputStream Sink;
    Poco::StreamCopier::copyStream(Request.stream(), Sink);
    if (Request.has("Authorization") || Request.has("X-Api-Key"))
      ++RequestsWithKey;
    if (OverSlots || randomFraction() < Options_.ShedFraction_)
      shed(Response);
    else
      respond(Request, Response);
    --Running;
  }

private:
  void shed(Poco::Net::HTTPServerResponse &Response) {
    ++ShedCount;
    Response.setStatusAndReason(
        Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    Response.set("X-Not-Run", "1");
    Response.sendBuffer("busy", 4);
  }

  std::string describe(const Poco::Net::HTTPServerRequest &Request) const {
    return Options_.Id_ + " ran " + Request.getMethod() + " " +
           Request.getURI() + " as number " + std::to_string(++RunCount) + "\n";
  }

  void respond(const Poco::Net::HTTPServerRequest &Request,
               Poco::Net::HTTPServerResponse &Response) {
    if (Options_.ServiceMillis_ > 0)
      sleepMillis(Options_.ServiceMillis_);
    if (randomFraction() < Options_.HangFraction_)
      sleepMillis(60'000);
    std::string Body = describe(Request);
    Body.resize(std::max(Body.size(), Options_.BodyBytes_), 'x');
    if (randomFraction() >= Options_.TruncateFraction_) {
      Response.sendBuffer(Body.data(), Body.size());
      return;
    }
    Response.setContentLength(static_cast<std::streamsize>(Body.size()) + 10);
    Response.setKeepAlive(false);
    Response.send() << Body;
  }

  const Options &Options_;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(const Options &O) : Options_(O) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler(Options_);
  }

private:
  const Options &Options_;
};

std::string announcement(const Options &O, unsigned short Port, bool Leaving) {
  double Load = std::min(1.0, double(Running) / O.Slots_);
  return "{\"service\":\"" + O.Service_ + "\",\"upstream\":\"" + O.Id_ +
         "\",\"host\":\"" + O.Host_ + "\",\"port\":" + std::to_string(Port) +
         ",\"slots\":" + std::to_string(O.Slots_) +
         ",\"connections\":" + std::to_string(O.Connections_) +
         ",\"load\":" + std::to_string(Load) +
         ",\"leaving\":" + (Leaving ? "true" : "false") + "}";
}

/// Announces to the first VM that accepts it.
void announce(const Options &O, unsigned short Port, bool Leaving) {
  constexpr long TimeoutSeconds = 1;
  std::string Body = announcement(O, Port, Leaving);
  for (const std::string &Vm : O.Vms_) {
    try {
      Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Vm)};
      Session.setTimeout(Poco::Timespan(TimeoutSeconds, 0));
      Poco::Net::HTTPRequest Request("POST", "/v1/announce", "HTTP/1.1");
      Request.set("X-Api-Key", O.Key_);
      Request.setContentLength(static_cast<std::streamsize>(Body.size()));
      Session.sendRequest(Request) << Body;
      Poco::Net::HTTPResponse Response;
      std::istream &Reply = Session.receiveResponse(Response);
      if (Response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK)
        return;
      std::cerr << Vm << ": ";
      Poco::StreamCopier::copyStream(Reply, std::cerr);
    } catch (const Poco::Exception &E) {
      std::cerr << Vm << ": " << E.displayText() << "\n";
    }
  }
}

po::options_description describe(Options &O) {
  po::options_description All("bench_upstream");
  auto Add = All.add_options();
  Add("help", "show this help");
  Add("host", po::value(&O.Host_)->default_value("127.0.0.1"), "IP address");
  Add("port", po::value(&O.Port_)->default_value(0),
      "port, 0 for any free one");
  Add("service", po::value(&O.Service_)->default_value("tags"), "service id");
  Add("id", po::value(&O.Id_)->default_value("u1"), "upstream id");
  Add("key", po::value(&O.Key_)->default_value(""), "service key");
  Add("announce", po::value(&O.Vms_),
      "upstreams' listener of a VM of its zone, HOST:PORT; may be repeated");
  Add("slots", po::value(&O.Slots_)->default_value(3), "concurrent requests");
  Add("connections", po::value(&O.Connections_)->default_value(400),
      "connections, with one thread each");
  Add("service-ms", po::value(&O.ServiceMillis_)->default_value(1),
      "service time");
  Add("body", po::value(&O.BodyBytes_)->default_value(0),
      "minimum bytes of a response");
  Add("shed", po::value(&O.ShedFraction_)->default_value(0),
      "fraction of requests to shed");
  Add("shed-over-slots", po::bool_switch(&O.AlwaysShedOverSlots_),
      "shed requests beyond the slots");
  Add("cut", po::value(&O.TruncateFraction_)->default_value(0),
      "fraction of responses to truncate");
  Add("hang", po::value(&O.HangFraction_)->default_value(0),
      "fraction of requests that hang");
  Add("leave-after", po::value(&O.LeaveSeconds_)->default_value(2),
      "seconds from SIGTERM to exit");
  return All;
}

/// Announces every second until SIGTERM or SIGINT.
void announceUntilSignal(const Options &O, unsigned short Port,
                         const sigset_t &Signals) {
  const timespec Second{1, 0};
  do
    announce(O, Port, false);
  while (sigtimedwait(&Signals, nullptr, &Second) < 0);
}

} // namespace

int main(int Count, char **Arguments) {
  Options O;
  po::options_description All = describe(O);
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

  Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress(O.Host_, O.Port_),
                                 1024);
  auto *Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(static_cast<int>(O.Connections_));
  Params->setMaxQueued(static_cast<int>(O.Connections_));
  Params->setMaxKeepAliveRequests(0);
  Poco::ThreadPool Pool(8, static_cast<int>(O.Connections_));
  Poco::Net::HTTPServer Server(new Factory(O), Pool, Socket, Params);
  Server.start();
  unsigned short Port = Socket.address().port();
  std::cout << "listening on " << O.Host_ << ":" << Port << std::endl;
  announceUntilSignal(O, Port, Signals);
  announce(O, Port, true);
  sleepMillis(O.LeaveSeconds_ * 1000);
  Server.stopAll(false);
  std::cout << "ran " << RunCount << ", shed " << ShedCount << ", with a key "
            << RequestsWithKey << std::endl;
  return 0;
}
