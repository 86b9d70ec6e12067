#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// \class DemandMeter
/// \ingroup Limits
/// \brief Exponentially smoothed rate of events.
struct DemandMeter {
  double Rate_ = 0; ///< events per second
  double Count_ = 0;
  Time UpdatedAt_;
};

/// Counts events for the next updateRate().
/// \ingroup Limits
void recordEvents(DemandMeter &M, double Events = 1);

/// Updates the smoothed rate with the events counted since the last update.
/// Does nothing within 50 ms of that update.
/// \ingroup Limits
void updateRate(DemandMeter &M, Time Now);

/// \class RateShare
/// \ingroup Limits
/// \brief Local token bucket of one holder: its share of a rate and burst that
/// several holders enforce together.
///
/// Holders divide the rate in proportion to the demand that each of them sees,
/// so that none has to contact another before it grants a token.
struct RateShare {
  double ReportedDemand_ = 0; ///< local demand in the latest report
  double PreviousDemand_ = 0; ///< local demand in the report before it
  double DemandFraction_ = 0; ///< latest local fraction of total demand
  double TotalDemand_ = 0;    ///< latest total over all holders
  /// Fraction that is kept in a surge if the local demand grows as well.
  double KeptFraction_ = 0;
  /// Fraction that was used when the demand of all holders was last known. It
  /// bounds the share while that demand is unknown.
  double FractionLimit_ = 1;
  double Share_ = 0; ///< fraction of the global rate
  double Tokens_ = 0;
  Time RefilledAt_;
};

/// Fraction of a rate that is divided evenly, so that a holder can grant the
/// first requests of a team before any demand is known.
inline constexpr double EvenFraction = 0.4;

/// \class GlobalRate
/// \ingroup Limits
/// \brief Rate and burst of all holders together, and the excess allowed in a
/// window.
struct GlobalRate {
  double Rate_ = 0;  ///< units per second
  double Burst_ = 0; ///< units
  Duration Window_;
  double Overage_ = 0; ///< allowed excess, as a fraction of a window's units
  double Slack_ = 0;   ///< allowed excess in units per window
};

/// Fractions of the overage and of the slack that holders use, as additional
/// capacity and, spread over a window, as additional rate. The rest is a
/// margin: shares computed from reports of different times may add up to more
/// than one, and entry VMs use tokens some time after they were granted.
inline constexpr double CapacityOverage = 0.1;
inline constexpr double CapacitySlack = 0.4;
inline constexpr double RateOverage = 0.1;
inline constexpr double RateSlack = 0.5;

/// Holders stop counting a holder that has not exchanged reports for this long.
inline constexpr Duration ShareValidFor = Duration::millis(2200);
/// Age at which an isolated holder has given up all of its share. The share
/// falls linearly from ShareValidFor on.
inline constexpr Duration ShareExpiresAfter = Duration::seconds(5);

/// Recomputes the share from the demand that this holder reports and the total
/// over all holders.
///
/// A share shrinks at once, but beyond the usual variation of the demand it
/// grows only with the second report: in a surge, the first holder to report it
/// gets a total without the other holders' increase. The larger of the last two
/// totals is used if they differ by more than that, because an isolated holder
/// receives a total that is too small. Of the last two local reports, the
/// smaller is used in the same way, because the other holders' demand in a
/// total is older than this holder's latest report. The first report of demand
/// is shared evenly.
///
/// While another holder's demand is not known, the share does not exceed that
/// of the last time at which it was: both sides of a cut see their own surge
/// only, and would each grow at the other's expense.
///
/// \ingroup Limits
/// \param OwnDemand local demand that is being reported
/// \param TotalDemand latest known total, including \p OwnDemand
/// \param IsComplete whether \p TotalDemand has recent reports of all holders
void updateShare(RateShare &B, double OwnDemand, double TotalDemand,
                 std::size_t Holders, bool IsComplete = true);

/// \returns the factor by which a share is reduced when the last exchange with
/// the other holders is \p Age old: 1 up to ShareValidFor, 0 from
/// ShareExpiresAfter on.
/// \ingroup Limits
double shareFactor(Duration Age);

/// Result of taking tokens from a local share.
struct TakenTokens {
  unsigned Count_ = 0;
  Duration RetryAfter_; ///< until the next token, if too few were left
};

/// Takes tokens from the local share.
/// \ingroup Limits
/// \param ShareFactor fraction of the share that may be used, see shareFactor()
/// \param Requested tokens that are needed now
/// \param Prefetch further tokens to take while the bucket stays at least half
/// full
TakenTokens take(RateShare &B, const GlobalRate &R, std::size_t Holders,
                 double ShareFactor, unsigned Requested, unsigned Prefetch,
                 Time Now);

/// Takes tokens that were used without a grant of this holder. The bucket may
/// become negative, by at most what accrues in a window: what was used earlier
/// does not count.
/// \ingroup Limits
void charge(RateShare &B, const GlobalRate &R, std::size_t Holders,
            unsigned Count, Time Now);

} // namespace lagoonpoint
