#pragma once

#include "lagoonpoint/src/Metrics/MetricTable.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Label values of a metric, in the order of MetricInfo::Labels_.
/// \ingroup Metrics
using LabelValues = std::vector<std::string>;

/// \class MetricRegistry
/// \ingroup Metrics
/// \brief All metric series of a process. Thread-safe: series are divided
/// among shards that each have a lock.
///
/// The number of distinct values of a label is bounded, so that callers cannot
/// make the registry grow without limit. Further values count as "other".
class MetricRegistry {
public:
  /// \param MaxValues maximum number of distinct values of one label
  explicit MetricRegistry(std::size_t MaxValues = 128);
  ~MetricRegistry();

  /// Adds to a counter or a gauge; \p By may be negative for a gauge.
  void add(Metric M, const LabelValues &Labels, double By = 1);
  /// Sets a gauge.
  void set(Metric M, const LabelValues &Labels, double Value);
  /// Adds one value, in seconds, to a histogram.
  void observe(Metric M, const LabelValues &Labels, double Seconds);

  /// \returns all series in the Prometheus text format. Quantiles of a
  /// histogram are exported as the gauge NAME_quantile.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lagoonpoint
