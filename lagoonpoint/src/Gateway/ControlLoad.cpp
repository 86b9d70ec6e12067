#include "lagoonpoint/src/Gateway/ControlLoad.h"

#include "lagoonpoint/Log"

namespace lagoonpoint {

ControlLoad::ControlLoad(const Clock &C, MetricRegistry &Metrics)
    : Clock_(C), Metrics_(Metrics), ReportedAt_(C.now()) {}

void ControlLoad::measure(const char *Message,
                          const std::function<void()> &Work) {
  auto StartedAt = std::chrono::steady_clock::now();
  Work();
  auto Spent = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - StartedAt);
  Metrics_.observe(Metric::ControlSeconds, {Message},
                   static_cast<double>(Spent.count()) / 1e6);
  std::lock_guard Guard(Lock_);
  Spent_ += Spent;
  ++Messages_;
}

void ControlLoad::report() {
  std::lock_guard Guard(Lock_);
  Duration Elapsed = Clock_.now() - ReportedAt_;
  if (Elapsed < ReportInterval)
    return;
  double SpentSeconds = static_cast<double>(Spent_.count()) / 1e6;
  if (SpentSeconds > Elapsed.inSeconds() * MaxFraction)
    log({.Level_ = LogLevel::Warning,
         .Step_ = "vm.control",
         .Message_ = std::to_string(Messages_) + " control messages took " +
                     std::to_string(Spent_.count() / 1000) +
                     " ms of the last " + std::to_string(Elapsed.count()) +
                     " ms"});
  Spent_ = std::chrono::microseconds(0);
  Messages_ = 0;
  ReportedAt_ = Clock_.now();
}

} // namespace lagoonpoint
