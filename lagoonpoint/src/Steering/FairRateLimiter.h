#pragma once

#include "lagoonpoint/Core"

#include <map>

namespace lagoonpoint {

/// \class FairRateLimiter
/// \ingroup Steering
/// \brief Says whose calls to refuse where one VM has too little of a region
/// or a link for all of them.
///
/// Each period's units are divided over the teams that asked for some in the
/// period before, max-min by weight: who asks for less than its part gets all,
/// and what that leaves goes to the others.
struct FairRateLimiter {
  struct TeamState {
    double Weight_ = 1;
    double Requested_ = 0; ///< units asked for in this period
    double Available_ = 0; ///< units it may still take
  };
  Time PeriodEnd_;
  double Rate_ = 0;        ///< units a second to divide
  double Unallocated_ = 0; ///< units that no team's part holds
  std::map<TeamId, TeamState> Teams_;
};

/// Length of a period.
inline constexpr Duration FairRatePeriod = Duration::millis(200);

/// Asks for units for a call.
/// \ingroup Steering
/// \param Rate units a second that this VM has
/// \returns true if the team's part holds them, and takes them
bool tryTakeFairShare(FairRateLimiter &G, const TeamId &Team, double Weight,
                      double Units, double Rate, Time Now);

} // namespace lagoonpoint
