#include "lagoonpoint/src/Node/ViewProposer.h"

#include "lagoonpoint/Once"
#include "lagoonpoint/src/Node/OnceHost.h"

namespace lagoonpoint {

namespace {

/// A shorter difference may be due to a new view that has not yet arrived.
constexpr Duration MinDifferenceAge = Duration::millis(1000);
constexpr Duration ProposalInterval = Duration::millis(3000);

std::vector<OnceProcess> liveProcesses(const ActiveDeclarations &F,
                                       const FleetView &Fleet,
                                       const ZoneId &Zone) {
  std::vector<OnceProcess> Live;
  for (const auto &[Id, Vm] : F.Declarations_.Vms_) {
    auto Found = Fleet.Vms_.find(Id);
    if (Vm.Zone_ == Zone && Vm.Entry_ && Found != Fleet.Vms_.end() &&
        Found->second.State_ != VmState::Dead)
      Live.push_back({Id, Found->second.Incarnation_});
  }
  return Live;
}

bool matchesProcesses(const OnceView &View,
                      const std::vector<OnceProcess> &Live) {
  if (View.Members_.size() != Live.size())
    return false;
  for (const OnceProcess &Process : Live) {
    const OnceMember *Member = memberOf(View, Process.Vm_);
    if (!Member || Member->Incarnation_ != Process.Incarnation_)
      return false;
  }
  return true;
}

} // namespace

std::optional<ZoneView> viewToPropose(ViewProposer &Proposer,
                                      const ActiveDeclarations &F,
                                      const FleetView &Fleet,
                                      const ZoneId &Zone, const VmId &Self,
                                      Time Now) {
  std::vector<OnceProcess> Live = liveProcesses(F, Fleet, Zone);
  OnceView Current{Zone, Epoch(), {}};
  auto Found = F.Views_.find(Zone);
  if (Found != F.Views_.end())
    Current = onceViewOf(Found->second);
  bool First = !Live.empty() && Live.front().Vm_ == Self;
  if (!First || matchesProcesses(Current, Live)) {
    Proposer.DiffersSince_.reset();
    return std::nullopt;
  }
  if (!Proposer.DiffersSince_)
    Proposer.DiffersSince_ = Now;
  if (Now - *Proposer.DiffersSince_ < MinDifferenceAge ||
      Now < Proposer.NextProposal_)
    return std::nullopt;
  Proposer.NextProposal_ = Now + ProposalInterval;
  return zoneViewOf(nextView(Current, Live));
}

} // namespace lagoonpoint
