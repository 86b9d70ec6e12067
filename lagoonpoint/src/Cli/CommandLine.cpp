#include "lagoonpoint/src/Cli/CommandLine.h"

#include "lagoonpoint/Core"
#include "lagoonpoint/src/Cli/Command.h"
#include "lagoonpoint/src/Cli/OperatorClient.h"

#include <cstdlib>
#include <ostream>

namespace po = boost::program_options;

namespace lagoonpoint {

namespace {

void noOptions(po::options_description &) {}

void addJson(po::options_description &Options) {
  Options.add_options()("json", "print JSON");
}

void addApply(po::options_description &Options) {
  addOperatorOptions(Options);
  Options.add_options()("base", po::value<std::uint64_t>()->required(),
                        "revision that the file is based on");
  Options.add_options()("change-id", po::value<std::string>(),
                        "id of the change; repeat it when resending");
  Options.add_options()("wait", po::value<double>()->default_value(7),
                        "seconds to wait until the change is in force on "
                        "every VM");
}

void addKey(po::options_description &Options) {
  addOperatorOptions(Options);
  Options.add_options()("team", po::value<std::string>(),
                        "team of a granted key");
  Options.add_options()("change-id", po::value<std::string>(),
                        "id of the change; repeat it when resending");
}

void addVoter(po::options_description &Options) {
  addOperatorOptions(Options);
  Options.add_options()("with", po::value<std::string>(),
                        "for replace: the VM that becomes a voter instead");
}

void addLookup(po::options_description &Options) {
  addJson(Options);
  Options.add_options()(
      "vm", po::value<std::string>()->default_value("127.0.0.1:7110"),
      "callers' address of any entry VM, HOST:PORT");
  Options.add_options()("client", po::value<std::string>(),
                        "client address to look up for");
}

std::string usageLine(const Command &C) {
  std::string Usage = "lagoonpoint " + C.Name_;
  for (const std::string &Argument : C.Arguments_)
    Usage += " <" + Argument + ">";
  return Usage + " [options]";
}

void printOverview(std::ostream &Out) {
  Out << "lagoonpoint: global traffic steering\n\n"
         "usage: lagoonpoint <command> [options]\n\ncommands:\n";
  for (const Command &C : commands())
    Out << "  " << C.Name_ << std::string(12 - C.Name_.size(), ' ')
        << C.Summary_ << "\n";
  Out << "\n`lagoonpoint <command> --help` lists the options of a command.\n";
}

const Command *findCommand(const std::string &Name) {
  for (const Command &C : commands())
    if (C.Name_ == Name)
      return &C;
  return nullptr;
}

po::variables_map parseOptions(const Command &C,
                               const std::vector<std::string> &Arguments,
                               const po::options_description &Visible) {
  po::options_description All;
  All.add(Visible);
  po::positional_options_description Positional;
  for (const std::string &Argument : C.Arguments_) {
    All.add_options()(Argument.c_str(), po::value<std::string>()->required());
    Positional.add(Argument.c_str(), 1);
  }
  po::variables_map Options;
  po::store(po::command_line_parser(Arguments)
                .options(All)
                .positional(Positional)
                .run(),
            Options);
  if (!Options.count("help"))
    po::notify(Options);
  return Options;
}

ExitCode runCommand(const Command &C, const std::vector<std::string> &Arguments,
                    std::ostream &Out, std::ostream &Err) {
  po::options_description Visible("options");
  Visible.add_options()("help,h", "print this help");
  C.AddOptions_(Visible);
  CommandContext Context{{}, Out, Err};
  try {
    Context.Options_ = parseOptions(C, Arguments, Visible);
  } catch (const po::error &E) {
    Err << "lagoonpoint " << C.Name_ << ": " << E.what()
        << "\nusage: " << usageLine(C) << "\n";
    return ExitCode::Usage;
  }
  if (Context.Options_.count("help")) {
    Out << C.Summary_ << "\n\nusage: " << usageLine(C) << "\n\n" << Visible;
    return ExitCode::Ok;
  }
  return C.Run_(Context);
}

} // namespace

const std::vector<Command> &commands() {
  static const std::vector<Command> All = {
      {"run", "runs this VM's process", {"settings"}, noOptions, runVm},
      {"check",
       "checks a settings or declarations file",
       {"file"},
       addJson,
       checkFile},
      {"apply", "applies a declarations file", {"file"}, addApply, applyFile},
      {"diff",
       "compares a file with the declarations in force",
       {"file"},
       addOperatorOptions,
       diffFile},
      {"show",
       "prints the declarations in force",
       {},
       addOperatorOptions,
       showDeclarations},
      {"status",
       "shows VMs, voters, revisions and upstreams",
       {},
       addOperatorOptions,
       showStatus},
      {"key",
       "grants or withdraws a caller's key",
       {"action", "id"},
       addKey,
       changeKey},
      {"drain",
       "drains a region, zone or VM",
       {"scope", "id"},
       addOperatorOptions,
       drain},
      {"undrain", "ends a drain", {"scope", "id"}, addOperatorOptions, undrain},
      {"voter",
       "adds, removes or replaces a voter",
       {"action", "vm"},
       addVoter,
       changeVoter},
      {"lookup",
       "asks an entry VM which VMs to call for a service",
       {"service"},
       addLookup,
       lookup},
      {"version", "prints the version", {}, addJson, printVersion},
  };
  return All;
}

ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        std::ostream &Out, std::ostream &Err) {
  if (Arguments.empty()) {
    printOverview(Err);
    return ExitCode::Usage;
  }
  if (Arguments[0] == "--help" || Arguments[0] == "-h" ||
      Arguments[0] == "help") {
    printOverview(Out);
    return ExitCode::Ok;
  }
  const Command *C = findCommand(Arguments[0]);
  if (!C) {
    Err << "lagoonpoint: unknown command '" << Arguments[0]
        << "'; `lagoonpoint --help` lists the commands\n";
    return ExitCode::Usage;
  }
  try {
    return runCommand(*C, {Arguments.begin() + 1, Arguments.end()}, Out, Err);
  } catch (const UnreachableError &E) {
    Err << "lagoonpoint " << C->Name_ << ": " << E.what() << "\n";
    return ExitCode::Unreachable;
  } catch (const std::exception &E) {
    Err << "lagoonpoint " << C->Name_ << ": " << E.what() << "\n";
    return ExitCode::Failed;
  }
}

} // namespace lagoonpoint
