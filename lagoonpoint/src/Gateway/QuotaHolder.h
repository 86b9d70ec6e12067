#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Fleet"
#include "lagoonpoint/Items"
#include "lagoonpoint/Limits"

#include <map>
#include <mutex>

namespace lagoonpoint {

/// \class QuotaHolder
/// \ingroup Gateway
/// \brief A core VM's part of each team's rate, granted to the entry VMs of its
/// region. Thread-safe.
///
/// Regions divide a rate by demand. In a region, one core VM grants a team's
/// tokens; the next one stands in for it with a bucket that starts empty.
class QuotaHolder {
public:
  QuotaHolder(const FleetSettings &S, const Clock &C)
      : Settings_(S), Clock_(C), StartedAt_(C.now()) {}

  /// Takes in what is asked for in all regions. Called once a beat.
  void updateDemand(const TeamDemand &Demand);
  /// \param Team null if this VM knows no such team
  TokenGrant grant(const TokenRequest &Request, const TeamItem *Team,
                   HolderRank Rank);

private:
  struct TeamQuota {
    RateShare RateShare_;
    Time LastRequestAt_;
  };

  std::size_t regionCount() const;
  TeamQuota &quotaOf(const TeamId &Team);
  double usableFraction(const HolderRank &Rank) const;

  const FleetSettings &Settings_;
  const Clock &Clock_;
  const Time StartedAt_;
  std::mutex Lock_;
  std::map<TeamId, TeamQuota> Quotas_;
  Time ContactAt_; ///< when half of the core VMs were heard last
};

} // namespace lagoonpoint
