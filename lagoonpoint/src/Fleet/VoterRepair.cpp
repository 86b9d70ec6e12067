#include "lagoonpoint/src/Fleet/VoterRepair.h"

namespace lagoonpoint {

std::optional<VoterRepairStep>
nextVoterRepairStep(const VoterConfig &Config,
                    const std::vector<NodeRecord> &Live,
                    const std::set<VmId> &Silent) {
  for (const NodeRecord &Core : Live) {
    const Voter *V = Config.findVoter(Core.Vm_);
    if (V && V->Disk_ != Core.Disk_)
      return VoterRepairStep{false, Core.Vm_};
  }
  for (const NodeRecord &Core : Live)
    if (!Config.findVoter(Core.Vm_) && !Config.isLearner(Core.Vm_))
      return VoterRepairStep{true, Core.Vm_};
  for (const VmId &Vm : Silent)
    if (Config.findVoter(Vm) || Config.isLearner(Vm))
      return VoterRepairStep{false, Vm};
  return std::nullopt;
}

} // namespace lagoonpoint
