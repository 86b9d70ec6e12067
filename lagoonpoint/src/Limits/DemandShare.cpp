#include "lagoonpoint/src/Limits/DemandShare.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// Half-life of older events in a smoothed rate.
constexpr Duration SmoothingHalfLife = Duration::seconds(2);
constexpr double MinIntervalSeconds = 0.05;
/// Demand below which a team counts as idle, in requests per second. A smoothed
/// rate does not fall to zero.
constexpr double IdleDemand = 0.1;
/// Two standard deviations by which a smoothed rate changes within a second, as
/// a multiple of its square root: 2 * (1 - 2^(-1 s / SmoothingHalfLife)).
constexpr double ChanceFactor = 0.59;
/// Part of its fraction that a holder keeps during a surge. Holders that don't
/// know of it yet may have larger ones, by the usual variation.
constexpr double KeptInSurge = 0.8;

/// \returns the rate that a second may make of \p Rate without a change of
/// demand, for requests that arrive at random.
double usualMaximum(double Rate) {
  return Rate + ChanceFactor * std::sqrt(Rate);
}

} // namespace

void recordEvents(DemandMeter &M, double Events) { M.Count_ += Events; }

void updateRate(DemandMeter &M, Time Now) {
  double Span = (Now - M.UpdatedAt_).inSeconds();
  if (Span < MinIntervalSeconds)
    return;
  double OldWeight = std::exp2(-Span / SmoothingHalfLife.inSeconds());
  M.Rate_ = M.Rate_ * OldWeight + M.Count_ / Span * (1 - OldWeight);
  M.Count_ = 0;
  M.UpdatedAt_ = Now;
}

void updateShare(RateShare &B, double OwnDemand, double TotalDemand,
                 std::size_t Holders, bool IsComplete) {
  B.PreviousDemand_ = B.ReportedDemand_;
  B.ReportedDemand_ = OwnDemand;
  auto Count = static_cast<double>(std::max<std::size_t>(Holders, 1));
  bool WasIdle = B.TotalDemand_ < IdleDemand;
  bool Surge = TotalDemand > usualMaximum(B.TotalDemand_);
  double Total = std::max(TotalDemand, OwnDemand);
  if (Surge || B.TotalDemand_ > usualMaximum(TotalDemand))
    Total = std::max(Total, B.TotalDemand_);
  B.TotalDemand_ = TotalDemand;
  double KnownDemand = std::min(
      OwnDemand, Surge ? B.PreviousDemand_ : usualMaximum(B.PreviousDemand_));
  // Without a report of earlier demand, all holders have even parts.
  double Fraction = Total > 0 && !WasIdle ? KnownDemand / Total : 1 / Count;
  double SafeFraction = Fraction;
  double Kept = 0;
  if (Surge) {
    SafeFraction = std::min(Fraction, B.DemandFraction_);
    // Where all holders' demand grows alike, each keeps its fraction.
    Kept = std::min({OwnDemand / Total, B.KeptFraction_, 1 / Count});
  }
  B.KeptFraction_ = std::max(SafeFraction, Kept);
  SafeFraction = std::max(SafeFraction, Kept * KeptInSurge);
  if (!IsComplete)
    SafeFraction = std::min(SafeFraction, B.FractionLimit_);
  else
    B.FractionLimit_ = SafeFraction;
  B.DemandFraction_ = Fraction;
  B.Share_ = EvenFraction / Count + (1 - EvenFraction) * SafeFraction;
}

double shareFactor(Duration Age) {
  double Factor = (ShareExpiresAfter - Age).inSeconds() /
                  (ShareExpiresAfter - ShareValidFor).inSeconds();
  return std::clamp(Factor, 0.0, 1.0);
}

namespace {

/// Local part of a rate.
struct LocalRate {
  double PerSecond_ = 0;
  double Capacity_ = 0;
};

LocalRate localRate(const RateShare &B, const GlobalRate &R,
                    std::size_t Holders, double ShareFactor) {
  double Share = B.Share_ * ShareFactor;
  double WindowSeconds = std::max(R.Window_.inSeconds(), 1.0);
  double LocalSlack = R.Slack_ * ShareFactor / static_cast<double>(Holders);
  double OverageUnits =
      R.Overage_ * (R.Rate_ * R.Window_.inSeconds() + R.Burst_);
  LocalRate Out;
  Out.PerSecond_ = R.Rate_ * (1 + R.Overage_ * RateOverage) * Share +
                   LocalSlack * RateSlack / WindowSeconds;
  Out.Capacity_ = (R.Burst_ + OverageUnits * CapacityOverage) * Share +
                  LocalSlack * CapacitySlack;
  Out.Capacity_ = std::max(Out.Capacity_, 1.0);
  return Out;
}

void refill(RateShare &B, const LocalRate &Local, Time Now) {
  double Span = std::max(0.0, (Now - B.RefilledAt_).inSeconds());
  B.Tokens_ = std::min(Local.Capacity_, B.Tokens_ + Span * Local.PerSecond_);
  B.RefilledAt_ = Now;
}

} // namespace

TakenTokens take(RateShare &B, const GlobalRate &R, std::size_t Holders,
                 double ShareFactor, unsigned Requested, unsigned Prefetch,
                 Time Now) {
  if (R.Rate_ <= 0)
    return {Requested + Prefetch, {}};
  LocalRate Local = localRate(B, R, Holders, ShareFactor);
  refill(B, Local, Now);
  TakenTokens Out;
  while (Out.Count_ < Requested && B.Tokens_ >= 1) {
    B.Tokens_ -= 1;
    ++Out.Count_;
  }
  for (; Prefetch > 0 && B.Tokens_ - 1 >= Local.Capacity_ / 2; --Prefetch) {
    B.Tokens_ -= 1;
    ++Out.Count_;
  }
  if (Out.Count_ >= Requested)
    return Out;
  constexpr double MaxWaitSeconds = 5;
  double Wait = Local.PerSecond_ > 0 ? (1 - B.Tokens_) / Local.PerSecond_
                                     : MaxWaitSeconds;
  Out.RetryAfter_ = Duration::millis(
      static_cast<std::int64_t>(std::min(Wait, MaxWaitSeconds) * 1000) + 1);
  return Out;
}

void charge(RateShare &B, const GlobalRate &R, std::size_t Holders,
            unsigned Count, Time Now) {
  if (R.Rate_ <= 0)
    return;
  LocalRate Local = localRate(B, R, Holders, 1);
  refill(B, Local, Now);
  double Floor = -Local.PerSecond_ * R.Window_.inSeconds();
  B.Tokens_ = std::max(B.Tokens_ - Count, Floor);
}

} // namespace lagoonpoint
