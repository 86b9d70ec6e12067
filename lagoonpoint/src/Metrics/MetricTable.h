#pragma once

#include <vector>

namespace lagoonpoint {

/// Metrics of a VM, in the order of metricTable().
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
  ControlSeconds,
  UpstreamUpdates,
  UpstreamsHeld,
  LoadNotices,
  ReturnSeconds,
  SlotReplies,
  SlotFallbacks,
  SlotWaitSeconds,
  Pools,
  PoolSlots,
  PoolQueue,
  RunEstimateSeconds,
  InvariantViolations,
};

/// Prometheus type of a metric.
/// \ingroup Metrics
enum class MetricKind { Counter, Gauge, Histogram };

/// Name, type, labels and help text of one metric.
/// \ingroup Metrics
struct MetricInfo {
  Metric Metric_;
  MetricKind Kind_;
  const char *Name_;
  std::vector<const char *> Labels_;
  const char *Help_;
};

/// \returns the descriptions of all metrics, indexed by Metric.
/// \ingroup Metrics
const std::vector<MetricInfo> &metricTable();

/// \returns the description of one metric.
/// \ingroup Metrics
const MetricInfo &infoOf(Metric M);

} // namespace lagoonpoint
