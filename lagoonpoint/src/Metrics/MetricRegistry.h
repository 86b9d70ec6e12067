#pragma once

#include "lagoonpoint/src/Metrics/MetricTable.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Values of a metric's labels, in the order of its table row.
/// \ingroup Metrics
using LabelValues = std::vector<std::string>;

/// \class MetricRegistry
/// \ingroup Metrics
/// \brief All series of a process. Thread-safe; series are spread over shards
/// with a lock each.
///
/// A label takes at most a bounded number of values, so that callers can't
/// make the registry grow: values beyond that count as "other".
class MetricRegistry {
public:
  /// \param MaxValues most values of one label
  explicit MetricRegistry(std::size_t MaxValues = 128);
  ~MetricRegistry();

  /// Adds to a counter or a gauge; \p By may be negative for a gauge.
  void add(Metric M, const LabelValues &Labels, double By = 1);
  /// Sets a gauge.
  void set(Metric M, const LabelValues &Labels, double Value);
  /// Adds one value, in seconds, to a histogram.
  void observe(Metric M, const LabelValues &Labels, double Seconds);

  /// \returns all series in the Prometheus text form, with quantiles of the
  /// histograms as NAME_quantile.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
