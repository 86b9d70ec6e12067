#include "lagoonpoint/src/Node/Steerer.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

constexpr const char *Step = "steering.region";

/// Capacity and links are taken from their leases once the region is drawn.
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

Steerer::Steerer(const Settings &S, const Clock &C, Transport &T)
    : Settings_(S), Clock_(C), Transport_(T),
      Steering_(startSteering(S.Vm_, C.now())) {}

std::set<VmId> Steerer::inContact(const FleetView &Fleet) const {
  std::set<VmId> Ready = Fleet.readyVms();
  if (InForce_->Declared_.Vms_.count(Settings_.Vm_))
    Ready.insert(Settings_.Vm_);
  std::erase_if(Ready, [&](const VmId &Vm) {
    return !InForce_->Declared_.Vms_.count(Vm);
  });
  return Ready;
}

void Steerer::setInForce(std::shared_ptr<const InForce> F) {
  std::lock_guard Guard(Lock_);
  InForce_ = std::move(F);
}

void Steerer::tick(const FleetView &Fleet,
                   const std::map<ServiceId, double> &Slots) {
  std::vector<VmId> Others;
  std::string News;
  {
    std::lock_guard Guard(Lock_);
    if (InForce_->Revision_ == Revision())
      return;
    auto Out = lagoonpoint::tick(Steering_, InForce_->Declared_,
                                 inContact(Fleet), Slots, Clock_.now());
    if (!Out)
      return;
    News = encode(*Out);
    for (const auto &[Id, Vm] : InForce_->Declared_.Vms_)
      if (Id != Settings_.Vm_)
        Others.push_back(Id);
  }
  for (const VmId &Vm : Others)
    Transport_.send({Settings_.Vm_, Vm, Channel::Steering, News});
}

void Steerer::receive(const Envelope &Message) {
  auto News = decode<SteeringUpdate>(Message.Body_, "steering.news",
                                     Message.From_.str());
  std::lock_guard Guard(Lock_);
  applyPeerUpdate(Steering_, Message.From_, News, Clock_.now());
}

ZoneId Steerer::zoneOfCaller(const std::string &ClientAddress) const {
  std::lock_guard Guard(Lock_);
  return homeZoneOf(InForce_->Blocks_, InForce_->Declared_, ClientAddress);
}

std::vector<EntryTarget> Steerer::entryVms(const ServiceId &Service,
                                           const ZoneId &Zone,
                                           const FleetView &Fleet) {
  std::lock_guard Guard(Lock_);
  return answer(Steering_.Lookups_, InForce_->Declared_, inContact(Fleet),
                {Service, Zone}, Random_);
}

RegionId Steerer::chooseRegion(const ServiceId &Service, const ZoneId &Home) {
  std::lock_guard Guard(Lock_);
  const Declarations &D = InForce_->Declared_;
  RegionDecision Decision = lagoonpoint::chooseRegion(
      Steering_, D, Service, Home, unlimitedCredits(D), {}, Random_);
  if (Decision.Refused_)
    throw Refusal(*Decision.Refused_, Ran::No, Step,
                  "the region that serves these callers can't take the call",
                  Duration::seconds(1));
  return Decision.Region_;
}

ZoneId Steerer::onceZone(const ServiceId &Service, const ZoneId &Home,
                         const FleetView &Fleet) {
  std::set<ZoneId> Serving = servingZones(Fleet, Service);
  std::lock_guard Guard(Lock_);
  const Declarations &D = InForce_->Declared_;
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

std::optional<VmId> Steerer::forwardVm(const ServiceId &Service,
                                       const RegionId &Region,
                                       const FleetView &Fleet,
                                       const std::set<VmId> &Tried) {
  std::lock_guard Guard(Lock_);
  const Declarations &D = InForce_->Declared_;
  for (const VmId &Vm : forwardTargets(Steering_, D, Service, Region,
                                       inContact(Fleet), Clock_.now(), Random_))
    if (Vm != Settings_.Vm_ && !Tried.count(Vm) &&
        D.Vms_.at(Vm).Zone_ != Settings_.Zone_)
      return Vm;
  return std::nullopt;
}

CallBytes Steerer::expectedBytes(const ServiceId &Service) const {
  std::lock_guard Guard(Lock_);
  auto Found = Sizes_.find(Service);
  return Found == Sizes_.end() ? CallSize().expected()
                               : Found->second.expected();
}

void Steerer::learnBytes(const ServiceId &Service, const CallBytes &Seen) {
  std::lock_guard Guard(Lock_);
  Sizes_[Service].learn(Seen);
}

} // namespace lagoonpoint
