#include "lagoonpoint/src/Steering/RegionLoads.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

double sendingOf(const RegionLoads::Report &Report, const RegionId &Region) {
  auto Found = Report.Sending_.find(Region);
  return Found == Report.Sending_.end() ? 0 : Found->second;
}

double loadOf(const RegionLoads &Loads, const RegionId &Region, Time Now) {
  double Sum = 0;
  for (const auto &[Vm, Report] : Loads.Reports_)
    if (Report.At_ + ReportKept > Now)
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
    double Planned = Region.Capacity_.perSecond() * Fill;
    Out[Id] =
        Load <= Planned ? Own + (Planned - Load) / Vms : Own * Planned / Load;
  }
  return Out;
}

} // namespace lagoonpoint
