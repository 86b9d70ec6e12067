// A stand-in upstream: announces itself to a VM, answers every request after
// a service time, and leaves on SIGTERM.

#include "lagoonpoint/Core"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <boost/program_options.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>

namespace po = boost::program_options;
namespace net = Poco::Net;

namespace {

struct Options {
  std::string Service_;
  std::string Id_;
  std::string Key_;
  std::string Announce_;
  unsigned short Port_ = 0;
  unsigned Slots_ = 3;
  unsigned Connections_ = 400;
  int ServiceMillis_ = 1;
};

std::atomic<unsigned> InFlight{0};
std::atomic<unsigned> Served{0};

class Handler final : public net::HTTPRequestHandler {
public:
  explicit Handler(const Options &O) : Options_(O) {}

  void handleRequest(net::HTTPServerRequest &Request,
                     net::HTTPServerResponse &Response) override {
    ++InFlight;
    Poco::NullOutputStream Nothing;
    Poco::StreamCopier::copyStream(Request.stream(), Nothing);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Options_.ServiceMillis_));
    std::string Body = Options_.Id_ + " ran " + Request.getMethod() + " " +
                       Request.getURI() + " as number " +
                       std::to_string(++Served) + "\n";
    Response.setContentLength(static_cast<std::streamsize>(Body.size()));
    Response.send() << Body;
    --InFlight;
  }

private:
  const Options &Options_;
};

class HandlerFactory final : public net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(const Options &O) : Options_(O) {}
  net::HTTPRequestHandler *
  createRequestHandler(const net::HTTPServerRequest &) override {
    return new Handler(Options_);
  }

private:
  const Options &Options_;
};

void announce(const Options &O, bool Leaving) {
  Poco::JSON::Object Body;
  Body.set("service", O.Service_);
  Body.set("upstream", O.Id_);
  Body.set("host", "127.0.0.1");
  Body.set("port", O.Port_);
  Body.set("slots", O.Slots_);
  Body.set("connections", O.Connections_);
  Body.set("load", std::min(1.0, double(InFlight) / O.Slots_));
  Body.set("leaving", Leaving);
  std::ostringstream Text;
  Body.stringify(Text);
  try {
    net::HTTPClientSession Session{net::SocketAddress(O.Announce_)};
    net::HTTPRequest Request("POST", "/v1/announce", "HTTP/1.1");
    Request.set("Authorization", "Bearer " + O.Key_);
    Request.setContentType("application/json");
    Request.setContentLength(static_cast<std::streamsize>(Text.str().size()));
    Session.sendRequest(Request) << Text.str();
    net::HTTPResponse Response;
    std::string Answer;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Answer);
    if (Response.getStatus() != net::HTTPResponse::HTTP_OK)
      std::cout << "announcement refused: " << Answer << std::endl;
  } catch (const Poco::Exception &E) {
    std::cout << "announcement failed: " << E.displayText() << std::endl;
  }
}

Options parse(int Count, char **Words) {
  Options O;
  po::options_description All("options");
  auto Add = All.add_options();
  Add("service", po::value(&O.Service_)->required(), "service it runs");
  Add("id", po::value(&O.Id_)->required(), "its id");
  Add("announce", po::value(&O.Announce_)->required(),
      "upstreams' listener of a VM of its zone, HOST:PORT");
  Add("key", po::value(&O.Key_)->required(), "the service's key");
  Add("port", po::value(&O.Port_)->required(), "port it listens on");
  Add("slots", po::value(&O.Slots_), "requests it runs at once");
  Add("connections", po::value(&O.Connections_), "connections it accepts");
  Add("service-ms", po::value(&O.ServiceMillis_), "time a request takes");
  po::variables_map Given;
  po::store(po::parse_command_line(Count, Words, All), Given);
  po::notify(Given);
  return O;
}

void serve(const Options &O) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  net::HTTPServerParams::Ptr Params = new net::HTTPServerParams;
  Params->setMaxThreads(static_cast<int>(O.Connections_));
  net::HTTPServer Server(
      new HandlerFactory(O),
      net::ServerSocket(net::SocketAddress("127.0.0.1", O.Port_)), Params);
  Server.start();
  timespec Second{1, 0};
  do
    announce(O, false);
  while (sigtimedwait(&Signals, nullptr, &Second) < 0);
  announce(O, true);
  Server.stopAll(false);
}

} // namespace

int main(int Count, char **Words) {
  try {
    serve(parse(Count, Words));
    return 0;
  } catch (const std::exception &E) {
    std::cerr << "bench_upstream: " << E.what() << "\n";
    return 1;
  }
}
