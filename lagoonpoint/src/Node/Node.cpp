#include "lagoonpoint/src/Node/Node.h"

#include "lagoonpoint/Http"
#include "lagoonpoint/Log"
#include "lagoonpoint/Peer"
#include "lagoonpoint/src/Node/AnnounceFront.h"
#include "lagoonpoint/src/Node/CallFront.h"
#include "lagoonpoint/src/Node/Control.h"
#include "lagoonpoint/src/Node/OperatorFront.h"
#include "lagoonpoint/src/Node/TeamLimits.h"
#include "lagoonpoint/src/Node/Worker.h"

#include <chrono>
#include <thread>

namespace lagoonpoint {

namespace {

constexpr Duration TickEvery = Duration::millis(25);
constexpr Duration MembersEvery = Duration::millis(100);
constexpr Duration SteerEvery = Duration::millis(500);

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

UpstreamAnnouncement newsOf(const UpstreamRecord &U) {
  UpstreamAnnouncement News;
  News.Id_ = U.Key_.Upstream_;
  News.Zone_ = U.Zone_;
  News.Address_ = {U.Host_, U.Port_};
  News.Slots_ = U.Slots_;
  News.Connections_ = U.Connections_;
  if (U.LoadReported_)
    News.Load_ = U.Load_;
  News.LoadAge_ = U.LoadAge_;
  News.Lease_ = U.Lease_;
  return News;
}

/// \returns the revision that every declared VM, also a silent one, is known to
/// have reached: none can use an older one any more.
Revision settledRevision(const InForce &F, const FleetView &Fleet) {
  Revision Oldest = F.Revision_;
  for (const auto &[Id, Vm] : F.Declared_.Vms_) {
    auto Found = Fleet.Vms_.find(Id);
    if (Found == Fleet.Vms_.end())
      return Revision();
    Oldest = std::min(Oldest, Found->second.Revision_);
  }
  return Oldest;
}

} // namespace

struct Node::Parts {
  explicit Parts(const Settings &S)
      : Settings_(S),
        Peers_(
            peerOptions(S), [this](Envelope E) { receive(std::move(E)); },
            Clock_, [](const Error &E) { logError(E, LogLevel::Warning); }),
        Incarnation_(static_cast<std::uint64_t>(Clock_.unixMillis())),
        Limits_(S.Vm_, Incarnation_, Clock_, Peers_),
        Members_(S, Incarnation_, Clock_, Peers_),
        Once_(S, Incarnation_, Clock_, Peers_), Steerer_(S, Clock_, Peers_),
        Dispatcher_(Clock_),
        Control_(S, Incarnation_, Clock_, Peers_, InForce_, Members_),
        Services_{S,        Clock_,   Limits_,  Dispatcher_, Once_,
                  Steerer_, Members_, Retries_, Metrics_},
        Calls_(Services_, InForce_, Control_), Announces_(InForce_, Members_),
        Operators_(Control_, Metrics_),
        CallerServer_(Calls_, S, Clock_, &Metrics_),
        UpstreamServer_(Announces_, S, Clock_, &Metrics_),
        OperatorServer_(Operators_, S, Clock_, &Metrics_),
        Ticker_("node.tick", TickEvery, [this] { tick(); }) {}

  void receive(Envelope Message);
  void tick();
  void takeInForce();
  void learnUpstreams();
  std::map<ServiceId, double> slotsHere();
  /// Waits until no caller holds a look-up answer that names this VM.
  void waitForCaches();
  bool due(Time &Next, Duration Every);

  const Settings &Settings_;
  SystemClock Clock_;
  InForceCell InForce_;
  PeerTransport Peers_;
  Incarnation Incarnation_;
  TeamLimits Limits_;
  MemberHost Members_;
  OnceHost Once_;
  Steerer Steerer_;
  Dispatcher Dispatcher_;
  SlotSharers Sharers_;
  RetryBudgets Retries_;
  MetricRegistry Metrics_;
  Control Control_;
  CallServices Services_;
  CallFront Calls_;
  AnnounceFront Announces_;
  OperatorFront Operators_;
  CallerServer CallerServer_;
  UpstreamServer UpstreamServer_;
  OperatorServer OperatorServer_;
  Revision Applied_;
  Time NextMembers_;
  Time NextSteer_;
  Worker Ticker_;
};

void Node::Parts::receive(Envelope Message) {
  switch (Message.Channel_) {
  case Channel::Lease:
    return Limits_.receive(Message);
  case Channel::Membership:
  case Channel::Upstreams:
    return Members_.receive(Message);
  case Channel::Steering:
    return Steerer_.receive(Message);
  case Channel::Once:
    return Once_.receive(Message);
  case Channel::Replication:
  case Channel::Dissemination:
  case Channel::Withdrawal:
  case Channel::Forward:
    return Control_.receive(std::move(Message));
  case Channel::Fleet:
    return; // spoken by the VMs of module Gateway only
  }
}

void Node::Parts::waitForCaches() {
  Duration Ttl = InForce_.get()->Declared_.Fleet_.LookupTtl_;
  Duration Wait = std::min(Ttl, Settings_.DrainLimit_);
  if (Settings_.Entry_ && Applied_ != Revision())
    std::this_thread::sleep_for(std::chrono::milliseconds(Wait.count()));
}

bool Node::Parts::due(Time &Next, Duration Every) {
  Time Now = Clock_.now();
  if (Now < Next)
    return false;
  Next = Now + Every;
  return true;
}

void Node::Parts::takeInForce() {
  auto F = InForce_.get();
  if (F->Revision_ == Applied_)
    return;
  Peers_.setPeers(peersOf(Settings_, F->Declared_));
  Limits_.setInForce(*F);
  Members_.setInForce(*F);
  Once_.setInForce(*F);
  Steerer_.setInForce(F);
  Applied_ = F->Revision_;
}

/// Hands the dispatcher the upstreams of this zone and the VMs that share
/// their slots.
void Node::Parts::learnUpstreams() {
  auto F = InForce_.get();
  auto Fleet = Members_.view();
  std::map<ServiceId, std::vector<UpstreamAnnouncement>> ByService;
  for (const auto &[Id, Service] : F->Declared_.Services_)
    ByService[Id];
  for (const UpstreamRecord &U : Fleet->Upstreams_)
    if (U.Zone_ == Settings_.Zone_ && ByService.count(U.Key_.Service_))
      ByService[U.Key_.Service_].push_back(newsOf(U));
  std::set<VmId> Sharers =
      slotSharers(Sharers_, F->Declared_, Settings_.Zone_, Fleet->readyVms(),
                  Settings_.Vm_, Clock_.now());
  for (const auto &[Service, News] : ByService)
    Dispatcher_.learn(Service, News, Sharers, Settings_.Vm_,
                      F->Declared_.Services_.at(Service).SlowStart_);
}

std::map<ServiceId, double> Node::Parts::slotsHere() {
  std::map<ServiceId, double> Slots;
  auto F = InForce_.get();
  bool Yields = yields(*F, Settings_.Zone_);
  for (const auto &[Id, Service] : F->Declared_.Services_)
    Slots[Id] = Yields ? 0 : Dispatcher_.slots(Id);
  return Slots;
}

void Node::Parts::tick() {
  takeInForce();
  Limits_.setLeader(Control_.leaderView());
  Limits_.tick();
  Once_.tick();
  if (due(NextMembers_, MembersEvery)) {
    Members_.tick();
    learnUpstreams();
    Limits_.settle(settledRevision(*InForce_.get(), *Members_.view()));
    Control_.tick();
  }
  if (due(NextSteer_, SteerEvery))
    Steerer_.tick(*Members_.view(), slotsHere());
}

Node::Node(const Settings &S) : Parts_(std::make_unique<Parts>(S)) {}

Node::~Node() { stop(); }

void Node::start() {
  Parts_->Peers_.setPeers(peersOf(Parts_->Settings_, {}));
  Parts_->Peers_.start();
  Parts_->Control_.start();
  Parts_->Ticker_.start();
  Parts_->OperatorServer_.start();
  Parts_->UpstreamServer_.start();
  if (Parts_->Settings_.Entry_)
    Parts_->CallerServer_.start();
  log({.Step_ = "node.start", .Message_ = "running"});
}

void Node::drain() {
  log({.Step_ = "node.drain", .Message_ = "draining"});
  Parts_->Calls_.beginDrain();
  Parts_->Members_.setDraining();
  Parts_->waitForCaches();
  if (Parts_->Settings_.Entry_)
    Parts_->CallerServer_.stop();
  Parts_->Limits_.giveBackAll();
}

void Node::stop() {
  Parts_->CallerServer_.stop();
  Parts_->UpstreamServer_.stop();
  Parts_->OperatorServer_.stop();
  Parts_->Ticker_.stop();
  Parts_->Control_.stop();
  Parts_->Peers_.stop();
}

} // namespace lagoonpoint
