#include "lagoonpoint/src/Limits/Floors.h"

#include "lagoonpoint/src/Core/util/StableHash.h"

#include <cmath>
#include <vector>

namespace lagoonpoint {

namespace {

/// Seconds of a link's or a region's rate that may be stored as burst.
constexpr double StoredSeconds = 0.25;

using ZoneVms = std::vector<std::vector<VmId>>;

ZoneVms entryVms(const Declarations &D, const RegionId &Only = RegionId()) {
  std::map<ZoneId, std::vector<VmId>> ByZone;
  for (const auto &[Id, Vm] : D.Vms_) {
    auto Zone = D.Zones_.find(Vm.Zone_);
    if (!Vm.Entry_ || Zone == D.Zones_.end())
      continue;
    if (Only.empty() || Zone->second.Region_ == Only)
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

/// One VM of each zone in turn, then the next of each.
std::vector<VmId> interleave(const ZoneVms &Zones, std::size_t First) {
  std::vector<VmId> Out;
  std::size_t Count = countVms(Zones);
  for (std::size_t Place = 0; Out.size() < Count; ++Place)
    for (std::size_t Z = 0; Z < Zones.size(); ++Z) {
      const auto &Vms = Zones[(First + Z) % Zones.size()];
      if (Place < Vms.size())
        Out.push_back(Vms[(First + Place) % Vms.size()]);
    }
  return Out;
}

void divideEvenly(Allotment &A, const ZoneVms &Zones, Amount Sum) {
  for (const auto &Vms : Zones) {
    double Share = 1.0 / static_cast<double>(Zones.size() * Vms.size());
    for (const VmId &Vm : Vms)
      A.Floors_[Vm] = {Sum.Rate_ * Share, Sum.Burst_ * Share};
  }
}

void divideWhole(Allotment &A, const ZoneVms &Zones, Amount Sum,
                 const std::string &Name) {
  auto Units = static_cast<std::size_t>(Sum.Burst_);
  if (Units == 0)
    return;
  std::vector<VmId> Order =
      interleave(Zones, internal::stableHash(Name) % Zones.size());
  Order.resize(std::min(Order.size(), Units));
  for (const VmId &Vm : Order)
    A.Floors_[Vm] = {Sum.Rate_ / static_cast<double>(Order.size()), 1};
}

double smallestShare(const ZoneVms &Zones) {
  double Least = 1;
  for (const auto &Vms : Zones)
    Least =
        std::min(Least, 1.0 / static_cast<double>(Zones.size() * Vms.size()));
  return Least;
}

} // namespace

Allotment teamAllotment(const Declarations &D, Revision R,
                        const TeamDecl &Team) {
  Allotment A{R, {Team.Rate_.perSecond(), Team.Burst_}, {}};
  ZoneVms Zones = entryVms(D);
  if (Zones.empty())
    return A;
  double Share = D.Fleet_.FloorShare_;
  Amount Sum{A.Whole_.Rate_ * Share, A.Whole_.Burst_ * Share};
  if (Sum.Burst_ * smallestShare(Zones) >= 1) {
    divideEvenly(A, Zones, Sum);
    return A;
  }
  double OneEach = static_cast<double>(countVms(Zones));
  Sum.Burst_ =
      std::max(Sum.Burst_, std::min(OneEach, std::floor(Team.Burst_ / 2)));
  divideWhole(A, Zones, Sum, Team.Id_.str());
  return A;
}

Allotment regionAllotment(const Declarations &D, Revision R,
                          const RegionDecl &Region) {
  double Rate = Region.Capacity_.perSecond();
  Allotment A{R, {Rate, std::max(1.0, Rate * StoredSeconds)}, {}};
  ZoneVms Zones = entryVms(D, Region.Id_);
  if (!Zones.empty())
    divideEvenly(A, Zones, A.Whole_);
  return A;
}

Allotment linkAllotment(const Declarations &D, Revision R,
                        const LinkDecl &Link) {
  double Rate = Link.Cap_.bytesPerSecond() / LinkUnitBytes;
  Allotment A{R, {Rate, Rate * StoredSeconds}, {}};
  ZoneVms Zones = entryVms(D, Link.From_);
  if (!Zones.empty())
    divideEvenly(A, Zones, A.Whole_);
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
