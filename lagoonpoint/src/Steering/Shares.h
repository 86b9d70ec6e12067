#pragma once

#include "lagoonpoint/Core"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace lagoonpoint {

/// Fractions of a whole by destination. They sum to 1, or the map is empty.
/// \ingroup Steering
template <class D> using Shares = std::map<D, double>;

using RegionShares = Shares<RegionId>;
using VmShares = Shares<VmId>;

/// Rounding tolerance for sums and bounds of shares.
inline constexpr double ShareTolerance = 1e-9;

/// \returns the share of a destination, or 0 if it is absent.
template <class D> double shareOf(const Shares<D> &S, const D &Destination) {
  auto Found = S.find(Destination);
  return Found == S.end() ? 0 : Found->second;
}

/// \returns the sum of all shares.
template <class D> double sumOf(const Shares<D> &S) {
  double Sum = 0;
  for (const auto &[Destination, Share] : S)
    Sum += Share;
  return Sum;
}

/// \returns the fraction of the whole whose destination differs between \p A
/// and \p B: their total variation distance.
template <class D> double distance(const Shares<D> &A, const Shares<D> &B) {
  double Moved = 0;
  for (const auto &[Destination, Share] : A)
    Moved += std::max(0.0, Share - shareOf(B, Destination));
  return Moved;
}

/// Drops shares below ShareTolerance and scales the others to sum to 1.
template <class D> void normalize(Shares<D> &S) {
  std::erase_if(S, [](const auto &E) { return E.second < ShareTolerance; });
  double Sum = sumOf(S);
  for (auto &[Destination, Share] : S)
    Share /= Sum;
}

/// Validates shares received from another VM.
/// \throws Error if a share is negative, or if they are not empty and do not
/// sum to 1
template <class D> void checkShares(const Shares<D> &S) {
  for (const auto &[Destination, Share] : S)
    if (!(Share >= 0))
      throw Error("steering.plan", "", "negative share");
  if (!S.empty() && !(std::abs(sumOf(S) - 1) < 1e-6))
    throw Error("steering.plan", "", "shares don't sum to 1");
}

/// \returns shares proportional to the weights; empty if the weights sum to 0.
template <class D> Shares<D> proportional(const std::map<D, double> &Weights) {
  Shares<D> Out = Weights;
  if (sumOf(Out) <= 0)
    return {};
  normalize(Out);
  return Out;
}

namespace internal {

/// Takes up to \p Amount from the eligible shares that exceed their target, in
/// proportion to their surplus.
/// \returns the amount taken
template <class D, class Filter>
double takeSurplus(Shares<D> &From, const Shares<D> &Target, double Amount,
                   Filter IsEligible) {
  double Surplus = 0;
  for (const auto &[Destination, Share] : From)
    if (IsEligible(Destination))
      Surplus += std::max(0.0, Share - shareOf(Target, Destination));
  if (Surplus <= 0 || Amount <= 0)
    return 0;
  double Part = std::min(1.0, Amount / Surplus);
  for (auto &[Destination, Share] : From)
    if (IsEligible(Destination))
      Share -= Part * std::max(0.0, Share - shareOf(Target, Destination));
  return Part * Surplus;
}

/// Adds \p Amount to the shares below their target, in proportion to their
/// deficit.
template <class D>
void fillDeficit(Shares<D> &To, const Shares<D> &Target, double Amount) {
  double Deficit = distance(Target, To);
  if (Deficit <= 0)
    return;
  for (const auto &[Destination, Share] : Target) {
    double Missing = std::max(0.0, Share - shareOf(To, Destination));
    if (Missing > 0)
      To[Destination] += Amount * Missing / Deficit;
  }
}

} // namespace internal

/// Moves shares towards a target.
/// \param Step largest fraction of the whole to move
/// \param Urgent destinations to drain first
/// \returns the fraction moved
template <class D>
double moveTowards(Shares<D> &S, const Shares<D> &Target, double Step,
                   const std::set<D> &Urgent) {
  Shares<D> Next = S;
  double Moved =
      internal::takeSurplus(Next, Target, Step, [&](const D &Destination) {
        return Urgent.count(Destination) != 0;
      });
  Moved += internal::takeSurplus(Next, Target, Step - Moved,
                                 [](const D &) { return true; });
  if (Moved <= 0)
    return 0;
  internal::fillDeficit(Next, Target, Moved);
  normalize(Next);
  double Actual = distance(S, Next);
  LAGOONPOINT_ASSERT(Actual <= Step + ShareTolerance * S.size(),
                     "steering.shift");
  LAGOONPOINT_ASSERT(std::abs(sumOf(Next) - 1) < 1e-6, "steering.shift");
  S = std::move(Next);
  return Actual;
}

} // namespace lagoonpoint
