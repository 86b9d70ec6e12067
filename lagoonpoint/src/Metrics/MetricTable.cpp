#include "lagoonpoint/src/Metrics/MetricTable.h"

namespace lagoonpoint {

const std::vector<MetricInfo> &metricTable() {
  static const std::vector<MetricInfo> Table{
      {Metric::RequestSeconds,
       MetricKind::Histogram,
       "lagoonpoint_request_seconds",
       {"team", "service"},
       "Time from a call's arrival to the end of its answer or refusal."},
      {Metric::QueueSeconds,
       MetricKind::Histogram,
       "lagoonpoint_queue_seconds",
       {"team", "service"},
       "Time a call waited for a slot at an upstream."},
      {Metric::TrySeconds,
       MetricKind::Histogram,
       "lagoonpoint_try_seconds",
       {"service", "region"},
       "Time from dispatching a try to the end of the upstream's answer."},
      {Metric::LookupSeconds,
       MetricKind::Histogram,
       "lagoonpoint_lookup_seconds",
       {"service"},
       "Time from a look-up's arrival to its answer or refusal."},
      {Metric::Requests,
       MetricKind::Counter,
       "lagoonpoint_requests_total",
       {"team", "service", "status"},
       "Calls answered by an upstream, by status class."},
      {Metric::Refusals,
       MetricKind::Counter,
       "lagoonpoint_refusals_total",
       {"team", "reason", "ran"},
       "Calls and look-ups refused, by reason and whether they ran."},
      {Metric::Tries,
       MetricKind::Counter,
       "lagoonpoint_tries_total",
       {"service", "end"},
       "Tries at upstreams, by how they ended."},
      {Metric::Retries,
       MetricKind::Counter,
       "lagoonpoint_retries_total",
       {"team", "service"},
       "Tries after the first one of a call."},
      {Metric::InFlight,
       MetricKind::Gauge,
       "lagoonpoint_in_flight",
       {"team", "service"},
       "Calls being passed to an upstream."},
      {Metric::Connections,
       MetricKind::Gauge,
       "lagoonpoint_connections",
       {"listener"},
       "Open connections of a listener."},
      {Metric::InvariantViolations,
       MetricKind::Counter,
       "lagoonpoint_invariant_violations",
       {},
       "Invariants violated since the process started; must stay 0."},
  };
  return Table;
}

const MetricInfo &infoOf(Metric M) {
  return metricTable().at(static_cast<std::size_t>(M));
}

} // namespace lagoonpoint
