#include "lagoonpoint/src/Node/Node.h"

#include "lagoonpoint/Http"
#include "lagoonpoint/Log"
#include "lagoonpoint/Peer"
#include "lagoonpoint/src/Node/AnnounceHandler.h"
#include "lagoonpoint/src/Node/CallerHandler.h"
#include "lagoonpoint/src/Node/Control.h"
#include "lagoonpoint/src/Node/LimitsHost.h"
#include "lagoonpoint/src/Node/OperatorHandler.h"
#include "lagoonpoint/src/Node/Worker.h"

#include <chrono>
#include <thread>

namespace lagoonpoint {

namespace {

constexpr Duration TickInterval = Duration::millis(25);
constexpr Duration MembershipTickInterval = Duration::millis(100);
constexpr Duration SteeringTickInterval = Duration::millis(500);

PeerOptions peerOptions(const Settings &S) {
  PeerOptions Options;
  Options.Self_ = S.Vm_;
  Options.Listen_ = S.Peers_;
  Options.Secret_ = S.ClusterSecret_;
  return Options;
}

std::map<VmId, Address> peersOf(const Settings &S, const Declarations &D) {
  std::map<VmId, Address> Peers;
  for (const SeedPeer &Seed : S.Seeds_)
    Peers[Seed.Vm_] = Seed.Peers_;
  for (const auto &[Id, Vm] : D.Vms_)
    Peers[Id] = Vm.Peers_;
  Peers.erase(S.Vm_);
  return Peers;
}

UpstreamAnnouncement announcementOf(const UpstreamRecord &U) {
  UpstreamAnnouncement Announcement;
  Announcement.Id_ = U.Key_.Upstream_;
  Announcement.Zone_ = U.Zone_;
  Announcement.Address_ = {U.Host_, U.Port_};
  Announcement.Slots_ = U.Slots_;
  Announcement.Connections_ = U.Connections_;
  if (U.LoadReported_)
    Announcement.Load_ = U.Load_;
  Announcement.LoadAge_ = U.LoadAge_;
  Announcement.Lease_ = U.Lease_;
  return Announcement;
}

/// \returns the oldest of the revisions that the declared VMs last reported, so
/// that no VM uses an older one. VMs that do not answer are included; 0 if a VM
/// is not known to membership.
Revision settledRevision(const ActiveDeclarations &F, const FleetView &Fleet) {
  Revision Oldest = F.Revision_;
  for (const auto &[Id, Vm] : F.Declarations_.Vms_) {
    auto Found = Fleet.Vms_.find(Id);
    if (Found == Fleet.Vms_.end())
      return Revision();
    Oldest = std::min(Oldest, Found->second.Revision_);
  }
  return Oldest;
}

} // namespace

struct Node::Impl {
  explicit Impl(const Settings &S)
      : Settings_(S),
        Peers_(
            peerOptions(S), [this](Envelope E) { receive(std::move(E)); },
            Clock_, [](const Error &E) { logError(E, LogLevel::Warning); }),
        Incarnation_(static_cast<std::uint64_t>(Clock_.unixMillis())),
        Limits_(S.Vm_, Incarnation_, Clock_, Peers_),
        Members_(S, Incarnation_, Clock_, Peers_),
        Once_(S, Incarnation_, Clock_, Peers_), Steering_(S, Clock_, Peers_),
        Dispatcher_(Clock_),
        Control_(S, Incarnation_, Clock_, Peers_, Active_, Members_),
        Services_{S,         Clock_,   Limits_,       Dispatcher_, Once_,
                  Steering_, Members_, RetryBudgets_, Metrics_},
        CallerHandler_(Services_, Active_, Control_),
        AnnounceHandler_(Active_, Members_),
        OperatorHandler_(Control_, Metrics_),
        CallerServer_(CallerHandler_, S, Clock_, &Metrics_),
        UpstreamServer_(AnnounceHandler_, S, Clock_, &Metrics_),
        OperatorServer_(OperatorHandler_, S, Clock_, &Metrics_),
        Ticker_("node.tick", TickInterval, [this] { tick(); }) {}

  void receive(Envelope Message);
  void tick();
  void applyDeclarations();
  void updateDispatcher();
  std::map<ServiceId, double> localSlots();
  /// Waits until every cached lookup response that lists this VM has expired,
  /// but at most the drain limit.
  void waitForLookupCaches();
  bool isDue(Time &Next, Duration Interval);

  const Settings &Settings_;
  SystemClock Clock_;
  ActiveDeclarationsHolder Active_;
  PeerTransport Peers_;
  Incarnation Incarnation_;
  LimitsHost Limits_;
  MembershipHost Members_;
  OnceHost Once_;
  SteeringHost Steering_;
  Dispatcher Dispatcher_;
  SlotSharers Sharers_;
  RetryBudgets RetryBudgets_;
  MetricRegistry Metrics_;
  Control Control_;
  CallServices Services_;
  CallerHandler CallerHandler_;
  AnnounceHandler AnnounceHandler_;
  OperatorHandler OperatorHandler_;
  CallerServer CallerServer_;
  UpstreamServer UpstreamServer_;
  OperatorServer OperatorServer_;
  Revision AppliedRevision_;
  Time NextMembershipTick_;
  Time NextSteeringTick_;
  Worker Ticker_;
};

void Node::Impl::receive(Envelope Message) {
  switch (Message.Channel_) {
  case Channel::Lease:
    return Limits_.receive(Message);
  case Channel::Membership:
  case Channel::Upstreams:
    return Members_.receive(Message);
  case Channel::Steering:
    return Steering_.receive(Message);
  case Channel::Once:
    return Once_.receive(Message);
  case Channel::Replication:
  case Channel::Dissemination:
  case Channel::Withdrawal:
  case Channel::Forward:
    return Control_.receive(std::move(Message));
  case Channel::Fleet:
    return; // used only by the VMs of module Gateway
  }
}

void Node::Impl::waitForLookupCaches() {
  Duration Ttl = Active_.get()->Declarations_.Fleet_.LookupTtl_;
  Duration Wait = std::min(Ttl, Settings_.DrainLimit_);
  if (Settings_.Entry_ && AppliedRevision_ != Revision())
    std::this_thread::sleep_for(std::chrono::milliseconds(Wait.count()));
}

bool Node::Impl::isDue(Time &Next, Duration Interval) {
  Time Now = Clock_.now();
  if (Now < Next)
    return false;
  Next = Now + Interval;
  return true;
}

void Node::Impl::applyDeclarations() {
  auto F = Active_.get();
  if (F->Revision_ == AppliedRevision_)
    return;
  Peers_.setPeers(peersOf(Settings_, F->Declarations_));
  Limits_.setDeclarations(*F);
  Members_.setDeclarations(*F);
  Once_.setDeclarations(*F);
  Steering_.setDeclarations(F);
  AppliedRevision_ = F->Revision_;
}

/// Passes the upstreams of this zone and the VMs that share their slots to the
/// dispatcher.
void Node::Impl::updateDispatcher() {
  auto F = Active_.get();
  auto Fleet = Members_.view();
  std::map<ServiceId, std::vector<UpstreamAnnouncement>> ByService;
  for (const auto &[Id, Service] : F->Declarations_.Services_)
    ByService[Id];
  for (const UpstreamRecord &U : Fleet->Upstreams_)
    if (U.Zone_ == Settings_.Zone_ && ByService.count(U.Key_.Service_))
      ByService[U.Key_.Service_].push_back(announcementOf(U));
  std::set<VmId> Sharers =
      slotSharers(Sharers_, F->Declarations_, Settings_.Zone_,
                  Fleet->readyVms(), Settings_.Vm_, Clock_.now());
  for (const auto &[Service, Announcements] : ByService)
    Dispatcher_.setUpstreams(Service, Announcements, Sharers, Settings_.Vm_,
                             F->Declarations_.Services_.at(Service).SlowStart_);
}

std::map<ServiceId, double> Node::Impl::localSlots() {
  std::map<ServiceId, double> Slots;
  auto F = Active_.get();
  bool IsDraining = drainsToOtherZone(*F, Settings_.Zone_);
  for (const auto &[Id, Service] : F->Declarations_.Services_)
    Slots[Id] = IsDraining ? 0 : Dispatcher_.slots(Id);
  return Slots;
}

void Node::Impl::tick() {
  applyDeclarations();
  Limits_.setLeader(Control_.leaderView());
  Limits_.tick();
  Once_.tick();
  if (isDue(NextMembershipTick_, MembershipTickInterval)) {
    Members_.tick();
    updateDispatcher();
    Limits_.setSettled(settledRevision(*Active_.get(), *Members_.view()));
    Control_.tick();
  }
  if (isDue(NextSteeringTick_, SteeringTickInterval))
    Steering_.tick(*Members_.view(), localSlots());
}

Node::Node(const Settings &S) : Impl_(std::make_unique<Impl>(S)) {}

Node::~Node() { stop(); }

void Node::start() {
  Impl_->Peers_.setPeers(peersOf(Impl_->Settings_, {}));
  Impl_->Peers_.start();
  Impl_->Control_.start();
  Impl_->Ticker_.start();
  Impl_->OperatorServer_.start();
  Impl_->UpstreamServer_.start();
  if (Impl_->Settings_.Entry_)
    Impl_->CallerServer_.start();
  log({.Step_ = "node.start", .Message_ = "running"});
}

void Node::drain() {
  log({.Step_ = "node.drain", .Message_ = "draining"});
  Impl_->CallerHandler_.beginDrain();
  Impl_->Members_.setDraining();
  Impl_->waitForLookupCaches();
  if (Impl_->Settings_.Entry_)
    Impl_->CallerServer_.stop();
  Impl_->Limits_.releaseAll();
}

void Node::stop() {
  Impl_->CallerServer_.stop();
  Impl_->UpstreamServer_.stop();
  Impl_->OperatorServer_.stop();
  Impl_->Ticker_.stop();
  Impl_->Control_.stop();
  Impl_->Peers_.stop();
}

} // namespace lagoonpoint
