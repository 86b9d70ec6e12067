#include "lagoonpoint/src/Membership/Topology.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Rings up to this size are fully connected.
constexpr std::size_t SmallRing = 5;

} // namespace

std::vector<VmId> neighbours(const std::vector<VmId> &Ring, const VmId &Self) {
  std::vector<VmId> Others = Ring;
  std::erase(Others, Self);
  if (Others.size() < SmallRing)
    return Others;
  auto After = std::upper_bound(Others.begin(), Others.end(), Self);
  std::rotate(Others.begin(), After, Others.end());
  std::vector<VmId> Chosen;
  for (std::size_t Distance = 1; Distance <= Others.size(); Distance *= 2)
    Chosen.push_back(Others[Distance - 1]);
  return Chosen;
}

} // namespace lagoonpoint
