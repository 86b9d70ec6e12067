#include "lagoonpoint/src/Steering/FlowMeter.h"

#include <cmath>

namespace lagoonpoint {

namespace {

constexpr Duration LeastSpan = Duration::millis(500);
/// Time in which two thirds of a change show.
constexpr double SmoothingSeconds = 3;
/// Rates below are none.
constexpr double LeastRate = 1e-3;

template <class Key>
void smooth(std::map<Key, double> &Rates, std::map<Key, double> &Counted,
            double Seconds) {
  double Newest = 1 - std::exp(-Seconds / SmoothingSeconds);
  for (const auto &[Name, Count] : Counted)
    Rates.try_emplace(Name, 0);
  for (auto &[Name, Rate] : Rates) {
    auto Found = Counted.find(Name);
    double Now = Found == Counted.end() ? 0 : Found->second / Seconds;
    Rate += Newest * (Now - Rate);
  }
  std::erase_if(Rates, [](const auto &E) { return E.second < LeastRate; });
  Counted.clear();
}

} // namespace

void countCall(FlowMeter &M, const Flow &F) { M.CountedIn_[F] += 1; }

void countSent(FlowMeter &M, const RegionId &Region) {
  M.CountedOut_[Region] += 1;
}

void roll(FlowMeter &M, Time Now) {
  Duration Span = Now - M.Since_;
  if (Span < LeastSpan)
    return;
  smooth(M.Demand_, M.CountedIn_, Span.inSeconds());
  smooth(M.Sending_, M.CountedOut_, Span.inSeconds());
  M.Since_ = Now;
}

} // namespace lagoonpoint
