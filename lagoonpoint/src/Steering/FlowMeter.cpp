#include "lagoonpoint/src/Steering/FlowMeter.h"

#include <cmath>

namespace lagoonpoint {

namespace {

constexpr Duration MinSpan = Duration::millis(500);
/// Time constant of the smoothing: about two thirds of a change show after it.
constexpr double SmoothingSeconds = 3;
/// Lower rates are dropped from the map.
constexpr double MinRate = 1e-3;

template <class Key>
void smooth(std::map<Key, double> &Rates, std::map<Key, double> &Counted,
            double Seconds) {
  double NewestWeight = 1 - std::exp(-Seconds / SmoothingSeconds);
  for (const auto &[Name, Count] : Counted)
    Rates.try_emplace(Name, 0);
  for (auto &[Name, Rate] : Rates) {
    auto Found = Counted.find(Name);
    double CurrentRate = Found == Counted.end() ? 0 : Found->second / Seconds;
    Rate += NewestWeight * (CurrentRate - Rate);
  }
  std::erase_if(Rates, [](const auto &E) { return E.second < MinRate; });
  Counted.clear();
}

} // namespace

void countReceived(FlowMeter &M, const Flow &F) { M.ReceivedCalls_[F] += 1; }

void countSent(FlowMeter &M, const RegionId &Region) {
  M.SentCalls_[Region] += 1;
}

void updateRates(FlowMeter &M, Time Now) {
  Duration Span = Now - M.CountingSince_;
  if (Span < MinSpan)
    return;
  smooth(M.Demand_, M.ReceivedCalls_, Span.inSeconds());
  smooth(M.SendRates_, M.SentCalls_, Span.inSeconds());
  M.CountingSince_ = Now;
}

} // namespace lagoonpoint
