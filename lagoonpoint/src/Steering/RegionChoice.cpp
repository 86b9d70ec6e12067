#include "lagoonpoint/src/Steering/RegionChoice.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <iterator>

namespace lagoonpoint {

namespace {

const RegionId &drawRegion(const RegionShares &Row, Random &Source) {
  double Point = std::uniform_real_distribution<double>(0, 1)(Source);
  for (const auto &[Region, Share] : Row) {
    Point -= Share;
    if (Point < 0)
      return Region;
  }
  return Row.rbegin()->first;
}

std::optional<RefusalReason> refusalFor(const RegionCredit &Credit,
                                        const CallBytes &Bytes, bool IsRemote) {
  if (Credit.Requests_ < 1)
    return RefusalReason::NoCapacity;
  if (!IsRemote)
    return {};
  if (Credit.BytesTo_ < Bytes.Request_ || Credit.BytesFrom_ < Bytes.Response_)
    return RefusalReason::LinkFull;
  return {};
}

} // namespace

ZoneId homeZoneOf(const BlockTable &Table, const Declarations &D,
                  const std::string &ClientAddress) {
  if (const ZoneId *Zone = zoneOf(Table, ClientAddress))
    return *Zone;
  LAGOONPOINT_ASSERT(!D.Zones_.empty(), "steering.region");
  std::uint64_t Hash = internal::stableHash(ClientAddress);
  auto Pick = static_cast<std::ptrdiff_t>(Hash % D.Zones_.size());
  return std::next(D.Zones_.begin(), Pick)->first;
}

RegionDecision chooseRegion(const Flow &F, const RegionShares &Row,
                            const SteeringView &View,
                            const std::map<RegionId, RegionCredit> &Credits,
                            const CallBytes &Bytes, const RegionId &Self,
                            Random &Source) {
  if (Row.empty())
    return {{}, RefusalReason::NoUpstream};
  const RegionId &Region = drawRegion(Row, Source);
  if (!View.Usable_.count({F.Service_, Region}))
    return {Region, RefusalReason::NoUpstream};
  auto Credit = Credits.find(Region);
  if (Credit == Credits.end())
    return {Region, Region == Self ? std::nullopt
                                   : std::optional(RefusalReason::NoCapacity)};
  return {Region, refusalFor(Credit->second, Bytes, Region != Self)};
}

} // namespace lagoonpoint
