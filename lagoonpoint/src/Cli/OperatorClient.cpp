#include "lagoonpoint/src/Cli/OperatorClient.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/UUIDGenerator.h>

#include <cstdlib>
#include <ostream>
#include <sstream>

namespace po = boost::program_options;

namespace lagoonpoint {

namespace {

constexpr int TimeoutSeconds = 30;
constexpr const char *AddressVariable = "LAGOONPOINT_OPERATORS";
constexpr const char *KeyVariable = "LAGOONPOINT_OPERATOR_KEY";

std::string optionOrEnvironment(const CommandContext &Context,
                                const char *Option, const char *Variable) {
  if (Context.Options_.count(Option))
    return Context.Options_[Option].as<std::string>();
  const char *Value = std::getenv(Variable);
  if (Value)
    return Value;
  throw Error("cli.options", "",
              std::string("give --") + Option + " or set " + Variable);
}

Poco::JSON::Object::Ptr parseJson(const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    return Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

} // namespace

void addOperatorOptions(po::options_description &Options) {
  Options.add_options()("operators,o", po::value<std::string>(),
                        "operators' address of any VM, HOST:PORT "
                        "(default: $LAGOONPOINT_OPERATORS)");
  Options.add_options()("operator-key", po::value<std::string>(),
                        "operators' key (default: $LAGOONPOINT_OPERATOR_KEY)");
  Options.add_options()("json", "print JSON");
}

Address parseAddress(const std::string &Text, const std::string &Step) {
  try {
    Poco::Net::SocketAddress Parsed(Text);
    return {Parsed.host().toString(), Parsed.port()};
  } catch (const Poco::Exception &) {
    throw Error(Step, Text, "not an address of the form HOST:PORT");
  }
}

OperatorClient::OperatorClient(const CommandContext &Context)
    : Address_(parseAddress(
          optionOrEnvironment(Context, "operators", AddressVariable),
          "cli.options")),
      Key_(optionOrEnvironment(Context, "operator-key", KeyVariable)) {}

OperatorResponse OperatorClient::get(const std::string &Path) const {
  return sendRequest(Poco::Net::HTTPRequest::HTTP_GET, Path, "");
}

OperatorResponse OperatorClient::post(const std::string &Path,
                                      const Poco::JSON::Object &Body) const {
  std::ostringstream Text;
  Body.stringify(Text);
  return sendRequest(Poco::Net::HTTPRequest::HTTP_POST, Path, Text.str());
}

OperatorResponse OperatorClient::sendRequest(const std::string &Method,
                                             const std::string &Path,
                                             const std::string &Body) const {
  try {
    Poco::Net::HTTPClientSession Session(Address_.Host_, Address_.Port_);
    Session.setTimeout(Poco::Timespan(TimeoutSeconds, 0));
    Poco::Net::HTTPRequest Request(Method, Path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    Request.set("Authorization", "Bearer " + Key_);
    Request.setContentType("application/json");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::string Text;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Text);
    return {static_cast<int>(Response.getStatus()), parseJson(Text)};
  } catch (const Poco::Exception &E) {
    throw UnreachableError("cli.request", toString(Address_), E.displayText());
  }
}

std::string changeIdOf(const CommandContext &Context) {
  if (Context.Options_.count("change-id"))
    return Context.Options_["change-id"].as<std::string>();
  return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

std::string fieldText(const Poco::JSON::Object::Ptr &Object,
                      const std::string &Field) {
  if (!Object || !Object->has(Field) || Object->isNull(Field))
    return "";
  return Object->getValue<std::string>(Field);
}

ExitCode reportFailure(CommandContext &Context,
                       const OperatorResponse &Response) {
  std::string Message = fieldText(Response.Body_, "message");
  Context.Err_ << "refused with status " << Response.Status_ << ": "
               << (Message.empty() ? "the response has no message" : Message)
               << "\n";
  if (Response.Status_ == Poco::Net::HTTPResponse::HTTP_CONFLICT)
    return ExitCode::Conflict;
  if (Response.Status_ == Poco::Net::HTTPResponse::HTTP_UNPROCESSABLE_ENTITY)
    return ExitCode::Invalid;
  return ExitCode::Refused;
}

} // namespace lagoonpoint
