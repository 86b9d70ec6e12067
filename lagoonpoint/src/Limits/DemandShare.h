#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// \class DemandMeter
/// \ingroup Limits
/// \brief Smoothed rate of events.
struct DemandMeter {
  double Rate_ = 0; ///< events a second
  double Count_ = 0;
  Time Since_;
};

/// Counts one event.
/// \ingroup Limits
void count(DemandMeter &M, double Events = 1);

/// Folds what was counted into the rate.
/// \ingroup Limits
void settle(DemandMeter &M, Time Now);

/// \class SharedBucket
/// \ingroup Limits
/// \brief This VM's part of a rate and burst that all entry VMs spend.
///
/// VMs divide a rate by the demand that each of them sees, as the core VMs sum
/// it up. No VM has to ask another before it spends.
struct SharedBucket {
  DemandMeter Asked_;
  double Share_ = 0; ///< of the whole
  double Tokens_ = 0;
  Time Filled_;
};

/// Part of a rate that is divided evenly, so that a VM whose first caller of a
/// team has just come can serve it.
inline constexpr double EvenPart = 0.25;

/// Sets the share from this VM's demand and that of all VMs.
/// \ingroup Limits
void setShare(SharedBucket &B, double AllDemand, std::size_t Vms);

/// Takes one token of a rate and burst.
/// \ingroup Limits
/// \returns how long to wait for one, zero if it was taken
Duration take(SharedBucket &B, double Rate, double Burst, Time Now);

} // namespace lagoonpoint
