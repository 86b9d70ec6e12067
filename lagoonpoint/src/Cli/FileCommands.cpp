#include "lagoonpoint/Catalog"
#include "lagoonpoint/Config"
#include "lagoonpoint/src/Cli/Command.h"
#include "lagoonpoint/src/Cli/OperatorClient.h"
#include "lagoonpoint/src/Cli/util/TextDiff.h"
#include "lagoonpoint/src/Cli/util/TextFile.h"

#include <Poco/JSON/Array.h>

#include <ostream>

namespace lagoonpoint {

namespace {

/// \returns whether a file holds settings: only they have a `[listen]` section.
bool isSettings(const std::string &Text) {
  return Text.starts_with("[listen]") ||
         Text.find("\n[listen]") != std::string::npos;
}

Diagnostics diagnose(const std::string &Text, const std::string &File) {
  Diagnostics Errors;
  if (isSettings(Text))
    parseSettings(Text, File, Errors);
  else
    parseDeclarations(Text, File, Errors);
  return Errors;
}

void printJson(CommandContext &Context, const Diagnostics &Errors) {
  Poco::JSON::Array Rows;
  for (const Diagnostic &D : Errors) {
    Poco::JSON::Object Row;
    Row.set("file", D.File_);
    Row.set("line", D.Line_);
    Row.set("section", D.Section_);
    Row.set("key", D.Key_);
    Row.set("message", D.Message_);
    Rows.add(Row);
  }
  Poco::JSON::Object Body;
  Body.set("errors", Rows);
  Body.stringify(Context.Out_);
  Context.Out_ << "\n";
}

ExitCode reportDiagnostics(CommandContext &Context, const Diagnostics &Errors,
                           const std::string &File) {
  if (Context.Options_.count("json"))
    printJson(Context, Errors);
  else if (Errors.empty())
    Context.Out_ << File << ": no errors\n";
  else
    for (const Diagnostic &D : Errors)
      Context.Out_ << toString(D) << "\n";
  return Errors.empty() ? ExitCode::Ok : ExitCode::Invalid;
}

void printList(std::ostream &Out, const char *Title,
               const Poco::JSON::Object::Ptr &Body, const char *Field) {
  Poco::JSON::Array::Ptr Rows = Body->getArray(Field);
  if (!Rows || Rows->size() == 0)
    return;
  Out << Title;
  for (std::size_t I = 0; I < Rows->size(); ++I)
    Out << " " << Rows->getElement<std::string>(I);
  Out << "\n";
}

ExitCode reportApplied(CommandContext &Context,
                       const OperatorResponse &Response) {
  if (Context.Options_.count("json")) {
    Response.Body_->stringify(Context.Out_);
    Context.Out_ << "\n";
  } else {
    Context.Out_ << "accepted as revision "
                 << fieldText(Response.Body_, "revision") << "\n";
    printList(Context.Out_, "in force in zones:", Response.Body_, "zones");
    printList(Context.Out_, "not yet confirmed by VMs:", Response.Body_,
              "unconfirmed");
  }
  Poco::JSON::Array::Ptr Unconfirmed = Response.Body_->getArray("unconfirmed");
  return Unconfirmed && Unconfirmed->size() > 0 ? ExitCode::Unconfirmed
                                                : ExitCode::Ok;
}

} // namespace

ExitCode checkFile(CommandContext &Context) {
  std::string File = Context.Options_["file"].as<std::string>();
  return reportDiagnostics(Context, diagnose(readTextFile(File), File), File);
}

ExitCode applyFile(CommandContext &Context) {
  std::string File = Context.Options_["file"].as<std::string>();
  std::string Text = readTextFile(File);
  Diagnostics Errors;
  parseDeclarations(Text, File, Errors);
  if (!Errors.empty())
    return reportDiagnostics(Context, Errors, File);
  std::string Id = changeIdOf(Context);
  Poco::JSON::Object Body;
  Body.set("change_id", Id);
  Body.set("base", Context.Options_["base"].as<std::uint64_t>());
  Body.set("text", Text);
  Body.set("wait_ms", static_cast<std::int64_t>(
                          Context.Options_["wait"].as<double>() * 1000));
  OperatorClient Client(Context);
  try {
    OperatorResponse Response = Client.post("/v1/apply", Body);
    return Response.ok() ? reportApplied(Context, Response)
                         : reportFailure(Context, Response);
  } catch (const UnreachableError &) {
    Context.Err_ << "no response; repeat the command with --change-id " << Id
                 << " to learn the outcome without applying the change twice\n";
    throw;
  }
}

ExitCode diffFile(CommandContext &Context) {
  std::string File = Context.Options_["file"].as<std::string>();
  std::string Text = readTextFile(File);
  OperatorResponse Response = OperatorClient(Context).get("/v1/declarations");
  if (!Response.ok())
    return reportFailure(Context, Response);
  Context.Out_ << "# in force: revision "
               << fieldText(Response.Body_, "revision") << "\n"
               << diffLines(fieldText(Response.Body_, "text"), Text);
  return ExitCode::Ok;
}

ExitCode showDeclarations(CommandContext &Context) {
  OperatorResponse Response = OperatorClient(Context).get("/v1/declarations");
  if (!Response.ok())
    return reportFailure(Context, Response);
  if (Context.Options_.count("json"))
    Response.Body_->stringify(Context.Out_);
  else
    Context.Out_ << "# revision " << fieldText(Response.Body_, "revision")
                 << "\n"
                 << fieldText(Response.Body_, "text");
  Context.Out_ << "\n";
  return ExitCode::Ok;
}

} // namespace lagoonpoint
