#include "lagoonpoint/src/Items/AllowedRegions.h"

namespace lagoonpoint {

void AllowedRegions::restrictTo(const std::vector<RegionId> &Stated) {
  if (Stated.empty())
    return;
  std::set<RegionId> Common;
  for (const RegionId &R : Stated)
    if (allows(R))
      Common.insert(R);
  Only_ = std::move(Common);
}

} // namespace lagoonpoint
