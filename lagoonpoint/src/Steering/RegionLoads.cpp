#include "lagoonpoint/src/Steering/RegionLoads.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// Half-life of a region's baseline of slots.
constexpr double BaselineHalfLifeSeconds = 2 * 3600;

bool isRetained(const RegionLoads::Report &Report, Time Now) {
  return Report.ReceivedAt_ + ReportRetention > Now;
}

double sendRate(const RegionLoads::Report &Report, const RegionId &Region) {
  auto Found = Report.SendRates_.find(Region);
  return Found == Report.SendRates_.end() ? 0 : Found->second;
}

double loadOf(const RegionLoads &Loads, const RegionId &Region, Time Now) {
  double Sum = 0;
  for (const auto &[Vm, Report] : Loads.Reports_)
    if (isRetained(Report, Now))
      Sum += sendRate(Report, Region);
  return Sum;
}

std::size_t countEntryVms(const Declarations &D, const std::set<VmId> &Ready) {
  auto Count = std::count_if(D.Vms_.begin(), D.Vms_.end(), [&](const auto &E) {
    return E.second.Entry_ && Ready.count(E.first);
  });
  return std::max<std::size_t>(1, static_cast<std::size_t>(Count));
}

} // namespace

void updateSlots(RegionLoads &Loads, const Declarations &D, Time Now) {
  std::map<RegionId, double> Sums;
  for (const auto &[Vm, Report] : Loads.Reports_) {
    auto Decl = D.Vms_.find(Vm);
    if (Decl != D.Vms_.end() && isRetained(Report, Now))
      Sums[D.Zones_.at(Decl->second.Zone_).Region_] += Report.Slots_;
  }
  for (const auto &[Id, Region] : D.Regions_) {
    RegionLoads::RegionSlots &S = Loads.Slots_[Id];
    double HalfLives =
        (Now - S.UpdatedAt_).inSeconds() / BaselineHalfLifeSeconds;
    S.Current_ = Sums[Id];
    S.Baseline_ = std::max(S.Current_, S.Baseline_ * std::exp2(-HalfLives));
    S.UpdatedAt_ = Now;
  }
}

double availableCapacity(const RegionLoads &Loads, const RegionDecl &Region) {
  double Declared = Region.Capacity_.perSecond();
  auto Slots = Loads.Slots_.find(Region.Id_);
  if (Slots == Loads.Slots_.end() || Slots->second.Baseline_ <= 0)
    return Declared;
  return Declared * Slots->second.Current_ / Slots->second.Baseline_;
}

std::map<RegionId, double> planCredits(const RegionLoads &Loads,
                                       const Declarations &D,
                                       double Utilization, const VmId &Self,
                                       const std::set<VmId> &Ready, Time Now) {
  auto OwnReport = Loads.Reports_.find(Self);
  auto Vms = static_cast<double>(countEntryVms(D, Ready));
  std::map<RegionId, double> Out;
  for (const auto &[Id, Region] : D.Regions_) {
    double Own =
        OwnReport == Loads.Reports_.end() ? 0 : sendRate(OwnReport->second, Id);
    double Load = loadOf(Loads, Id, Now);
    double Planned = availableCapacity(Loads, Region) * Utilization;
    Out[Id] =
        Load <= Planned ? Own + (Planned - Load) / Vms : Own * Planned / Load;
  }
  return Out;
}

} // namespace lagoonpoint
