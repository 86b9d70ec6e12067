#include "lagoonpoint/src/Steering/FairRateLimiter.h"

#include <algorithm>
#include <vector>

namespace lagoonpoint {

namespace {

/// A team may accumulate its shares of this many periods, so that rates below
/// one call per period add up.
constexpr double BurstPeriods = 5;

/// Divides units over the requesting teams by weighted max-min fairness.
/// \returns the units left over
double allocateMaxMin(FairRateLimiter &G, double Units) {
  std::vector<FairRateLimiter::TeamState *> Requesting;
  for (auto &[Team, T] : G.Teams_)
    if (T.Requested_ > 0)
      Requesting.push_back(&T);
  std::sort(Requesting.begin(), Requesting.end(),
            [](const auto *A, const auto *B) {
              return A->Requested_ / A->Weight_ < B->Requested_ / B->Weight_;
            });
  double Weights = 0;
  for (const FairRateLimiter::TeamState *T : Requesting)
    Weights += T->Weight_;
  for (FairRateLimiter::TeamState *T : Requesting) {
    double Part = std::min(T->Requested_, Units * T->Weight_ / Weights);
    T->Available_ += Part;
    Units -= Part;
    Weights -= T->Weight_;
  }
  return Units;
}

void startPeriod(FairRateLimiter &G, double Rate, Time Now) {
  G.PeriodEnd_ = Now + FairRatePeriod;
  G.Rate_ = Rate;
  double Units = Rate * FairRatePeriod.inSeconds();
  double MaxUnits = std::max(1.0, BurstPeriods * Units);
  std::erase_if(G.Teams_, [](const auto &E) {
    return E.second.Requested_ <= 0 && E.second.Available_ < 1;
  });
  G.Unallocated_ =
      std::min(MaxUnits, G.Unallocated_ + allocateMaxMin(G, Units));
  for (auto &[Team, T] : G.Teams_) {
    // Units accumulated by a team that stopped requesting return to the others.
    double Kept = T.Requested_ > 0 ? std::min(T.Available_, MaxUnits) : 0;
    G.Unallocated_ = std::min(MaxUnits, G.Unallocated_ + T.Available_ - Kept);
    T.Available_ = Kept;
    T.Requested_ = 0;
  }
}

bool tryTake(double &Balance, double Units) {
  if (Balance < Units)
    return false;
  Balance -= Units;
  return true;
}

} // namespace

bool tryTakeFairShare(FairRateLimiter &G, const TeamId &Team, double Weight,
                      double Units, double Rate, Time Now) {
  if (Now >= G.PeriodEnd_)
    startPeriod(G, Rate, Now);
  FairRateLimiter::TeamState &T = G.Teams_[Team];
  T.Weight_ = Weight;
  T.Requested_ += Units;
  return tryTake(T.Available_, Units) || tryTake(G.Unallocated_, Units);
}

} // namespace lagoonpoint
