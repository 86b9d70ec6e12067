#pragma once

#include <vector>

namespace lagoonpoint {

/// Every metric of a VM; the order is that of metricTable().
/// \ingroup Metrics
enum class Metric {
  RequestSeconds,
  QueueSeconds,
  TrySeconds,
  LookupSeconds,
  Requests,
  Refusals,
  Tries,
  Retries,
  InFlight,
  Connections,
  InvariantViolations,
};

/// What kind of values a metric has.
/// \ingroup Metrics
enum class MetricKind { Counter, Gauge, Histogram };

/// One row of the table of metrics.
/// \ingroup Metrics
struct MetricInfo {
  Metric Metric_;
  MetricKind Kind_;
  const char *Name_;
  std::vector<const char *> Labels_;
  const char *Help_;
};

/// \returns all metrics with their names, labels and help texts.
/// \ingroup Metrics
const std::vector<MetricInfo> &metricTable();

/// \returns the row of one metric.
/// \ingroup Metrics
const MetricInfo &infoOf(Metric M);

} // namespace lagoonpoint
