#include "lagoonpoint/src/Node/MembershipHost.h"

namespace lagoonpoint {

namespace {

MembershipOptions optionsOf(const Settings &S, Incarnation I) {
  MembershipOptions Options;
  Options.Self_ = S.Vm_;
  Options.Zone_ = S.Zone_;
  Options.Incarnation_ = I;
  return Options;
}

VmZones seedZones(const Settings &S) {
  VmZones Zones{{S.Vm_, S.Zone_}};
  for (const SeedPeer &Seed : S.Seeds_)
    Zones[Seed.Vm_] = Seed.Zone_;
  return Zones;
}

} // namespace

bool FleetView::isReady(const VmId &Vm) const {
  auto Found = Vms_.find(Vm);
  return Found != Vms_.end() && Found->second.State_ == VmState::Alive &&
         Found->second.Revision_ != Revision();
}

std::set<VmId> FleetView::readyVms() const {
  std::set<VmId> Ready;
  for (const auto &[Vm, Member] : Vms_)
    if (isReady(Vm))
      Ready.insert(Vm);
  return Ready;
}

MembershipHost::MembershipHost(const Settings &S, Incarnation I, const Clock &C,
                               Transport &T)
    : Clock_(C), Transport_(T), Members_(optionsOf(S, I), C.now()) {
  Members_.setDeclared(seedZones(S), C.now());
}

template <class Function> void MembershipHost::runLocked(Function F) {
  std::vector<Envelope> Out;
  {
    std::lock_guard Guard(Lock_);
    F();
    Out = Members_.takeOutbox();
  }
  for (Envelope &Message : Out)
    Transport_.send(std::move(Message));
}

void MembershipHost::announce(const AnnouncedUpstream &Announced) {
  runLocked([&] { Members_.announce(Announced, Clock_.now()); });
}

void MembershipHost::setDeclarations(const ActiveDeclarations &F) {
  VmZones Zones;
  for (const auto &[Id, Vm] : F.Declarations_.Vms_)
    Zones[Id] = Vm.Zone_;
  runLocked([&] {
    if (!Zones.empty())
      Members_.setDeclared(Zones, Clock_.now());
    Members_.setRevision(F.Revision_);
  });
}

void MembershipHost::setDraining() {
  runLocked([&] { Members_.setDraining(true); });
}

void MembershipHost::receive(const Envelope &Message) {
  runLocked([&] { Members_.receive(Message, Clock_.now()); });
}

void MembershipHost::tick() {
  auto Next = std::make_shared<FleetView>();
  runLocked([&] {
    Time Now = Clock_.now();
    Members_.tick(Now);
    for (MemberView &Member : Members_.vms(Now))
      Next->Vms_[Member.Vm_] = std::move(Member);
    Next->Upstreams_ = Members_.upstreams(Now);
    Next->Contact_ = Members_.contact(Now);
    for (VmId &Vm : Members_.answeringPeers(Now))
      Next->AnsweringPeers_.insert(std::move(Vm));
  });
  std::lock_guard Guard(ViewLock_);
  View_ = std::move(Next);
}

std::shared_ptr<const FleetView> MembershipHost::view() const {
  std::lock_guard Guard(ViewLock_);
  return View_;
}

} // namespace lagoonpoint
