#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/Retry"

namespace lagoonpoint {

/// Team label of calls on open routes, which need no key.
inline constexpr const char *OpenRouteLabel = "open";

/// \returns the labels of metrics per team and service.
inline LabelValues teamServiceLabels(const TeamId &Team,
                                     const ServiceId &Service) {
  return {Team.empty() ? OpenRouteLabel : Team.str(), Service.str()};
}

/// \returns "2xx" for 200 and so on.
inline std::string statusClass(int Status) {
  return std::to_string(Status / 100) + "xx";
}

/// \returns the metric label of a try's result.
inline const char *tryResultLabel(TryResult Result) {
  switch (Result) {
  case TryResult::Answered:
    return "answered";
  case TryResult::NotConnected:
    return "not_connected";
  case TryResult::NothingSent:
    return "nothing_sent";
  case TryResult::Shed:
    return "shed";
  case TryResult::TimedOut:
    return "timed_out";
  case TryResult::Broken:
    return "broken";
  case TryResult::CallerLeft:
    return "caller_left";
  }
  return "unknown";
}

/// Counts a refusal.
inline void countRefusal(MetricRegistry &Metrics, const TeamId &Team,
                         RefusalReason Reason, Ran R) {
  Metrics.add(Metric::Refusals, {Team.empty() ? OpenRouteLabel : Team.str(),
                                 toString(Reason), toString(R)});
}

} // namespace lagoonpoint
