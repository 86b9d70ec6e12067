#pragma once

#include "lagoonpoint/Core"

#include <map>

namespace lagoonpoint {

/// \class FairRateLimiter
/// \ingroup Steering
/// \brief Weighted max-min fair rate limiter over teams.
///
/// Decides whose calls are refused when this VM's allowance of a region or a
/// link is too small for all of them. The units of each period are divided over
/// the teams that requested some in the preceding period. A team that requests
/// less than its fair share gets all that it requests; the rest goes to the
/// others in proportion to their weights.
struct FairRateLimiter {
  struct TeamState {
    double Weight_ = 1;
    double Requested_ = 0; ///< units requested in this period
    double Available_ = 0; ///< units it may take now
  };
  Time PeriodEnd_;
  double Rate_ = 0;        ///< units per second to divide
  double Unallocated_ = 0; ///< units that are assigned to no team
  std::map<TeamId, TeamState> Teams_;
};

/// Length of an allocation period.
inline constexpr Duration FairRatePeriod = Duration::millis(200);

/// Takes the units for a call from the team's share, or else from the
/// unallocated units.
/// \ingroup Steering
/// \param Rate units per second available to this VM
/// \returns false if neither suffices; nothing is taken then
bool tryTakeFairShare(FairRateLimiter &G, const TeamId &Team, double Weight,
                      double Units, double Rate, Time Now);

} // namespace lagoonpoint
