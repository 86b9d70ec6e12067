#include "lagoonpoint/src/Cli/Command.h"
#include "lagoonpoint/src/Cli/OperatorClient.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <ostream>

namespace lagoonpoint {

namespace {

struct Column {
  const char *Title_;
  const char *Field_;
};

std::string cell(const Poco::JSON::Object::Ptr &Row, const Column &C) {
  std::string Text = fieldText(Row, C.Field_);
  return Text.empty() ? "-" : Text;
}

/// Prints an array of objects as aligned columns.
void printTable(std::ostream &Out, const Poco::JSON::Array::Ptr &Rows,
                const std::vector<Column> &Columns) {
  std::vector<std::size_t> Widths;
  for (const Column &C : Columns) {
    std::size_t Width = std::string(C.Title_).size();
    for (std::size_t I = 0; Rows && I < Rows->size(); ++I)
      Width = std::max(Width, cell(Rows->getObject(I), C).size());
    Widths.push_back(Width + 2);
  }
  auto Pad = [&](const std::string &Text, std::size_t Index) {
    Out << Text << std::string(Widths[Index] - Text.size(), ' ');
  };
  for (std::size_t P = 0; P < Columns.size(); ++P)
    Pad(Columns[P].Title_, P);
  Out << "\n";
  for (std::size_t I = 0; Rows && I < Rows->size(); ++I) {
    for (std::size_t P = 0; P < Columns.size(); ++P)
      Pad(cell(Rows->getObject(I), Columns[P]), P);
    Out << "\n";
  }
}

void printStatus(std::ostream &Out, const Poco::JSON::Object::Ptr &Body) {
  std::string WhyNot = fieldText(Body, "why_not");
  Out << "VM " << fieldText(Body, "vm") << " in zone "
      << fieldText(Body, "zone") << ", " << fieldText(Body, "contact") << ", "
      << (WhyNot.empty() ? "ready " + fieldText(Body, "readiness")
                         : "not ready: " + WhyNot)
      << "\n"
      << "revision " << fieldText(Body, "revision") << ", leader "
      << fieldText(Body, "leader") << " in term " << fieldText(Body, "term")
      << ", loss of one more voter: " << fieldText(Body, "repair") << "\n\n";
  printTable(Out, Body->getArray("vms"),
             {{"VM", "vm"},
              {"ZONE", "zone"},
              {"STATE", "state"},
              {"REVISION", "revision"},
              {"LAG", "lag"},
              {"WHY", "why"}});
  Out << "\n";
  printTable(Out, Body->getArray("voters"),
             {{"VOTER", "vm"}, {"ROLE", "role"}, {"DURABLE", "durable"}});
  Out << "\n";
  printTable(Out, Body->getArray("upstreams"),
             {{"SERVICE", "service"},
              {"UPSTREAM", "upstream"},
              {"ZONE", "zone"},
              {"STATE", "state"},
              {"SLOTS", "slots"},
              {"LOAD", "load"}});
}

} // namespace

ExitCode showStatus(CommandContext &Context) {
  OperatorResponse Response = OperatorClient(Context).get("/v1/status");
  if (!Response.ok() || !Response.Body_)
    return reportFailure(Context, Response);
  if (Context.Options_.count("json")) {
    Response.Body_->stringify(Context.Out_, 2);
    Context.Out_ << "\n";
  } else {
    printStatus(Context.Out_, Response.Body_);
  }
  return ExitCode::Ok;
}

ExitCode lookup(CommandContext &Context) {
  Address Vm =
      parseAddress(Context.Options_["vm"].as<std::string>(), "cli.options");
  Poco::URI Uri("/v1/lookup");
  Uri.addQueryParameter("service",
                        Context.Options_["service"].as<std::string>());
  if (Context.Options_.count("client"))
    Uri.addQueryParameter("client",
                          Context.Options_["client"].as<std::string>());
  try {
    Poco::Net::HTTPClientSession Session(Vm.Host_, Vm.Port_);
    Poco::Net::HTTPRequest Request("GET", Uri.getPathAndQuery(), "HTTP/1.1");
    Session.sendRequest(Request);
    Poco::Net::HTTPResponse Response;
    std::string Text;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Text);
    auto Body =
        Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
    if (Response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
      return reportFailure(Context,
                           {static_cast<int>(Response.getStatus()), Body});
    if (Context.Options_.count("json")) {
      Context.Out_ << Text << "\n";
      return ExitCode::Ok;
    }
    Context.Out_ << "revision " << fieldText(Body, "revision") << ", valid for "
                 << fieldText(Body, "ttl_ms") << " ms\n";
    printTable(Context.Out_, Body->getArray("vms"),
               {{"VM", "vm"},
                {"ZONE", "zone"},
                {"ADDRESS", "address"},
                {"WEIGHT", "weight"}});
    return ExitCode::Ok;
  } catch (const Poco::Exception &E) {
    throw UnreachableError("cli.lookup", toString(Vm), E.displayText());
  }
}

ExitCode printVersion(CommandContext &Context) {
  if (Context.Options_.count("json"))
    Context.Out_ << "{\"version\":\"" LAGOONPOINT_VERSION "\"}\n";
  else
    Context.Out_ << "lagoonpoint " LAGOONPOINT_VERSION "\n";
  return ExitCode::Ok;
}

} // namespace lagoonpoint
