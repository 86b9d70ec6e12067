#pragma once

#include "lagoonpoint/src/Cli/ExitCode.h"

#include <boost/program_options.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Parsed options and output streams of a command.
struct CommandContext {
  boost::program_options::variables_map Options_;
  std::ostream &Out_;
  std::ostream &Err_;
};

/// \class Command
/// \ingroup Cli
/// \brief One subcommand: its name, arguments, options and function.
struct Command {
  std::string Name_;
  std::string Summary_;
  std::vector<std::string> Arguments_; ///< positional, all required
  void (*AddOptions_)(boost::program_options::options_description &);
  ExitCode (*Run_)(CommandContext &);
};

/// \returns all subcommands, in the order in which `--help` lists them.
const std::vector<Command> &commands();

/// Adds the options shared by all commands that call an operators' listener.
void addOperatorOptions(boost::program_options::options_description &Options);

ExitCode runVm(CommandContext &Context);
ExitCode checkFile(CommandContext &Context);
ExitCode applyFile(CommandContext &Context);
ExitCode diffFile(CommandContext &Context);
ExitCode showDeclarations(CommandContext &Context);
ExitCode showStatus(CommandContext &Context);
ExitCode changeKey(CommandContext &Context);
ExitCode drain(CommandContext &Context);
ExitCode undrain(CommandContext &Context);
ExitCode changeVoter(CommandContext &Context);
ExitCode lookup(CommandContext &Context);
ExitCode printVersion(CommandContext &Context);

} // namespace lagoonpoint
