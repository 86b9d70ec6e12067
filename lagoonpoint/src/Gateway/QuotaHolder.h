#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Fleet"
#include "lagoonpoint/Items"
#include "lagoonpoint/Limits"

#include <map>
#include <mutex>
#include <set>

namespace lagoonpoint {

/// \class QuotaHolder
/// \ingroup Gateway
/// \brief Grants tokens of each team's rate to the entry VMs of this core VM's
/// region. Thread-safe.
///
/// A team's rate is divided among the regions by demand. In each region one
/// core VM grants the team's tokens. If it fails, the next one takes over with
/// an empty bucket, and what it grants is charged to the first, which may only
/// be slow or frozen. A core VM that has just started grants what has accrued
/// since then, unless another one has granted tokens meanwhile.
class QuotaHolder {
public:
  QuotaHolder(const FleetSettings &S, const Clock &C)
      : Settings_(S), Clock_(C), StartedAt_(C.now()) {}

  /// \returns all regions of the deployment
  std::set<RegionId> regions() const;
  /// Updates the demand of all regions. Called once per heartbeat interval.
  void updateDemand(const TeamDemand &Demand);
  /// \param Team null if this VM does not know the team
  TokenGrant grant(const TokenRequest &Request, const TeamItem *Team,
                   const HolderRank &Rank);
  /// Takes tokens that another core VM of the region granted.
  /// \param Team null if this VM does not know the team
  void charge(const TokenCharge &Charge, const TeamItem *Team);

private:
  struct TeamQuota {
    RateShare RateShare_;
    Time LastRequestAt_;
    /// Last request that said that a preceding core VM replies to heartbeats.
    Time PrecedingSeenAt_;
    /// Time since which tokens have accrued at the start of this process;
    /// Time() if they were given up.
    Time AccruedFrom_;
  };

  std::size_t regionCount() const;
  TeamQuota &quotaOf(const TeamId &Team);
  void startBucket(TeamQuota &Quota, const TokenRequest &Request,
                   const HolderRank &Rank, Time Now) const;
  double usableFraction(const TeamQuota &Quota, const HolderRank &Rank) const;
  GlobalRate rateOf(const TeamItem &Team) const;

  const FleetSettings &Settings_;
  const Clock &Clock_;
  const Time StartedAt_;
  std::mutex Lock_;
  std::map<TeamId, TeamQuota> Quotas_;
  Time ContactAt_; ///< last time that half of the core VMs were heard
};

} // namespace lagoonpoint
