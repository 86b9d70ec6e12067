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

/// Only settings have a `[listen]` section.
bool isSettings(const std::string &Text) {
  return Text.starts_with("[listen]") ||
         Text.find("\n[listen]") != std::string::npos;
}

Findings findingsOf(const std::string &Text, const std::string &File) {
  Findings Errors;
  if (isSettings(Text))
    parseSettings(Text, File, Errors);
  else
    parseDeclarations(Text, File, Errors);
  return Errors;
}

void printJson(CommandContext &Context, const Findings &Errors) {
  Poco::JSON::Array Rows;
  for (const Finding &F : Errors) {
    Poco::JSON::Object Row;
    Row.set("file", F.File_);
    Row.set("line", F.Line_);
    Row.set("section", F.Section_);
    Row.set("key", F.Key_);
    Row.set("message", F.Message_);
    Rows.add(Row);
  }
  Poco::JSON::Object Body;
  Body.set("errors", Rows);
  Body.stringify(Context.Out_);
  Context.Out_ << "\n";
}

ExitCode report(CommandContext &Context, const Findings &Errors,
                const std::string &File) {
  if (Context.Options_.count("json"))
    printJson(Context, Errors);
  else if (Errors.empty())
    Context.Out_ << File << ": no errors\n";
  else
    for (const Finding &F : Errors)
      Context.Out_ << toString(F) << "\n";
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

ExitCode reportApplied(CommandContext &Context, const OperatorAnswer &Answer) {
  if (Context.Options_.count("json")) {
    Answer.Body_->stringify(Context.Out_);
    Context.Out_ << "\n";
  } else {
    Context.Out_ << "accepted as revision " << textOf(Answer.Body_, "revision")
                 << "\n";
    printList(Context.Out_, "in force in zones:", Answer.Body_, "zones");
    printList(Context.Out_, "not yet confirmed by VMs:", Answer.Body_,
              "unconfirmed");
  }
  Poco::JSON::Array::Ptr Missing = Answer.Body_->getArray("unconfirmed");
  return Missing && Missing->size() > 0 ? ExitCode::Unconfirmed : ExitCode::Ok;
}

} // namespace

ExitCode checkFile(CommandContext &Context) {
  std::string File = Context.Options_["file"].as<std::string>();
  return report(Context, findingsOf(readTextFile(File), File), File);
}

ExitCode applyFile(CommandContext &Context) {
  std::string File = Context.Options_["file"].as<std::string>();
  std::string Text = readTextFile(File);
  Findings Errors;
  parseDeclarations(Text, File, Errors);
  if (!Errors.empty())
    return report(Context, Errors, File);
  std::string Id = changeIdOf(Context);
  Poco::JSON::Object Body;
  Body.set("change_id", Id);
  Body.set("base", Context.Options_["base"].as<std::uint64_t>());
  Body.set("text", Text);
  Body.set("wait_ms", static_cast<std::int64_t>(
                          Context.Options_["wait"].as<double>() * 1000));
  OperatorClient Client(Context);
  try {
    OperatorAnswer Answer = Client.post("/v1/apply", Body);
    return Answer.ok() ? reportApplied(Context, Answer)
                       : reportFailure(Context, Answer);
  } catch (const UnreachableError &) {
    Context.Err_ << "no reply; resend with --change-id " << Id
                 << " to learn the outcome without applying twice\n";
    throw;
  }
}

ExitCode diffFile(CommandContext &Context) {
  std::string File = Context.Options_["file"].as<std::string>();
  std::string Text = readTextFile(File);
  OperatorAnswer Answer = OperatorClient(Context).get("/v1/declarations");
  if (!Answer.ok())
    return reportFailure(Context, Answer);
  Context.Out_ << "# in force: revision " << textOf(Answer.Body_, "revision")
               << "\n"
               << diffLines(textOf(Answer.Body_, "text"), Text);
  return ExitCode::Ok;
}

ExitCode showDeclarations(CommandContext &Context) {
  OperatorAnswer Answer = OperatorClient(Context).get("/v1/declarations");
  if (!Answer.ok())
    return reportFailure(Context, Answer);
  if (Context.Options_.count("json"))
    Answer.Body_->stringify(Context.Out_);
  else
    Context.Out_ << "# revision " << textOf(Answer.Body_, "revision") << "\n"
                 << textOf(Answer.Body_, "text");
  Context.Out_ << "\n";
  return ExitCode::Ok;
}

} // namespace lagoonpoint
