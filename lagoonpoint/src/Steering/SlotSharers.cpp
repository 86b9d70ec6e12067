#include "lagoonpoint/src/Steering/SlotSharers.h"

namespace lagoonpoint {

std::set<VmId> slotSharers(SlotSharers &State, const Declarations &D,
                           const ZoneId &Zone, const std::set<VmId> &Ready,
                           const VmId &Self, Time Now) {
  std::set<VmId> Out{Self};
  for (const auto &[Id, Vm] : D.Vms_) {
    if (!Vm.Entry_ || Vm.Zone_ != Zone)
      continue;
    auto [Last, New] = State.LastReady_.try_emplace(Id, Now);
    if (Ready.count(Id))
      Last->second = Now;
    if (Last->second + SlotTakeoverDelay > Now)
      Out.insert(Id);
  }
  return Out;
}

} // namespace lagoonpoint
