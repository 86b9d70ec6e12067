#include "lagoonpoint/src/Membership/Topology.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// Rings up to this size are fully meshed.
constexpr std::size_t SmallRing = 4;

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

std::vector<VmId> pingTargets(const std::vector<VmId> &Neighbours) {
  if (Neighbours.size() < SmallRing)
    return Neighbours;
  return {Neighbours.begin(), Neighbours.begin() + PingedNeighbours};
}

std::vector<VmId> batchTargets(const std::vector<VmId> &Neighbours,
                               std::uint64_t Round) {
  if (Neighbours.size() < SmallRing)
    return Neighbours;
  std::size_t Others = Neighbours.size() - 1;
  std::size_t First = Round % Others;
  std::size_t Second = (Round + 1 + Round / Others % (Others - 1)) % Others;
  std::vector<VmId> Out{Neighbours[0], Neighbours[1 + First]};
  if (Second != First)
    Out.push_back(Neighbours[1 + Second]);
  return Out;
}

} // namespace lagoonpoint
