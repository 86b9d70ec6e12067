#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// \class DemandMeter
/// \ingroup Limits
/// \brief Smoothed rate of events.
struct DemandMeter {
  double Rate_ = 0; ///< events a second
  double Count_ = 0;
  Time UpdatedAt_;
};

/// Counts one event.
/// \ingroup Limits
void recordEvents(DemandMeter &M, double Events = 1);

/// Folds what was counted into the rate.
/// \ingroup Limits
void updateRate(DemandMeter &M, Time Now);

/// \class RateShare
/// \ingroup Limits
/// \brief One holder's part of a rate and burst that several holders grant.
///
/// Holders divide a rate by the demand that comes to each of them. None has to
/// ask another before it grants.
struct RateShare {
  double ReportedDemand_ = 0; ///< own demand that the others were told last
  double PreviousDemand_ = 0; ///< and the time before
  double DemandFraction_ = 0; ///< part of all demand, by the newest sum
  double TotalDemand_ = 0;    ///< newest sum
  double Share_ = 0;          ///< of the whole
  double Tokens_ = 0;
  Time RefilledAt_;
};

/// Part of a rate that is divided evenly, so that a holder whose first request
/// of a team has just come can grant it.
inline constexpr double EvenFraction = 0.4;

/// \class GlobalRate
/// \ingroup Limits
/// \brief A rate and burst of all holders together, and what may be spent
/// beyond them in a window.
struct GlobalRate {
  double Rate_ = 0;  ///< units a second
  double Burst_ = 0; ///< units
  Duration Window_;
  double Overage_ = 0; ///< part of a window's units
  double Slack_ = 0;   ///< units a window
};

/// Parts of the overage and the slack that holders use: shares that are told
/// at different times may sum up to more than one.
inline constexpr double UsableOverage = 0.3;
inline constexpr double UsableSlack = 0.5;

/// A holder that hears no others for this long is counted by them no more.
inline constexpr Duration ShareValidFor = Duration::millis(2200);
/// It gives its share up until then.
inline constexpr Duration ShareExpiresAfter = Duration::seconds(5);

/// Sets the share from the demand that this holder tells and the sum over all
/// of them. A share shrinks at once and grows a sum later: at a surge the first
/// holder to tell of it finds a sum that lacks the others' part. Of two sums
/// the larger counts: a holder that is cut off hears of less. Of two demands
/// that were told the smaller counts: the others' parts in a sum are older than
/// this holder's newest. \ingroup Limits \param Own demand that the others are
/// told now \param AllDemand sum that is known now, \p Own included
void updateShare(RateShare &B, double OwnDemand, double TotalDemand,
                 std::size_t Holders);

/// \returns what is left of a share when the others were heard so long ago.
/// \ingroup Limits
double shareFactor(Duration Age);

/// What a holder grants.
struct TakenTokens {
  unsigned Count_ = 0;
  Duration RetryAfter_; ///< until there is another one, if there were too few
};

/// Takes tokens of this holder's share.
/// \ingroup Limits
/// \param Part of the share that may be used
/// \param Wanted tokens that are needed now
/// \param Ahead tokens to take beyond that while the bucket is half full
TakenTokens take(RateShare &B, const GlobalRate &R, std::size_t Holders,
                 double ShareFactor, unsigned Requested, unsigned Prefetch,
                 Time Now);

} // namespace lagoonpoint
