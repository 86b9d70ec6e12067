#include "lagoonpoint/src/Node/ViewKeeper.h"

#include "lagoonpoint/Once"
#include "lagoonpoint/src/Node/OnceHost.h"

namespace lagoonpoint {

namespace {

/// A difference shorter than this may be a view that is still on its way.
constexpr Duration Patience = Duration::millis(1000);
constexpr Duration ProposeEvery = Duration::millis(3000);

std::vector<OnceProcess> aliveIn(const InForce &F, const FleetView &Fleet,
                                 const ZoneId &Zone) {
  std::vector<OnceProcess> Alive;
  for (const auto &[Id, Vm] : F.Declared_.Vms_) {
    auto Found = Fleet.Vms_.find(Id);
    if (Vm.Zone_ == Zone && Vm.Entry_ && Found != Fleet.Vms_.end() &&
        Found->second.State_ != VmState::Dead)
      Alive.push_back({Id, Found->second.Incarnation_});
  }
  return Alive;
}

bool fits(const OnceView &View, const std::vector<OnceProcess> &Alive) {
  if (View.Members_.size() != Alive.size())
    return false;
  for (const OnceProcess &Each : Alive) {
    const OnceMember *Member = memberOf(View, Each.Vm_);
    if (!Member || Member->Incarnation_ != Each.Incarnation_)
      return false;
  }
  return true;
}

} // namespace

std::optional<ZoneView> viewToPropose(ViewKeeper &Keeper, const InForce &F,
                                      const FleetView &Fleet,
                                      const ZoneId &Zone, const VmId &Self,
                                      Time Now) {
  std::vector<OnceProcess> Alive = aliveIn(F, Fleet, Zone);
  OnceView Current{Zone, Epoch(), {}};
  auto Found = F.Views_.find(Zone);
  if (Found != F.Views_.end())
    Current = onceViewOf(Found->second);
  bool First = !Alive.empty() && Alive.front().Vm_ == Self;
  if (!First || fits(Current, Alive)) {
    Keeper.DiffersSince_.reset();
    return std::nullopt;
  }
  if (!Keeper.DiffersSince_)
    Keeper.DiffersSince_ = Now;
  if (Now - *Keeper.DiffersSince_ < Patience || Now < Keeper.NextProposal_)
    return std::nullopt;
  Keeper.NextProposal_ = Now + ProposeEvery;
  return zoneViewOf(nextView(Current, Alive));
}

} // namespace lagoonpoint
