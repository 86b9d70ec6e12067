#include "lagoonpoint/src/Steering/RegionShares.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

double sumOf(const std::map<RegionId, double> &Values) {
  double Sum = 0;
  for (const auto &[Region, Value] : Values)
    Sum += Value;
  return Sum;
}

double valueOf(const std::map<RegionId, double> &Values, const RegionId &R) {
  auto Found = Values.find(R);
  return Found == Values.end() ? 0 : Found->second;
}

/// \returns a region's part of the total demand in proportion to its slots.
double capacityShare(const RegionId &R, const std::map<RegionId, double> &Slots,
                     double AllSlots, double AllDemand) {
  return AllDemand * valueOf(Slots, R) / AllSlots;
}

/// \returns a hash of an object, uniform in [0, 1).
double unitHash(const std::string &Object) {
  std::uint64_t H = internal::stableHash("region/" + Object);
  H = (H ^ (H >> 33)) * 0xff51afd7ed558ccdULL;
  H ^= H >> 33;
  return static_cast<double>(H >> 11) / 9007199254740992.0;
}

/// \returns \p Own and then the others by share.
std::vector<RegionId> byShare(const RegionId &Own, const RegionShares &Shares) {
  std::vector<std::pair<double, RegionId>> Others;
  for (const auto &[Region, Share] : Shares)
    if (Region != Own)
      Others.push_back({-Share, Region});
  std::sort(Others.begin(), Others.end());
  std::vector<RegionId> Order{Own};
  for (const auto &[Share, Region] : Others)
    Order.push_back(Region);
  return Order;
}

/// \returns the region in whose section of [0, 1) \p Place is. The sections are
/// as long as the shares and in the given order.
RegionId drawRegion(const std::vector<RegionId> &Order,
                    const RegionShares &Shares, double Place) {
  double Sum = 0;
  for (const RegionId &Region : Order) {
    Sum += valueOf(Shares, Region);
    if (Place < Sum)
      return Region;
  }
  return Order.front();
}

std::vector<RegionId> moveToFront(std::vector<RegionId> Order,
                                  const RegionId &First) {
  auto At = std::find(Order.begin(), Order.end(), First);
  std::rotate(Order.begin(), At, std::next(At));
  return Order;
}

} // namespace

void smoothDemand(std::map<RegionId, double> &Parts,
                  const std::map<RegionId, double> &Rates, Duration Since,
                  Duration HalfLife) {
  double Total = sumOf(Rates);
  if (Parts.empty())
    for (const auto &[Region, Rate] : Rates)
      Parts[Region] = 1.0 / static_cast<double>(Rates.size());
  if (Total <= 0)
    return;
  double Decay = std::exp2(-Since.inSeconds() / HalfLife.inSeconds());
  for (const auto &[Region, Rate] : Rates)
    Parts[Region] = Parts[Region] * Decay + Rate / Total * (1 - Decay);
}

RegionShares targetShares(const RegionId &Own,
                          const std::map<RegionId, double> &Slots,
                          const std::map<RegionId, double> &Demand) {
  double AllSlots = sumOf(Slots);
  double AllDemand = sumOf(Demand);
  double OwnDemand = valueOf(Demand, Own);
  if (AllSlots <= 0)
    return {};
  if (AllDemand <= 0 || OwnDemand <= 0)
    return valueOf(Slots, Own) > 0 ? RegionShares{{Own, 1}} : RegionShares{};
  double Kept =
      std::min(OwnDemand, capacityShare(Own, Slots, AllSlots, AllDemand));
  RegionShares Out{{Own, Kept / OwnDemand}};
  std::map<RegionId, double> Spare;
  for (const auto &[Region, Count] : Slots) {
    double Allowed = capacityShare(Region, Slots, AllSlots, AllDemand);
    if (Region != Own)
      Spare[Region] = std::max(0.0, Allowed - valueOf(Demand, Region));
  }
  double AllSpare = sumOf(Spare);
  if (AllSpare <= 0) {
    Out[Own] = 1;
    return Out;
  }
  for (const auto &[Region, Amount] : Spare)
    Out[Region] = (1 - Kept / OwnDemand) * Amount / AllSpare;
  return Out;
}

RegionShares stepTowards(const RegionShares &Now, const RegionShares &Target,
                         double MaxMoved) {
  if (Now.empty())
    return Target;
  double Moved = 0;
  for (const auto &[Region, Share] : Target)
    Moved += std::max(0.0, Share - valueOf(Now, Region));
  double Step = Moved <= MaxMoved ? 1 : MaxMoved / Moved;
  RegionShares Out;
  for (const auto &[Region, Share] : Target)
    Out[Region] = valueOf(Now, Region) + (Share - valueOf(Now, Region)) * Step;
  for (const auto &[Region, Share] : Now)
    if (!Target.count(Region))
      Out[Region] = Share * (1 - Step);
  return Out;
}

std::vector<RegionId> regionOrder(const RegionId &Own,
                                  const RegionShares &Shares,
                                  const std::string &Object) {
  std::vector<RegionId> Order = byShare(Own, Shares);
  RegionId Drawn = drawRegion(Order, Shares, unitHash(Object));
  return moveToFront(std::move(Order), Drawn);
}

std::vector<RegionId> steadyRegionOrder(const RegionId &Own,
                                        const RegionShares &Shares,
                                        const std::string &Object) {
  // The own region is in the middle, because it mostly exchanges calls with
  // each of the others and these seldom with each other.
  std::vector<RegionId> Fixed;
  for (const auto &[Region, Share] : Shares)
    if (Region != Own)
      Fixed.push_back(Region);
  Fixed.insert(Fixed.begin() + static_cast<std::ptrdiff_t>(Fixed.size() / 2),
               Own);
  // unitHash() maps similar names to nearby places, which would move together.
  std::uint64_t H = internal::mixBits(internal::stableHash("region/" + Object));
  double Place = static_cast<double>(H >> 11) / 9007199254740992.0;
  return moveToFront(byShare(Own, Shares), drawRegion(Fixed, Shares, Place));
}

} // namespace lagoonpoint
