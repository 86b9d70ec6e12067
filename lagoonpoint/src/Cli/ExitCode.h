#pragma once

namespace lagoonpoint {

/// Exit codes of the command line, as listed in docs/OPERATING.md.
enum class ExitCode : int {
  Ok = 0,
  Failed = 1,      ///< any other error
  Usage = 2,       ///< unknown command or option, missing argument
  Invalid = 3,     ///< settings or declarations with errors
  Conflict = 4,    ///< another change was accepted first
  Unreachable = 5, ///< the operators' listener did not respond
  Refused = 6,     ///< wrong operators' key, or the request was refused
  Unconfirmed = 7, ///< accepted, but not yet in force on every VM
};

} // namespace lagoonpoint
