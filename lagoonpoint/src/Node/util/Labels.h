#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/Retry"

namespace lagoonpoint {

/// Label of calls on open routes.
inline constexpr const char *OpenTeam = "open";

/// \returns the labels of metrics per team and service.
inline LabelValues teamAndService(const TeamId &Team,
                                  const ServiceId &Service) {
  return {Team.empty() ? OpenTeam : Team.str(), Service.str()};
}

/// \returns "2xx" for 200 and so on.
inline std::string statusClass(int Status) {
  return std::to_string(Status / 100) + "xx";
}

/// \returns the label of a try's end.
inline const char *nameOf(TryEnd End) {
  switch (End) {
  case TryEnd::Answered:
    return "answered";
  case TryEnd::NotConnected:
    return "not_connected";
  case TryEnd::NothingSent:
    return "nothing_sent";
  case TryEnd::Shed:
    return "shed";
  case TryEnd::TimedOut:
    return "timed_out";
  case TryEnd::Broken:
    return "broken";
  case TryEnd::CallerLeft:
    return "caller_left";
  }
  return "unknown";
}

/// Counts a refusal.
inline void countRefusal(MetricRegistry &Metrics, const TeamId &Team,
                         RefusalReason Reason, Ran R) {
  Metrics.add(Metric::Refusals, {Team.empty() ? OpenTeam : Team.str(),
                                 toString(Reason), toString(R)});
}

} // namespace lagoonpoint
