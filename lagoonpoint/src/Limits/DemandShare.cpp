#include "lagoonpoint/src/Limits/DemandShare.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// Weight of the newest span in a smoothed rate halves what is older by this.
constexpr Duration SmoothedOver = Duration::seconds(5);
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

double tellDemand(SharedBucket &B, Time Now) {
  settle(B.Asked_, Now);
  B.ToldBefore_ = B.Told_;
  B.Told_ = B.Asked_.Rate_;
  return B.Told_;
}

void setShare(SharedBucket &B, double AllDemand, std::size_t Vms) {
  double Even = 1.0 / static_cast<double>(std::max<std::size_t>(Vms, 1));
  double All = std::max({AllDemand, B.Sum_, B.Told_});
  B.Sum_ = AllDemand;
  double Own = std::min(B.Told_, B.ToldBefore_);
  double ByDemand = All > 0 ? Own / All : Even;
  double Sure = std::min(ByDemand, B.ByDemand_);
  B.ByDemand_ = ByDemand;
  B.Share_ = EvenPart * Even + (1 - EvenPart) * Sure;
}

double shareLeft(Duration Age) {
  double Left =
      (ShareEnds - Age).inSeconds() / (ShareEnds - ShareKept).inSeconds();
  return std::clamp(Left, 0.0, 1.0);
}

Duration take(SharedBucket &B, const SharedRate &R, std::size_t Vms,
              Duration Age, Time Now) {
  if (R.Rate_ <= 0)
    return Duration();
  double Share = B.Share_ * shareLeft(Age);
  double Own = R.Rate_ * Share;
  double Beyond = R.Overage_ * (R.Rate_ * R.Window_.inSeconds() + R.Burst_);
  double Most = (R.Burst_ + Beyond * OverageUsed) * Share +
                R.Slack_ * SlackUsed / static_cast<double>(Vms);
  Most = std::max(Most, 1.0);
  double Span = (Now - B.Filled_).inSeconds();
  B.Tokens_ = std::min(Most, B.Tokens_ + std::max(0.0, Span) * Own);
  B.Filled_ = Now;
  if (B.Tokens_ >= 1) {
    B.Tokens_ -= 1;
    return Duration();
  }
  constexpr double LongestWait = 5; // seconds
  double Wait = Own > 0 ? (1 - B.Tokens_) / Own : LongestWait;
  return Duration::millis(
      static_cast<std::int64_t>(std::min(Wait, LongestWait) * 1000) + 1);
}

} // namespace lagoonpoint
