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
  double Told_ = 0;       ///< demand that the core VMs were told last
  double ToldBefore_ = 0; ///< and the time before
  double ByDemand_ = 0;   ///< part of all demand, by the newest sum
  double Sum_ = 0;        ///< newest sum
  double Share_ = 0;      ///< of the whole
  double Tokens_ = 0;
  Time Filled_;
};

/// Part of a rate that is divided evenly, so that a VM whose first caller of a
/// team has just come can serve it.
inline constexpr double EvenPart = 0.4;

/// Takes the demand to tell to the core VMs.
/// \ingroup Limits
double tellDemand(SharedBucket &B, Time Now);

/// \class SharedRate
/// \ingroup Limits
/// \brief A rate and burst of all VMs together, and what may be spent beyond
/// them in a window.
struct SharedRate {
  double Rate_ = 0;  ///< units a second
  double Burst_ = 0; ///< units
  Duration Window_;
  double Overage_ = 0; ///< part of a window's units
  double Slack_ = 0;   ///< units a window
};

/// Parts of the overage and the slack that VMs use: shares that are told at
/// different times may sum up to more than one.
inline constexpr double OverageUsed = 0.3;
inline constexpr double SlackUsed = 0.5;

/// A VM that hears no sums for this long is counted by the others no more.
inline constexpr Duration ShareKept = Duration::millis(2200);
/// It gives its share up until then.
inline constexpr Duration ShareEnds = Duration::seconds(5);

/// Sets the share from the demand that this VM told and the sum over all VMs
/// that it was told in turn. A share shrinks at once and grows a sum later: at
/// a surge the first VM to tell of it finds a sum that lacks the others' part.
/// Of two sums the larger counts: a core VM that is cut off hears of less. Of
/// two demands that were told the smaller counts: the other VMs' parts in a sum
/// are older than this VM's newest.
/// \ingroup Limits
void setShare(SharedBucket &B, double AllDemand, std::size_t Vms);

/// \returns what is left of a share whose sum is of that age.
/// \ingroup Limits
double shareLeft(Duration Age);

/// Takes one token of this VM's share.
/// \ingroup Limits
/// \param Age of the sum that the share follows from
/// \returns how long to wait for one, zero if it was taken
Duration take(SharedBucket &B, const SharedRate &R, std::size_t Vms,
              Duration Age, Time Now);

} // namespace lagoonpoint
