#include "lagoonpoint/src/Log/Log.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSONString.h>
#include <Poco/Timestamp.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lagoonpoint {

namespace {

constexpr std::size_t QueueLines = 8192;
constexpr std::size_t WriterThreads = 1;
constexpr const char *LoggerName = "lagoonpoint";

struct LevelRow {
  LogLevel Level_;
  const char *Name_;
  spdlog::level::level_enum SpdlogLevel_;
};

constexpr LevelRow Levels[] = {
    {LogLevel::Debug, "debug", spdlog::level::debug},
    {LogLevel::Info, "info", spdlog::level::info},
    {LogLevel::Warning, "warning", spdlog::level::warn},
    {LogLevel::Error, "error", spdlog::level::err},
};

const LevelRow &rowOf(LogLevel Level) {
  for (const LevelRow &Row : Levels)
    if (Row.Level_ == Level)
      return Row;
  return Levels[0];
}

void addField(std::string &Json, const char *Name, const std::string &Value) {
  if (Value.empty())
    return;
  Json += std::string(",\"") + Name + "\":" + Poco::toJSON(Value);
}

std::string isoTime(std::int64_t UnixMillis) {
  Poco::Timestamp Stamp(UnixMillis * 1000);
  return Poco::DateTimeFormatter::format(
      Stamp, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

VmId &ownVm() {
  static VmId Vm;
  return Vm;
}

} // namespace

std::string toJson(const LogLine &Line, const VmId &Vm,
                   std::int64_t UnixMillis) {
  std::string Json = "{\"time\":\"" + isoTime(UnixMillis) + "\",\"level\":\"" +
                     rowOf(Line.Level_).Name_ + "\"";
  addField(Json, "vm", Vm.str());
  addField(Json, "step", Line.Step_);
  addField(Json, "peer", Line.Peer_);
  addField(Json, "team", Line.Team_.str());
  addField(Json, "request_id", Line.Request_.str());
  if (Line.Revision_)
    Json += ",\"revision\":" + std::to_string(Line.Revision_->value());
  addField(Json, "message", Line.Message_);
  return Json + "}";
}

void startLog(const VmId &Vm, const std::string &Level) {
  ownVm() = Vm;
  for (const LevelRow &Row : Levels) {
    if (Level != Row.Name_)
      continue;
    spdlog::init_thread_pool(QueueLines, WriterThreads);
    auto Logger =
        spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(LoggerName);
    Logger->set_pattern("%v");
    Logger->set_level(Row.SpdlogLevel_);
    return;
  }
  throw Error("log.start", "", "unknown log level '" + Level + "'");
}

void stopLog() { spdlog::shutdown(); }

void log(const LogLine &Line) {
  auto Logger = spdlog::get(LoggerName);
  if (!Logger || !Logger->should_log(rowOf(Line.Level_).SpdlogLevel_))
    return;
  Logger->log(rowOf(Line.Level_).SpdlogLevel_, "{}",
              toJson(Line, ownVm(), SystemClock().unixMillis()));
}

void logError(const Error &E, LogLevel Level) {
  log({.Level_ = Level,
       .Step_ = E.step(),
       .Message_ = E.message(),
       .Peer_ = E.peer()});
}

} // namespace lagoonpoint
