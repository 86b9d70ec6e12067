#include "lagoonpoint/src/Steering/FairGate.h"

#include <algorithm>
#include <vector>

namespace lagoonpoint {

namespace {

/// A team may save up parts of this many periods, so that rates of less than a
/// call a period add up.
constexpr double SavedPeriods = 5;

/// Divides units max-min by weight over the teams; \returns what is left.
double divide(FairGate &G, double Units) {
  std::vector<FairGate::TeamState *> Open;
  for (auto &[Team, T] : G.Teams_)
    if (T.Asked_ > 0)
      Open.push_back(&T);
  std::sort(Open.begin(), Open.end(), [](const auto *A, const auto *B) {
    return A->Asked_ / A->Weight_ < B->Asked_ / B->Weight_;
  });
  double Weights = 0;
  for (const FairGate::TeamState *T : Open)
    Weights += T->Weight_;
  for (FairGate::TeamState *T : Open) {
    double Part = std::min(T->Asked_, Units * T->Weight_ / Weights);
    T->Granted_ += Part;
    Units -= Part;
    Weights -= T->Weight_;
  }
  return Units;
}

void startPeriod(FairGate &G, double Rate, Time Now) {
  G.PeriodEnd_ = Now + FairPeriod;
  G.Rate_ = Rate;
  double Units = Rate * FairPeriod.inSeconds();
  double Most = std::max(1.0, SavedPeriods * Units);
  std::erase_if(G.Teams_, [](const auto &E) {
    return E.second.Asked_ <= 0 && E.second.Granted_ < 1;
  });
  G.Spare_ = std::min(Most, G.Spare_ + divide(G, Units));
  for (auto &[Team, T] : G.Teams_) {
    // What a team that stopped asking saved up is the others' again.
    double Kept = T.Asked_ > 0 ? std::min(T.Granted_, Most) : 0;
    G.Spare_ = std::min(Most, G.Spare_ + T.Granted_ - Kept);
    T.Granted_ = Kept;
    T.Asked_ = 0;
  }
}

bool takeFrom(double &Store, double Units) {
  if (Store < Units)
    return false;
  Store -= Units;
  return true;
}

} // namespace

bool pass(FairGate &G, const TeamId &Team, double Weight, double Units,
          double Rate, Time Now) {
  if (Now >= G.PeriodEnd_)
    startPeriod(G, Rate, Now);
  FairGate::TeamState &T = G.Teams_[Team];
  T.Weight_ = Weight;
  T.Asked_ += Units;
  return takeFrom(T.Granted_, Units) || takeFrom(G.Spare_, Units);
}

} // namespace lagoonpoint
