#pragma once

#include "lagoonpoint/Core"

#include <optional>
#include <string>

namespace lagoonpoint {

/// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// \class LogLine
/// \ingroup Log
/// \brief One line of the log; empty fields are omitted. It must never
/// contain a key.
struct LogLine {
  LogLevel Level_ = LogLevel::Info;
  std::string Step_; ///< such as "peer.connect"; see docs/operating
  std::string Message_;
  std::string Peer_;
  TeamId Team_;
  RequestId Request_;
  std::optional<Revision> Revision_;
};

/// Starts logging to standard output.
/// \param Level "debug", "info", "warning" or "error"
/// \throws Error for any other level
void startLog(const VmId &Vm, const std::string &Level);

/// Flushes the queued lines and stops logging.
void stopLog();

/// Queues a line without blocking. Lines are dropped if the queue is full or
/// startLog() has not been called yet.
void log(const LogLine &Line);

/// Logs an error's step, peer and message.
void logError(const Error &E, LogLevel Level = LogLevel::Error);

/// \returns a line as JSON, without a trailing newline.
std::string toJson(const LogLine &Line, const VmId &Vm,
                   std::int64_t UnixMillis);

} // namespace lagoonpoint
