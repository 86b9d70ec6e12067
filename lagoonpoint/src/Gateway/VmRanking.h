#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/Steering"

#include <cstdint>
#include <vector>

namespace lagoonpoint {

/// \class VmRanking
/// \ingroup Gateway
/// \brief Ranks the entry VMs for an upstream by rendezvous hashing. All VMs
/// that know the same entry VMs rank them alike. The names of the VMs are
/// hashed once for all upstreams.
class VmRanking {
public:
  explicit VmRanking(std::vector<VmId> Vms);

  const std::vector<VmId> &vms() const { return Vms_; }
  /// \returns whether a VM ranks first, false for a VM that is not ranked.
  bool isFirst(const VmId &Vm, const UpstreamId &Upstream) const;
  /// \returns the position of a VM. One that is not ranked comes last. While
  /// the entry VMs are not known, it is the first of very many, whose part is
  /// small.
  LimitSharer sharer(const VmId &Vm, const UpstreamId &Upstream) const;

private:
  std::vector<std::uint64_t> weights(const UpstreamId &Upstream) const;

  std::vector<VmId> Vms_;
  std::vector<std::uint64_t> Hashes_; ///< of the names, in the same order
};

} // namespace lagoonpoint
