#include "lagoonpoint/src/Steering/LookupPlan.h"

#include "lagoonpoint/src/Steering/Preference.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace lagoonpoint {

namespace {

/// Distance of a VM from the callers of a zone; smaller is closer.
struct Proximity {
  int Tier_ = 0; ///< 0: same zone, 1: same region, 2: linked, 3: not linked
  Duration Latency_;

  friend auto operator<=>(const Proximity &, const Proximity &) = default;
};

bool servesCallers(const Declarations &D, const VmDecl &Vm) {
  const ZoneDecl &Zone = D.Zones_.at(Vm.Zone_);
  return Vm.Entry_ && !Vm.Drained_ && !Zone.Drained_ &&
         !D.Regions_.at(Zone.Region_).Drained_;
}

Proximity proximity(const Declarations &D, const ZoneId &From,
                    const VmDecl &Vm) {
  if (Vm.Zone_ == From)
    return {0, Duration()};
  const RegionId &Here = D.Zones_.at(From).Region_;
  const RegionId &There = D.Zones_.at(Vm.Zone_).Region_;
  if (Here == There)
    return {1, Duration()};
  auto Latency = latencyBetween(D, Here, There);
  return Latency ? Proximity{2, *Latency} : Proximity{3, Duration()};
}

/// \returns the ready VMs that serve callers, by proximity.
std::map<Proximity, std::vector<VmId>>
vmsByProximity(const Declarations &D, const std::set<VmId> &Ready,
               const ZoneId &From) {
  std::map<Proximity, std::vector<VmId>> Out;
  for (const auto &[Id, Vm] : D.Vms_)
    if (Ready.count(Id) && servesCallers(D, Vm))
      Out[proximity(D, From, Vm)].push_back(Id);
  return Out;
}

VmShares target(const Declarations &D, const std::set<VmId> &Ready,
                const ZoneId &From) {
  auto Tiers = vmsByProximity(D, Ready, From);
  if (Tiers.empty())
    return {};
  std::map<VmId, double> Weights;
  for (const VmId &Vm : Tiers.begin()->second)
    Weights[Vm] = 1;
  return proportional(Weights);
}

bool isUnavailable(const Declarations &D, const std::set<VmId> &Ready,
                   const VmId &Vm) {
  auto Decl = D.Vms_.find(Vm);
  return !Ready.count(Vm) || Decl == D.Vms_.end() || !Decl->second.Entry_;
}

/// Redistributes the weights of unavailable VMs over the rest of the row, or
/// resets the row to the target if no VM is left.
void dropUnavailable(VmShares &Row, const VmShares &Target,
                     const Declarations &D, const std::set<VmId> &Ready) {
  std::erase_if(
      Row, [&](const auto &E) { return isUnavailable(D, Ready, E.first); });
  if (sumOf(Row) < ShareTolerance)
    Row = Target;
  else
    normalize(Row);
}

void advanceRow(LookupPlan::Row &Row, const VmShares &Target,
                const ShiftLimit &Limit, const Declarations &D,
                const std::set<VmId> &Ready, Time Now) {
  if (Target.empty())
    return;
  dropUnavailable(Row.Shares_, Target, D, Ready);
  double Step = allowedShift(Row.History_, Limit, Now);
  double Moved = moveTowards(Row.Shares_, Target, Step, {});
  if (Moved > 0)
    recordShift(Row.History_, Limit, std::min(Moved, Step), Now);
}

/// Weighted random shuffle: each VM comes first with a probability of its
/// weight.
void shuffleByWeight(std::vector<EntryTarget> &Targets, Random &Source) {
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::vector<std::pair<double, EntryTarget>> Keyed;
  for (const EntryTarget &T : Targets)
    Keyed.emplace_back(std::pow(Uniform(Source), 1 / T.Weight_), T);
  std::sort(Keyed.begin(), Keyed.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  for (std::size_t I = 0; I < Keyed.size(); ++I)
    Targets[I] = Keyed[I].second;
}

} // namespace

void advance(LookupPlan &Plan, const Declarations &D,
             const std::set<VmId> &Ready, Time Now) {
  std::erase_if(Plan.Rows_, [&](const auto &E) {
    return !D.Services_.count(E.first.Service_) ||
           !D.Zones_.count(E.first.Zone_);
  });
  for (const auto &[Zone, ZoneDecl] : D.Zones_) {
    VmShares Target = target(D, Ready, Zone);
    for (const auto &[Service, Decl] : D.Services_) {
      const ProfileDecl &P = D.Profiles_.at(Decl.Profile_);
      ShiftLimit Limit{P.ShiftCap_, P.ShiftEvery_ + D.Fleet_.LookupTtl_};
      advanceRow(Plan.Rows_[{Service, Zone}], Target, Limit, D, Ready, Now);
    }
  }
}

std::vector<EntryTarget> answer(const LookupPlan &Plan, const Declarations &D,
                                const std::set<VmId> &Ready,
                                const CallerGroup &A, Random &Source) {
  std::vector<EntryTarget> Out;
  auto Row = Plan.Rows_.find(A);
  if (Row == Plan.Rows_.end())
    return Out;
  const VmShares &Weights = Row->second.Shares_;
  for (const auto &[Vm, Weight] : Weights)
    if (!isUnavailable(D, Ready, Vm))
      Out.push_back({Vm, Weight});
  double Sum = 0;
  for (const EntryTarget &T : Out)
    Sum += T.Weight_;
  for (EntryTarget &T : Out)
    T.Weight_ /= Sum;
  shuffleByWeight(Out, Source);
  for (const auto &[Nearness, Vms] : vmsByProximity(D, Ready, A.Zone_))
    for (const VmId &Vm : Vms)
      if (!Weights.count(Vm))
        Out.push_back({Vm, 0});
  return Out;
}

LookupPlanSnapshot snapshotOf(const LookupPlan &Plan, Time Now) {
  LookupPlanSnapshot Out;
  for (const auto &[A, Row] : Plan.Rows_) {
    LookupPlanSnapshot::Row Snapshot{
        A.Service_, A.Zone_, {}, snapshotOf(Row.History_, Now)};
    for (const auto &[Vm, Share] : Row.Shares_)
      Snapshot.Entries_.push_back({Vm, Share});
    Out.Rows_.push_back(std::move(Snapshot));
  }
  return Out;
}

LookupPlan restorePlan(const LookupPlanSnapshot &Snapshot, Time Now) {
  LookupPlan Out;
  for (const LookupPlanSnapshot::Row &Row : Snapshot.Rows_) {
    LookupPlan::Row Into{{}, restoreHistory(Row.History_, Now)};
    for (const LookupPlanSnapshot::Entry &Part : Row.Entries_)
      Into.Shares_[Part.Vm_] = Part.Share_;
    checkShares(Into.Shares_);
    Out.Rows_[{Row.Service_, Row.Zone_}] = std::move(Into);
  }
  return Out;
}

} // namespace lagoonpoint
