#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/Metrics"

#include <chrono>
#include <functional>
#include <mutex>

namespace lagoonpoint {

/// \class ControlLoad
/// \ingroup Gateway
/// \brief Measures the time that a VM spends on messages of other VMs, and logs
/// it when it takes a noticeable part of the VM's time. Thread-safe.
class ControlLoad {
public:
  ControlLoad(const Clock &C, MetricRegistry &Metrics);

  /// Runs \p Work and adds its duration to Metric::ControlSeconds.
  /// \param Message kind of message, a label value
  void measure(const char *Message, const std::function<void()> &Work);

  /// Called regularly. Logs the time spent since the last report if it is more
  /// than MaxFraction of the time that has passed.
  void report();

private:
  static constexpr double MaxFraction = 0.1;
  static constexpr Duration ReportInterval = Duration::seconds(1);

  const Clock &Clock_;
  MetricRegistry &Metrics_;
  std::mutex Lock_; ///< guards what follows
  std::chrono::microseconds Spent_{0};
  unsigned Messages_ = 0;
  Time ReportedAt_;
};

} // namespace lagoonpoint
