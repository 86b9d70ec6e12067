#include "lagoonpoint/src/Cli/Command.h"
#include "lagoonpoint/src/Cli/OperatorClient.h"

#include <ostream>

namespace lagoonpoint {

namespace {

ExitCode reportResult(CommandContext &Context, const OperatorResponse &Response,
                      const std::string &Summary) {
  if (!Response.ok())
    return reportFailure(Context, Response);
  if (Context.Options_.count("json")) {
    Response.Body_->stringify(Context.Out_);
    Context.Out_ << "\n";
    return ExitCode::Ok;
  }
  Context.Out_ << Summary;
  std::string Revision = fieldText(Response.Body_, "revision");
  if (!Revision.empty())
    Context.Out_ << " (revision " << Revision << ")";
  std::string Message = fieldText(Response.Body_, "message");
  if (!Message.empty())
    Context.Out_ << ": " << Message;
  Context.Out_ << "\n";
  return ExitCode::Ok;
}

ExitCode usageError(CommandContext &Context, const std::string &Message) {
  Context.Err_ << Message << "\n";
  return ExitCode::Usage;
}

ExitCode setDrain(CommandContext &Context, bool Drained) {
  std::string Scope = Context.Options_["scope"].as<std::string>();
  std::string Id = Context.Options_["id"].as<std::string>();
  if (Scope != "region" && Scope != "zone" && Scope != "vm")
    return usageError(Context, "the scope must be region, zone or vm");
  Poco::JSON::Object Body;
  Body.set("change_id", changeIdOf(Context));
  Body.set("scope", Scope);
  Body.set("id", Id);
  Body.set("drained", Drained);
  OperatorResponse Response = OperatorClient(Context).post("/v1/drains", Body);
  return reportResult(Context, Response,
                      Scope + " " + Id + (Drained ? " drained" : " undrained"));
}

} // namespace

ExitCode changeKey(CommandContext &Context) {
  std::string Action = Context.Options_["action"].as<std::string>();
  std::string Id = Context.Options_["id"].as<std::string>();
  Poco::JSON::Object Body;
  Body.set("change_id", changeIdOf(Context));
  Body.set("action", Action);
  Body.set("id", Id);
  if (Action == "grant") {
    if (!Context.Options_.count("team"))
      return usageError(Context, "key grant requires --team");
    Body.set("team", Context.Options_["team"].as<std::string>());
  } else if (Action != "withdraw") {
    return usageError(Context, "the action must be grant or withdraw");
  }
  OperatorResponse Response = OperatorClient(Context).post("/v1/keys", Body);
  ExitCode Code = reportResult(
      Context, Response,
      "key " + Id + (Action == "grant" ? " granted" : " withdrawn"));
  std::string Key = fieldText(Response.Body_, "key");
  if (Code == ExitCode::Ok && !Key.empty() && !Context.Options_.count("json"))
    Context.Out_ << "the key, shown only once: " << Key << "\n";
  return Code;
}

ExitCode drain(CommandContext &Context) { return setDrain(Context, true); }

ExitCode undrain(CommandContext &Context) { return setDrain(Context, false); }

ExitCode changeVoter(CommandContext &Context) {
  std::string Action = Context.Options_["action"].as<std::string>();
  std::string Vm = Context.Options_["vm"].as<std::string>();
  if (Action != "add" && Action != "remove" && Action != "replace")
    return usageError(Context, "the action must be add, remove or replace");
  Poco::JSON::Object Body;
  Body.set("action", Action);
  Body.set("vm", Vm);
  if (Action == "replace") {
    if (!Context.Options_.count("with"))
      return usageError(Context, "voter replace requires --with");
    Body.set("with", Context.Options_["with"].as<std::string>());
  }
  OperatorResponse Response = OperatorClient(Context).post("/v1/voters", Body);
  return reportResult(Context, Response, "voter " + Action + " " + Vm);
}

} // namespace lagoonpoint
