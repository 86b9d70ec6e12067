#include "lagoonpoint/src/Limits/DemandShare.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// Weight of the newest span in a smoothed rate halves what is older by this.
constexpr Duration SmoothedOver = Duration::seconds(2);
constexpr double ShortestSpan = 0.05; ///< seconds

} // namespace

void count(DemandMeter &M, double Events) { M.Count_ += Events; }

void settle(DemandMeter &M, Time Now) {
  double Span = (Now - M.Since_).inSeconds();
  if (Span < ShortestSpan)
    return;
  double Kept = std::exp2(-Span / SmoothedOver.inSeconds());
  M.Rate_ = M.Rate_ * Kept + M.Count_ / Span * (1 - Kept);
  M.Count_ = 0;
  M.Since_ = Now;
}

void setShare(SharedBucket &B, double Own, double AllDemand,
              std::size_t Holders) {
  B.ToldBefore_ = B.Told_;
  B.Told_ = Own;
  double Even = 1.0 / static_cast<double>(std::max<std::size_t>(Holders, 1));
  double All = std::max({AllDemand, B.Sum_, B.Told_});
  B.Sum_ = AllDemand;
  double Known = std::min(B.Told_, B.ToldBefore_);
  double ByDemand = All > 0 ? Known / All : Even;
  double Sure = std::min(ByDemand, B.ByDemand_);
  B.ByDemand_ = ByDemand;
  B.Share_ = EvenPart * Even + (1 - EvenPart) * Sure;
}

double shareLeft(Duration Age) {
  double Left =
      (ShareEnds - Age).inSeconds() / (ShareEnds - ShareKept).inSeconds();
  return std::clamp(Left, 0.0, 1.0);
}

TakenTokens take(SharedBucket &B, const SharedRate &R, std::size_t Holders,
                 double Part, unsigned Wanted, unsigned Ahead, Time Now) {
  if (R.Rate_ <= 0)
    return {Wanted + Ahead, {}};
  double Share = B.Share_ * Part;
  double Own = R.Rate_ * Share;
  double Beyond = R.Overage_ * (R.Rate_ * R.Window_.inSeconds() + R.Burst_);
  double Most = (R.Burst_ + Beyond * OverageUsed) * Share +
                R.Slack_ * SlackUsed * Part / static_cast<double>(Holders);
  Most = std::max(Most, 1.0);
  double Span = (Now - B.Filled_).inSeconds();
  B.Tokens_ = std::min(Most, B.Tokens_ + std::max(0.0, Span) * Own);
  B.Filled_ = Now;
  TakenTokens Out;
  while (Out.Count_ < Wanted && B.Tokens_ >= 1) {
    B.Tokens_ -= 1;
    ++Out.Count_;
  }
  for (; Ahead > 0 && B.Tokens_ - 1 >= Most / 2; --Ahead) {
    B.Tokens_ -= 1;
    ++Out.Count_;
  }
  if (Out.Count_ >= Wanted)
    return Out;
  constexpr double LongestWait = 5; // seconds
  double Wait = Own > 0 ? (1 - B.Tokens_) / Own : LongestWait;
  Out.Wait_ = Duration::millis(
      static_cast<std::int64_t>(std::min(Wait, LongestWait) * 1000) + 1);
  return Out;
}

} // namespace lagoonpoint
