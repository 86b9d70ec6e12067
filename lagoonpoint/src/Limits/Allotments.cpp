#include "lagoonpoint/src/Limits/Allotments.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <cmath>
#include <vector>

namespace lagoonpoint {

namespace {

/// Burst of a link or a region, in seconds of its rate.
constexpr double BurstSeconds = 0.25;

using ZoneVms = std::vector<std::vector<VmId>>;

ZoneVms entryVmsByZone(const Declarations &D,
                       const RegionId &Region = RegionId()) {
  std::map<ZoneId, std::vector<VmId>> ByZone;
  for (const auto &[Id, Vm] : D.Vms_) {
    auto Zone = D.Zones_.find(Vm.Zone_);
    if (!Vm.Entry_ || Zone == D.Zones_.end())
      continue;
    if (Region.empty() || Zone->second.Region_ == Region)
      ByZone[Vm.Zone_].push_back(Id);
  }
  ZoneVms Out;
  for (auto &[Zone, Vms] : ByZone)
    Out.push_back(std::move(Vms));
  return Out;
}

std::size_t countVms(const ZoneVms &Zones) {
  std::size_t Count = 0;
  for (const auto &Vms : Zones)
    Count += Vms.size();
  return Count;
}

/// \returns the VMs ordered round-robin over the zones, starting at \p First.
std::vector<VmId> interleave(const ZoneVms &Zones, std::size_t First) {
  std::vector<VmId> Out;
  std::size_t Count = countVms(Zones);
  for (std::size_t Index = 0; Out.size() < Count; ++Index)
    for (std::size_t Z = 0; Z < Zones.size(); ++Z) {
      const auto &Vms = Zones[(First + Z) % Zones.size()];
      if (Index < Vms.size())
        Out.push_back(Vms[(First + Index) % Vms.size()]);
    }
  return Out;
}

void divideEvenly(Allotment &A, const ZoneVms &Zones, Amount Total) {
  for (const auto &Vms : Zones) {
    double Share = 1.0 / static_cast<double>(Zones.size() * Vms.size());
    for (const VmId &Vm : Vms)
      A.Floors_[Vm] = {Total.Rate_ * Share, Total.Burst_ * Share};
  }
}

void divideIntoWholeUnits(Allotment &A, const ZoneVms &Zones, Amount Total,
                          const std::string &Name) {
  auto Units = static_cast<std::size_t>(Total.Burst_);
  if (Units == 0)
    return;
  std::vector<VmId> Order =
      interleave(Zones, internal::stableHash(Name) % Zones.size());
  Order.resize(std::min(Order.size(), Units));
  for (const VmId &Vm : Order)
    A.Floors_[Vm] = {Total.Rate_ / static_cast<double>(Order.size()), 1};
}

double smallestShare(const ZoneVms &Zones) {
  double Smallest = 1;
  for (const auto &Vms : Zones)
    Smallest = std::min(Smallest,
                        1.0 / static_cast<double>(Zones.size() * Vms.size()));
  return Smallest;
}

} // namespace

Allotment teamAllotment(const Declarations &D, Revision R,
                        const TeamDecl &Team) {
  Allotment A{R, {Team.Rate_.perSecond(), Team.Burst_}, {}};
  ZoneVms Zones = entryVmsByZone(D);
  if (Zones.empty())
    return A;
  double Share = D.Fleet_.FloorShare_;
  Amount Reserved{A.Total_.Rate_ * Share, A.Total_.Burst_ * Share};
  if (Reserved.Burst_ * smallestShare(Zones) >= 1) {
    divideEvenly(A, Zones, Reserved);
    return A;
  }
  double OneEach = static_cast<double>(countVms(Zones));
  Reserved.Burst_ =
      std::max(Reserved.Burst_, std::min(OneEach, std::floor(Team.Burst_ / 2)));
  divideIntoWholeUnits(A, Zones, Reserved, Team.Id_.str());
  return A;
}

Allotment regionAllotment(const Declarations &D, Revision R,
                          const RegionDecl &Region) {
  double Rate = Region.Capacity_.perSecond();
  Allotment A{R, {Rate, std::max(1.0, Rate * BurstSeconds)}, {}};
  ZoneVms Zones = entryVmsByZone(D, Region.Id_);
  if (!Zones.empty())
    divideEvenly(A, Zones, A.Total_);
  return A;
}

Allotment linkAllotment(const Declarations &D, Revision R,
                        const LinkDecl &Link) {
  double Rate = Link.Cap_.bytesPerSecond() / LinkUnitBytes;
  Allotment A{R, {Rate, Rate * BurstSeconds}, {}};
  ZoneVms Zones = entryVmsByZone(D, Link.From_);
  if (!Zones.empty())
    divideEvenly(A, Zones, A.Total_);
  return A;
}

std::map<QuantityId, Allotment> allotments(const Declarations &D, Revision R) {
  std::map<QuantityId, Allotment> Out;
  for (const auto &[Id, Team] : D.Teams_)
    Out[teamRate(Id)] = teamAllotment(D, R, Team);
  for (const auto &[Id, Region] : D.Regions_)
    Out[regionCapacity(Id)] = regionAllotment(D, R, Region);
  for (const LinkDecl &Link : D.Links_)
    Out[linkBytes(Link.From_, Link.To_)] = linkAllotment(D, R, Link);
  return Out;
}

} // namespace lagoonpoint
