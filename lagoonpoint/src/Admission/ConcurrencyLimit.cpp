#include "lagoonpoint/src/Admission/ConcurrencyLimit.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

void adjust(ConcurrencyLimit &L, double MeanPart, double InProgress,
            const ConcurrencyLimitOptions &Options) {
  double Change = Options.Target_ / std::max(MeanPart, 0.01);
  if (MeanPart > Options.Target_) {
    double Used = std::min(L.Limit_.value_or(InProgress), InProgress);
    L.Limit_ = std::max(Used * std::max(Change, Options.MaxDecrease_),
                        Options.MinLimit_);
  } else if (L.Limit_) {
    *L.Limit_ *= std::min(Change, Options.MaxIncrease_);
    if (*L.Limit_ >
        std::max(InProgress, Options.MinLimit_) * Options.LiftedFactor_)
      L.Limit_.reset();
  }
}

} // namespace

bool hasRoom(const ConcurrencyLimit &L) {
  return !L.Limit_ || L.InProgress_ < *L.Limit_;
}

void recordStart(ConcurrencyLimit &L) { ++L.InProgress_; }

void recordEnd(ConcurrencyLimit &L, std::optional<double> Part,
               const ConcurrencyLimitOptions &Options, Time Now) {
  double InProgress = L.InProgress_;
  L.InProgress_ -= L.InProgress_ > 0 ? 1 : 0;
  if (!Part)
    return;
  if (L.Calls_ == 0)
    L.IntervalStart_ = Now;
  L.SumOfParts_ += std::clamp(*Part, 0.0, 1.0);
  ++L.Calls_;
  if (L.Calls_ < Options.MinCalls_ ||
      Now - L.IntervalStart_ < Options.Interval_)
    return;
  adjust(L, L.SumOfParts_ / L.Calls_, InProgress, Options);
  L.SumOfParts_ = 0;
  L.Calls_ = 0;
}

} // namespace lagoonpoint
