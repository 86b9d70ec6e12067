#include "lagoonpoint/src/Node/FeedHost.h"

#include "lagoonpoint/Log"

#include <algorithm>

namespace lagoonpoint {

namespace {

constexpr Duration IdleTickInterval = Duration::seconds(1);

FeedOptions optionsOf(const Settings &S, Incarnation I, bool FromDisk) {
  FeedOptions Options;
  Options.Self_ = S.Vm_;
  Options.Zone_ = S.Zone_;
  Options.Incarnation_ = I;
  Options.RestoredFromDisk_ = FromDisk;
  return Options;
}

std::vector<FeedPeer> feedPeers(const FleetView &Fleet,
                                const std::set<VmId> &Voters) {
  std::vector<FeedPeer> Peers;
  for (const auto &[Vm, Member] : Fleet.Vms_) {
    FeedPeer Peer{Vm, Member.Zone_};
    Peer.Alive_ =
        Member.State_ == VmState::Alive || Member.State_ == VmState::Draining;
    Peer.Voter_ = Voters.count(Vm) > 0;
    Peer.Answering_ = Fleet.AnsweringPeers_.count(Vm) > 0;
    Peers.push_back(Peer);
  }
  return Peers;
}

} // namespace

FeedHost::FeedHost(const Settings &S, Incarnation I, const Clock &C,
                   Transport &T, ActiveDeclarationsHolder &Active,
                   MembershipHost &M)
    : Settings_(S), Clock_(C), Transport_(T), Active_(Active), Members_(M),
      Store_(S.DataFolder_),
      Feed_(optionsOf(S, I, Store_.restoredFromDisk()), Store_, C.now()),
      Withdrawn_({.Self_ = S.Vm_}),
      Worker_("feed.run", IdleTickInterval, [] {}) {
  activateRevision();
}

FeedHost::~FeedHost() { stop(); }

void FeedHost::start() { Worker_.start(); }

void FeedHost::stop() { Worker_.stop(); }

void FeedHost::send(std::vector<Envelope> Messages) {
  for (Envelope &Message : Messages)
    Transport_.send(std::move(Message));
}

void FeedHost::receive(Envelope Message) {
  if (Message.Channel_ == Channel::Withdrawal) {
    std::vector<Envelope> Out;
    {
      std::lock_guard Guard(KeyLock_);
      Withdrawn_.receive(Message);
      Out = Withdrawn_.takeOutbox();
    }
    return send(std::move(Out));
  }
  Worker_.post([this, M = std::move(Message)] {
    Feed_.receive(M, Clock_.now());
    activateRevision();
    updateStatus();
    send(Feed_.takeOutbox());
  });
}

void FeedHost::onCatalogChange(const Catalog &State, const Change *Cause) {
  std::shared_ptr<Change> Copy;
  if (Cause)
    Copy = std::make_shared<Change>(*Cause);
  Worker_.post([this, State, Copy] { applyReplicaState(State, Copy.get()); });
}

void FeedHost::applyReplicaState(const Catalog &State, const Change *Cause) {
  Revision Previous = Store_.revision();
  // A replica that replays its log passes through states that are already
  // active or older.
  if (State.Revision_ <= Previous)
    return;
  Store_.replace(State);
  bool IsNext = Cause && State.Revision_ == Previous.next();
  if (IsNext)
    Feed_.storeAdvanced({Previous, State.Revision_, encode(*Cause)},
                        Clock_.now());
  else
    Feed_.storeReplaced(Clock_.now());
  activateRevision();
  send(Feed_.takeOutbox());
}

void FeedHost::tick(const LeaderView &Leader) {
  Worker_.post([this, Leader] { advance(Leader); });
}

void FeedHost::advance(const LeaderView &Leader) {
  Time Now = Clock_.now();
  auto Fleet = Members_.view();
  Contact_ = Fleet->Contact_;
  Feed_.setPeers(feedPeers(*Fleet, Leader.Voters_), Leader.Leader_, Now);
  Feed_.setLeader(Leader.IsLeader_ && Now < Leader.LeadershipUntil_ &&
                  Store_.revision() >= Leader.Revision_);
  Feed_.tick(Now);
  std::vector<Envelope> Out = Feed_.takeOutbox();
  {
    std::lock_guard Guard(KeyLock_);
    std::vector<VmId> Alive;
    for (const auto &[Vm, Member] : Fleet->Vms_)
      if (Vm != Settings_.Vm_ && Member.State_ != VmState::Dead)
        Alive.push_back(Vm);
    Withdrawn_.setPeers(std::move(Alive));
    Withdrawn_.tick(Random_, Now);
    for (Envelope &Message : Withdrawn_.takeOutbox())
      Out.push_back(std::move(Message));
  }
  activateRevision();
  updateStatus();
  send(std::move(Out));
}

/// Makes the store's revision the active one for calls.
void FeedHost::activateRevision() {
  if (Store_.revision() == ActiveRevision_)
    return;
  ActiveRevision_ = Store_.revision();
  Active_.set(makeActiveDeclarations(Store_.catalog()));
  {
    std::lock_guard Guard(KeyLock_);
    Withdrawn_.addFromLog(Store_.catalog().WithdrawnKeys_);
  }
  std::lock_guard Guard(StatusLock_);
  DeclarationsText_ = Store_.catalog().Text_;
}

void FeedHost::updateStatus() {
  Time Now = Clock_.now();
  {
    std::lock_guard Guard(KeyLock_);
    KeyFreshness_ = Feed_.keyFreshness(Contact_, Now);
  }
  Readiness Previous = Readiness_.exchange(Feed_.readiness());
  if (Previous != Feed_.readiness())
    log({.Step_ = "feed.ready",
         .Message_ = toString(Feed_.readiness()),
         .Revision_ = Store_.revision()});
  std::lock_guard Guard(StatusLock_);
  WhyNotReady_ = Feed_.whyNotReady(Now);
  if (WhyNotReady_.empty() && Store_.revision() == Revision())
    WhyNotReady_ = "no declarations are in force yet";
  ConfirmedRevisions_.clear();
  for (const auto &[Vm, C] : Feed_.confirmed())
    ConfirmedRevisions_[Vm] = C.Revision_;
}

void FeedHost::withdraw(const KeyId &Key) {
  std::lock_guard Guard(KeyLock_);
  Withdrawn_.withdraw(Key);
}

std::vector<KeyId> FeedHost::unloggedWithdrawals() const {
  auto F = Active_.get();
  std::vector<KeyId> Missing;
  std::lock_guard Guard(KeyLock_);
  std::set_difference(Withdrawn_.keys().begin(), Withdrawn_.keys().end(),
                      F->WithdrawnKeys_.begin(), F->WithdrawnKeys_.end(),
                      std::back_inserter(Missing));
  return Missing;
}

KeyVerdict FeedHost::verdict(const KeyId &Key, Duration CutOffFor) const {
  std::lock_guard Guard(KeyLock_);
  return keyVerdict(KeyFreshness_, Withdrawn_, Key, CutOffFor, Clock_.now());
}

std::string FeedHost::whyNotReady() const {
  std::lock_guard Guard(StatusLock_);
  return WhyNotReady_;
}

std::map<VmId, Revision> FeedHost::confirmedRevisions() const {
  std::lock_guard Guard(StatusLock_);
  return ConfirmedRevisions_;
}

std::pair<Revision, std::string> FeedHost::declarationsText() const {
  std::lock_guard Guard(StatusLock_);
  return {Active_.get()->Revision_, DeclarationsText_};
}

} // namespace lagoonpoint
