#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Fleet"
#include "lagoonpoint/Limits"

#include <map>
#include <mutex>

namespace lagoonpoint {

/// \class TeamShares
/// \ingroup Gateway
/// \brief This VM's parts of the teams' rates, and the demand it sees.
/// Thread-safe.
class TeamShares {
public:
  TeamShares(const FleetSettings &S, const Clock &C)
      : Settings_(S), Clock_(C) {}

  /// Counts a request for a service.
  void countService(const ServiceId &Service);
  /// Takes one request out of a team's rate.
  /// \throws Refusal if this VM's part is used up
  void take(const TeamId &Team, double Rate, double Burst);
  /// Gives back a request that was not sent.
  void giveBack(const TeamId &Team);

  /// Takes in what all entry VMs are asked for.
  /// \param AskedAt when they were asked for
  void learn(const RateMap &TeamRates, std::size_t Vms, Time AskedAt);
  /// Tells what this VM is asked for.
  void rates(RateMap &Teams, RateMap &Services);

private:
  const FleetSettings &Settings_;
  const Clock &Clock_;
  std::mutex Lock_;
  std::map<TeamId, SharedBucket> Teams_;
  std::map<ServiceId, DemandMeter> Services_;
  Time TotalsAt_; ///< when the newest sums were asked for
  std::size_t Vms_ = 0;
  Time VmsAt_; ///< when so many were told
};

} // namespace lagoonpoint
