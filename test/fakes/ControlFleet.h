#pragma once

#include "fakes/MemberFleet.h"
#include "lagoonpoint/Dissemination"
#include "lagoonpoint/src/Membership/util/StableHash.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonpoint::fakes {

/// A store whose state is the hash of all applied bodies. The body "-KEY"
/// withdraws a key.
class FakeStore final : public FeedStore {
public:
  Revision revision() const override { return Revision_; }
  std::string digest() const override { return std::to_string(Hash_); }
  FeedSnapshot snapshot() const override {
    return {Revision_, encode(std::pair(Hash_, Withdrawn_))};
  }
  void apply(const Delta &Change) override {
    Revision_ = Change.To_;
    Hash_ = StableHash().add(Hash_).add(Change.Body_).value();
    if (Change.Body_[0] == '-')
      Withdrawn_.insert(KeyId(Change.Body_.substr(1)));
  }
  void restore(const FeedSnapshot &State) override {
    auto Read = decode<std::pair<std::uint64_t, std::set<KeyId>>>(
        State.Body_, "store.restore", "");
    Revision_ = State.Revision_;
    Hash_ = Read.first;
    Withdrawn_ = Read.second;
  }

  Revision Revision_;
  std::uint64_t Hash_ = 0;
  std::set<KeyId> Withdrawn_;
};

/// One VM's membership, feed and withdrawn keys.
struct ControlVm {
  ControlVm(const MembershipOptions &M, const FeedOptions &F, FakeStore Stored,
            Time Now)
      : Store_(std::move(Stored)), Members_(M, Now), Feed_(F, Store_, Now),
        Withdrawn_({.Self_ = M.Self_}) {}
  ControlVm(const ControlVm &) = delete;

  FakeStore Store_;
  Members Members_;
  Feed Feed_;
  WithdrawnKeys Withdrawn_;
};

/// VMs with a simple model of the replicated log: once the previous leader's
/// lease has expired, a voter that reaches a majority becomes the leader.
class ControlFleet {
public:
  ControlFleet(int Zones, int VmsPerZone, FeedOptions Options = {})
      : FeedOptions_(std::move(Options)) {
    for (int Zone = 1; Zone <= Zones; ++Zone)
      for (int Vm = 0; Vm < VmsPerZone; ++Vm) {
        ZoneId In("z" + std::to_string(Zone));
        VmId Id(In.str() + "-" + std::to_string(1000 + Vm).substr(1));
        DeclaredVms_[Id] = In;
        if (Vm == 0 && Zone <= (Zones >= 5 ? 5 : 3))
          Voters_.push_back(Id);
      }
    for (const auto &[Vm, Zone] : DeclaredVms_)
      start(Vm);
  }

  void start(const VmId &Vm, bool FromDisk = false) {
    MembershipOptions M;
    M.Self_ = Vm;
    M.Zone_ = DeclaredVms_.at(Vm);
    M.Incarnation_ = Incarnation(
        static_cast<std::uint64_t>(1'800'000'000'000 + Now_.count()));
    FeedOptions F = FeedOptions_;
    F.Self_ = Vm;
    F.Zone_ = M.Zone_;
    F.Incarnation_ = M.Incarnation_;
    F.RestoredFromDisk_ = FromDisk || isVoter(Vm);
    FakeStore Stored = F.RestoredFromDisk_ ? Disks_[Vm] : FakeStore();
    Vms_[Vm] = std::make_unique<ControlVm>(M, F, Stored, Now_);
    Vms_[Vm]->Members_.setDeclared(DeclaredVms_, Now_);
  }
  void crash(const VmId &Vm) {
    Vms_.erase(Vm);
    Net_.dropTo(Vm);
  }
  ControlVm &at(const std::string &Vm) { return *Vms_.at(VmId(Vm)); }
  bool isVoter(const VmId &Vm) const {
    return std::find(Voters_.begin(), Voters_.end(), Vm) != Voters_.end();
  }
  bool isUp(const VmId &Vm) const { return Vms_.count(Vm) > 0; }

  void cutZone(const ZoneId &Zone) {
    for (const auto &[A, In] : DeclaredVms_)
      for (const auto &[B, Other] : DeclaredVms_)
        if ((In == Zone) != (Other == Zone))
          cutLink(A, B);
  }
  void cutLink(const VmId &A, const VmId &B) {
    Net_.cut(A, B);
    CutLinks_.insert({A, B});
  }
  void healAll() {
    Net_.healAll();
    CutLinks_.clear();
  }

  /// Commits a change if there is a leader.
  std::optional<Revision> propose(const std::string &Body) {
    if (Leader_.empty())
      return std::nullopt;
    Delta Change{Log_.empty() ? Revision() : Log_.back().To_,
                 Revision(Log_.size() + 1), Body};
    Log_.push_back(Change);
    for (const VmId &Voter : reachableVoters(Leader_))
      catchUp(Voter);
    return Change.To_;
  }

  void run(Duration For) {
    Time End = Now_ + For;
    while (Now_ < End)
      step();
  }
  std::optional<Duration> runUntil(const std::function<bool()> &Check,
                                   Duration Limit) {
    Time From = Now_;
    while (!Check()) {
      if (Now_ - From > Limit)
        return std::nullopt;
      step();
    }
    return Now_ - From;
  }
  bool allAtRevision(Revision R) const {
    return std::all_of(Vms_.begin(), Vms_.end(), [&](const auto &E) {
      return E.second->Store_.revision() >= R;
    });
  }
  bool allReady() const {
    return std::all_of(Vms_.begin(), Vms_.end(), [&](const auto &E) {
      return E.second->Feed_.readiness() != Readiness::NotReady;
    });
  }
  KeyVerdict verdict(const VmId &Vm, const KeyId &Key,
                     Duration CutOffFor) const {
    const ControlVm &V = *Vms_.at(Vm);
    KeyFreshness C = V.Feed_.keyFreshness(V.Members_.contact(Now_), Now_);
    return keyVerdict(C, V.Withdrawn_, Key, CutOffFor, Now_);
  }

  static constexpr Duration Step = Duration::millis(100);
  static constexpr Duration PeerUpdateInterval = Duration::millis(500);
  VmZones DeclaredVms_;
  std::vector<VmId> Voters_;
  std::map<VmId, std::unique_ptr<ControlVm>> Vms_;
  std::map<VmId, FakeStore> Disks_;
  FakeNetwork Net_;
  FeedOptions FeedOptions_;
  std::vector<Delta> Log_;
  VmId Leader_;
  Time Now_{1000};
  Random Rng_{1};
  bool GossipEnabled_ = true;         ///< withdrawals are gossiped
  bool LogWithdrawalsEnabled_ = true; ///< withdrawals in the log are applied
  std::function<void()> OnStep_;

private:
  std::vector<VmId> reachableVoters(const VmId &From) const {
    std::vector<VmId> Out;
    for (const VmId &V : Voters_)
      if (isUp(V) && !CutLinks_.count({From, V}) && !CutLinks_.count({V, From}))
        Out.push_back(V);
    return Out;
  }
  bool hasQuorum(const VmId &V) const {
    return isUp(V) && reachableVoters(V).size() > Voters_.size() / 2;
  }
  void catchUp(const VmId &Voter) {
    ControlVm &V = *Vms_.at(Voter);
    while (V.Store_.revision().value() < Log_.size()) {
      const Delta &Next = Log_[V.Store_.revision().value()];
      V.Store_.apply(Next);
      V.Feed_.storeAdvanced(Next, Now_);
    }
  }
  void elect() {
    if (!Leader_.empty() && hasQuorum(Leader_)) {
      LeaseEnd_ = Now_ + Duration::seconds(2);
      for (const VmId &V : reachableVoters(Leader_))
        catchUp(V);
      return;
    }
    Leader_ = VmId();
    for (const VmId &V : Voters_)
      if (Now_ > LeaseEnd_ && hasQuorum(V))
        Leader_ = V;
  }
  void step() {
    Now_ = Now_ + Step;
    elect();
    for (Envelope &Message : Net_.takeDue(Now_)) {
      auto It = Vms_.find(Message.To_);
      if (It != Vms_.end())
        receive(*It->second, Message);
    }
    for (auto &[Vm, V] : Vms_)
      tick(Vm, *V);
    if (OnStep_)
      OnStep_();
  }
  void receive(ControlVm &V, const Envelope &Message) {
    if (Message.Channel_ == Channel::Membership)
      V.Members_.receive(Message, Now_);
    else if (Message.Channel_ == Channel::Dissemination)
      V.Feed_.receive(Message, Now_);
    else if (GossipEnabled_)
      V.Withdrawn_.receive(Message);
  }
  void tick(const VmId &Vm, ControlVm &V) {
    Disks_[Vm] = V.Store_;
    V.Members_.setRevision(V.Store_.revision());
    V.Members_.tick(Now_);
    if (Now_.count() % PeerUpdateInterval.count() == 0)
      setPeers(V);
    V.Feed_.setLeader(Vm == Leader_);
    V.Feed_.tick(Now_);
    if (LogWithdrawalsEnabled_)
      V.Withdrawn_.addFromLog(V.Store_.Withdrawn_);
    if (GossipEnabled_)
      V.Withdrawn_.tick(Rng_, Now_);
    send(V.Members_.takeOutbox());
    send(V.Feed_.takeOutbox());
    send(V.Withdrawn_.takeOutbox());
  }
  void setPeers(ControlVm &V) {
    std::vector<VmId> Answering = V.Members_.answeringPeers(Now_);
    std::vector<FeedPeer> Peers;
    std::vector<VmId> Alive;
    for (const MemberView &M : V.Members_.vms(Now_)) {
      bool IsAlive = M.State_ < VmState::Suspect;
      bool IsAnswering = std::find(Answering.begin(), Answering.end(), M.Vm_) !=
                         Answering.end();
      Peers.push_back({M.Vm_, M.Zone_, IsAlive, isVoter(M.Vm_), IsAnswering});
      if (IsAlive)
        Alive.push_back(M.Vm_);
    }
    V.Feed_.setPeers(std::move(Peers), Leader_, Now_);
    V.Withdrawn_.setPeers(std::move(Alive));
  }
  void send(std::vector<Envelope> Messages) {
    for (Envelope &Message : Messages)
      Net_.send(Now_, std::move(Message));
  }

  std::set<std::pair<VmId, VmId>> CutLinks_;
  Time LeaseEnd_;
};

} // namespace lagoonpoint::fakes
