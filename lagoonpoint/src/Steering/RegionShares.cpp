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

} // namespace

void smoothDemand(std::map<RegionId, double> &Parts,
                  const std::map<RegionId, double> &Rates, Duration Since) {
  constexpr double HalfLife = 60; // seconds; longer than a demand wave
  double Total = sumOf(Rates);
  if (Parts.empty())
    for (const auto &[Region, Rate] : Rates)
      Parts[Region] = 1.0 / static_cast<double>(Rates.size());
  if (Total <= 0)
    return;
  double Decay = std::exp2(-Since.inSeconds() / HalfLife);
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
  std::vector<std::pair<double, RegionId>> Others;
  for (const auto &[Region, Share] : Shares)
    if (Region != Own)
      Others.push_back({-Share, Region});
  std::sort(Others.begin(), Others.end());
  std::vector<RegionId> Order{Own};
  for (const auto &[Share, Region] : Others)
    Order.push_back(Region);
  double Place = unitHash(Object);
  auto Chosen = Order.begin();
  double Sum = 0;
  for (auto It = Order.begin(); It != Order.end(); ++It) {
    Sum += valueOf(Shares, *It);
    if (Place < Sum) {
      Chosen = It;
      break;
    }
  }
  std::rotate(Order.begin(), Chosen, std::next(Chosen));
  return Order;
}

} // namespace lagoonpoint
