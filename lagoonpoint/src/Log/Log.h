#pragma once

#include "lagoonpoint/Core"

#include <optional>
#include <string>

namespace lagoonpoint {

/// How urgent a log line is.
enum class LogLevel { Debug, Info, Warning, Error };

/// \class LogLine
/// \ingroup Log
/// \brief One line of the log; empty fields are left out. Never holds a key.
struct LogLine {
  LogLevel Level_ = LogLevel::Info;
  std::string Step_; ///< such as "peer.connect"; listed in docs/operating
  std::string Message_;
  std::string Peer_;
  TeamId Team_;
  RequestId Request_;
  std::optional<Revision> Revision_;
};

/// Starts logging to standard output.
/// \param Level "debug", "info", "warning" or "error"
/// \throws Error if the level is none of these
void startLog(const VmId &Vm, const std::string &Level);

/// Writes out what is queued and stops.
void stopLog();

/// Queues a line; never blocks. Lines are dropped when the queue is full, and
/// before startLog().
void log(const LogLine &Line);

/// Logs an error with its step and peer.
void logError(const Error &E, LogLevel Level = LogLevel::Error);

/// \returns the JSON text of a line, without its line end.
std::string toJson(const LogLine &Line, const VmId &Vm,
                   std::int64_t UnixMillis);

} // namespace lagoonpoint
