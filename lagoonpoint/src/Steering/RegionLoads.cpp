#include "lagoonpoint/src/Steering/RegionLoads.h"

#include <algorithm>
#include <cmath>

namespace lagoonpoint {

namespace {

/// Time in which half of a region's usual slots are forgotten.
constexpr double UsualHalfLifeSeconds = 2 * 3600;

bool isKept(const RegionLoads::Report &Report, Time Now) {
  return Report.At_ + ReportKept > Now;
}

double sendingOf(const RegionLoads::Report &Report, const RegionId &Region) {
  auto Found = Report.Sending_.find(Region);
  return Found == Report.Sending_.end() ? 0 : Found->second;
}

double loadOf(const RegionLoads &Loads, const RegionId &Region, Time Now) {
  double Sum = 0;
  for (const auto &[Vm, Report] : Loads.Reports_)
    if (isKept(Report, Now))
      Sum += sendingOf(Report, Region);
  return Sum;
}

std::size_t entryVms(const Declarations &D, const std::set<VmId> &Ready) {
  auto Count = std::count_if(D.Vms_.begin(), D.Vms_.end(), [&](const auto &E) {
    return E.second.Entry_ && Ready.count(E.first);
  });
  return std::max<std::size_t>(1, static_cast<std::size_t>(Count));
}

} // namespace

void countSlots(RegionLoads &Loads, const Declarations &D, Time Now) {
  std::map<RegionId, double> Sums;
  for (const auto &[Vm, Report] : Loads.Reports_) {
    auto Decl = D.Vms_.find(Vm);
    if (Decl != D.Vms_.end() && isKept(Report, Now))
      Sums[D.Zones_.at(Decl->second.Zone_).Region_] += Report.Slots_;
  }
  for (const auto &[Id, Region] : D.Regions_) {
    RegionLoads::RegionSlots &S = Loads.Slots_[Id];
    double HalfLives = (Now - S.At_).inSeconds() / UsualHalfLifeSeconds;
    S.Now_ = Sums[Id];
    S.Usual_ = std::max(S.Now_, S.Usual_ * std::exp2(-HalfLives));
    S.At_ = Now;
  }
}

double capacityOf(const RegionLoads &Loads, const RegionDecl &Region) {
  double Declared = Region.Capacity_.perSecond();
  auto Slots = Loads.Slots_.find(Region.Id_);
  if (Slots == Loads.Slots_.end() || Slots->second.Usual_ <= 0)
    return Declared;
  return Declared * Slots->second.Now_ / Slots->second.Usual_;
}

std::map<RegionId, double> planCredits(const RegionLoads &Loads,
                                       const Declarations &D, double Fill,
                                       const VmId &Self,
                                       const std::set<VmId> &Ready, Time Now) {
  auto Mine = Loads.Reports_.find(Self);
  auto Vms = static_cast<double>(entryVms(D, Ready));
  std::map<RegionId, double> Out;
  for (const auto &[Id, Region] : D.Regions_) {
    double Own = Mine == Loads.Reports_.end() ? 0 : sendingOf(Mine->second, Id);
    double Load = loadOf(Loads, Id, Now);
    double Planned = capacityOf(Loads, Region) * Fill;
    Out[Id] =
        Load <= Planned ? Own + (Planned - Load) / Vms : Own * Planned / Load;
  }
  return Out;
}

} // namespace lagoonpoint
