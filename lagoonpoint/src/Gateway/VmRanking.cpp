#include "lagoonpoint/src/Gateway/VmRanking.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <algorithm>
#include <limits>

namespace lagoonpoint {

VmRanking::VmRanking(std::vector<VmId> Vms) : Vms_(std::move(Vms)) {
  for (const VmId &Vm : Vms_)
    Hashes_.push_back(internal::stableHash(Vm.str() + "~"));
}

std::vector<std::uint64_t>
VmRanking::weights(const UpstreamId &Upstream) const {
  std::vector<std::uint64_t> Out;
  Out.reserve(Hashes_.size());
  for (std::uint64_t Hash : Hashes_)
    Out.push_back(
        internal::mixBits(internal::stableHash(Upstream.str(), Hash)));
  return Out;
}

bool VmRanking::isFirst(const VmId &Vm, const UpstreamId &Upstream) const {
  std::vector<std::uint64_t> Weights = weights(Upstream);
  auto Best = std::max_element(Weights.begin(), Weights.end());
  return Best != Weights.end() &&
         Vms_[static_cast<std::size_t>(Best - Weights.begin())] == Vm;
}

LimitSharer VmRanking::sharer(const VmId &Vm,
                              const UpstreamId &Upstream) const {
  if (Vms_.empty())
    return {0, std::numeric_limits<std::size_t>::max()};
  auto Own = std::find(Vms_.begin(), Vms_.end(), Vm);
  if (Own == Vms_.end())
    return {Vms_.size(), Vms_.size() + 1};
  std::vector<std::uint64_t> Weights = weights(Upstream);
  std::uint64_t OwnWeight =
      Weights[static_cast<std::size_t>(Own - Vms_.begin())];
  auto Rank = std::count_if(Weights.begin(), Weights.end(),
                            [&](std::uint64_t W) { return W > OwnWeight; });
  return {static_cast<std::size_t>(Rank), Vms_.size()};
}

} // namespace lagoonpoint
