#include "lagoonpoint/src/Replication/Types.h"

#include <algorithm>

namespace lagoonpoint {

const Voter *VoterConfig::findVoter(const VmId &Vm) const {
  auto Found = std::find_if(Voters_.begin(), Voters_.end(),
                            [&](const Voter &V) { return V.Vm_ == Vm; });
  return Found == Voters_.end() ? nullptr : &*Found;
}

bool VoterConfig::isLearner(const VmId &Vm) const {
  return std::find(Learners_.begin(), Learners_.end(), Vm) != Learners_.end();
}

std::vector<VmId> VoterConfig::peersOf(const VmId &Self) const {
  std::vector<VmId> Peers;
  for (const Voter &V : Voters_)
    if (V.Vm_ != Self)
      Peers.push_back(V.Vm_);
  for (const VmId &Vm : Learners_)
    if (Vm != Self)
      Peers.push_back(Vm);
  return Peers;
}

} // namespace lagoonpoint
