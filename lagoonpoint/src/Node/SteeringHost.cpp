#include "lagoonpoint/src/Node/SteeringHost.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "steering.region";

/// \returns unlimited credits, so that the choice of a region ignores capacity
/// and link caps. AdmittedCall enforces these afterwards by leases.
std::map<RegionId, RegionCredit> unlimitedCredits(const Declarations &D) {
  std::map<RegionId, RegionCredit> Credits;
  for (const auto &[Region, Decl] : D.Regions_)
    Credits[Region];
  return Credits;
}

std::set<ZoneId> servingZones(const FleetView &Fleet,
                              const ServiceId &Service) {
  std::set<ZoneId> Zones;
  for (const UpstreamRecord &U : Fleet.Upstreams_)
    if (U.Key_.Service_ == Service)
      Zones.insert(U.Zone_);
  return Zones;
}

} // namespace

SteeringHost::SteeringHost(const Settings &S, const Clock &C, Transport &T)
    : Settings_(S), Clock_(C), Transport_(T),
      Steering_(startSteering(S.Vm_, C.now())) {}

std::set<VmId> SteeringHost::reachableVms(const FleetView &Fleet) const {
  std::set<VmId> Ready = Fleet.readyVms();
  if (Active_->Declarations_.Vms_.count(Settings_.Vm_))
    Ready.insert(Settings_.Vm_);
  std::erase_if(Ready, [&](const VmId &Vm) {
    return !Active_->Declarations_.Vms_.count(Vm);
  });
  return Ready;
}

void SteeringHost::setDeclarations(
    std::shared_ptr<const ActiveDeclarations> F) {
  std::lock_guard Guard(Lock_);
  Active_ = std::move(F);
}

void SteeringHost::tick(const FleetView &Fleet,
                        const std::map<ServiceId, double> &Slots) {
  std::vector<VmId> Others;
  std::string Update;
  {
    std::lock_guard Guard(Lock_);
    if (Active_->Revision_ == Revision())
      return;
    auto Out = lagoonpoint::tick(Steering_, Active_->Declarations_,
                                 reachableVms(Fleet), Slots, Clock_.now());
    if (!Out)
      return;
    Update = encode(*Out);
    for (const auto &[Id, Vm] : Active_->Declarations_.Vms_)
      if (Id != Settings_.Vm_)
        Others.push_back(Id);
  }
  for (const VmId &Vm : Others)
    Transport_.send({Settings_.Vm_, Vm, Channel::Steering, Update});
}

void SteeringHost::receive(const Envelope &Message) {
  auto Update = decode<SteeringUpdate>(Message.Body_, "steering.news",
                                       Message.From_.str());
  std::lock_guard Guard(Lock_);
  applyPeerUpdate(Steering_, Message.From_, Update, Clock_.now());
}

ZoneId SteeringHost::zoneOfCaller(const std::string &ClientAddress) const {
  std::lock_guard Guard(Lock_);
  return homeZoneOf(Active_->Blocks_, Active_->Declarations_, ClientAddress);
}

std::vector<EntryTarget> SteeringHost::entryVms(const ServiceId &Service,
                                                const ZoneId &Zone,
                                                const FleetView &Fleet) {
  std::lock_guard Guard(Lock_);
  return answer(Steering_.Lookups_, Active_->Declarations_, reachableVms(Fleet),
                {Service, Zone}, Random_);
}

RegionId SteeringHost::chooseRegion(const ServiceId &Service,
                                    const ZoneId &Home) {
  std::lock_guard Guard(Lock_);
  const Declarations &D = Active_->Declarations_;
  RegionDecision Decision = lagoonpoint::chooseRegion(
      Steering_, D, Service, Home, unlimitedCredits(D), {}, Random_);
  if (Decision.Refused_)
    throw Refusal(*Decision.Refused_, Ran::No, Step,
                  "the region that serves these callers can't take the call",
                  Duration::seconds(1));
  return Decision.Region_;
}

ZoneId SteeringHost::onceZone(const ServiceId &Service, const ZoneId &Home,
                              const FleetView &Fleet) {
  std::set<ZoneId> Serving = servingZones(Fleet, Service);
  std::lock_guard Guard(Lock_);
  const Declarations &D = Active_->Declarations_;
  Flow F{Service, D.Zones_.at(Home).Region_};
  auto Row = Steering_.Regions_.Rows_.find(F);
  if (Row == Steering_.Regions_.Rows_.end() || Row->second.Shares_.empty())
    return Home;
  const RegionShares &Shares = Row->second.Shares_;
  auto Best = std::max_element(
      Shares.begin(), Shares.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  if (shareOf(Shares, F.Origin_) > 0 && Serving.count(Home))
    return Home;
  for (const ZoneId &Zone : Serving) {
    auto Found = D.Zones_.find(Zone);
    if (Found != D.Zones_.end() && Found->second.Region_ == Best->first)
      return Zone;
  }
  return Home;
}

std::optional<VmId> SteeringHost::forwardVm(const ServiceId &Service,
                                            const RegionId &Region,
                                            const FleetView &Fleet,
                                            const std::set<VmId> &Tried) {
  std::lock_guard Guard(Lock_);
  const Declarations &D = Active_->Declarations_;
  for (const VmId &Vm :
       forwardTargets(Steering_, D, Service, Region, reachableVms(Fleet),
                      Clock_.now(), Random_))
    if (Vm != Settings_.Vm_ && !Tried.count(Vm) &&
        D.Vms_.at(Vm).Zone_ != Settings_.Zone_)
      return Vm;
  return std::nullopt;
}

CallBytes SteeringHost::expectedBytes(const ServiceId &Service) const {
  std::lock_guard Guard(Lock_);
  auto Found = Sizes_.find(Service);
  return Found == Sizes_.end() ? CallSize().expected()
                               : Found->second.expected();
}

void SteeringHost::recordBytes(const ServiceId &Service,
                               const CallBytes &Measured) {
  std::lock_guard Guard(Lock_);
  Sizes_[Service].record(Measured);
}

} // namespace lagoonpoint
