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

namespace lagoonpoint {

namespace {

constexpr Duration TickEvery = Duration::millis(25);

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

} // namespace

struct Node::Parts {
  explicit Parts(const Settings &S)
      : Settings_(S),
        Peers_(
            peerOptions(S), [this](Envelope E) { receive(std::move(E)); },
            Clock_, [](const Error &E) { logError(E, LogLevel::Warning); }),
        Limits_(S.Vm_,
                Incarnation(static_cast<std::uint64_t>(Clock_.unixMillis())),
                Clock_, Peers_),
        Upstreams_(Clock_), Control_(S, Clock_, Peers_, InForce_, Upstreams_),
        Calls_(S, InForce_, Control_, Limits_, Upstreams_),
        Announces_(InForce_, Upstreams_), Operators_(Control_),
        CallerServer_(Calls_, S, Clock_),
        UpstreamServer_(Announces_, S, Clock_),
        OperatorServer_(Operators_, S, Clock_),
        Ticker_("node.tick", TickEvery, [this] { tick(); }) {}

  void receive(Envelope Message) {
    if (Message.Channel_ == Channel::Lease)
      Limits_.receive(Message);
    else
      Control_.receive(std::move(Message));
  }

  void tick() {
    auto F = InForce_.get();
    if (F->Revision_ != Applied_) {
      Peers_.setPeers(peersOf(Settings_, F->Declared_));
      Limits_.setInForce(*F);
      Applied_ = F->Revision_;
    }
    Limits_.settle(Applied_);
    Limits_.setLeader(Control_.leaderView());
    Limits_.tick();
  }

  const Settings &Settings_;
  SystemClock Clock_;
  InForceCell InForce_;
  PeerTransport Peers_;
  TeamLimits Limits_;
  Upstreams Upstreams_;
  Control Control_;
  CallFront Calls_;
  AnnounceFront Announces_;
  OperatorFront Operators_;
  CallerServer CallerServer_;
  UpstreamServer UpstreamServer_;
  OperatorServer OperatorServer_;
  Revision Applied_;
  Worker Ticker_;
};

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
