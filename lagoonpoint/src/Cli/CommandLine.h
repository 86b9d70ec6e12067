#pragma once

#include "lagoonpoint/src/Cli/ExitCode.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Runs one subcommand.
/// \ingroup Cli
/// \param Arguments the arguments after the program name
/// \returns the exit code of the process; errors are written to \p Err
ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        std::ostream &Out, std::ostream &Err);

} // namespace lagoonpoint
