// Plays the control messages of a whole fleet on virtual time, with links cut
// and VMs frozen, killed and restarted at random. Checks that no entry VM takes
// its items for current that are not, that live VMs are found and dead ones are
// not, and that an entry VM's control traffic does not grow with the fleet.
#include "lagoonpoint/Fleet"

#include <catch2/catch.hpp>

#include <functional>
#include <queue>

using namespace lagoonpoint;

namespace {

constexpr Duration Interval = Duration::seconds(1);
constexpr Duration MaxSilence = Duration::millis(2700);
constexpr Duration MaxProofAge = Duration::millis(2500);
constexpr int HeartbeatsPerFullReport = 10; ///< as in CoreVm
/// The longest fault, and the time after which lost reports are repeated.
constexpr Duration Recovery =
    Duration::seconds(7 + HeartbeatsPerFullReport + 2);

struct Size {
  int Regions_;
  int ZonesPerRegion_;
  int EntryVms_;
};

/// The state of one VM. A core VM is a voter.
struct SimulatedVm {
  NodeRecord Record_;
  int Zone_ = 0;
  bool Running_ = true;
  Time FrozenUntil_;
  std::uint64_t Items_ = 0; ///< revision and log index of its items
  NodeRegistry Registry_;
  ItemFreshness Freshness_;
  std::map<VmId, std::map<VmId, std::uint64_t>> ReportedTo_;
  std::set<VmId> RecordSentTo_;
  CoreContacts Contacts_;
  int Sent_ = 0; ///< heartbeats
  int SentToOtherRegions_ = 0;
};

class SimulatedFleet {
public:
  SimulatedFleet(Size S, std::uint64_t Seed) : Size_(S), Random_(Seed) {
    for (int Zone = 0; Zone < zones(); ++Zone)
      add(true, Zone);
    for (int Number = 0; Number < S.EntryVms_; ++Number)
      add(false, Number % zones());
    for (const VmId &Core : Cores_) {
      Voters_.Voters_.push_back({Core, Vms_[Core].Record_.Disk_});
      Vms_[Core].Freshness_.VoterConfig_.Voters_.clear();
    }
    for (auto &[Id, Vm] : Vms_)
      tick(Id, Now_ + Duration::millis(uniform(0, 999)));
  }

  void run(Duration Span) {
    Time End = Now_ + Span;
    while (!Events_.empty() && Events_.top().At_ <= End) {
      Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      Next.Run_();
    }
    Now_ = End;
  }

  /// Acknowledges a change that a quorum of the voters holds, if there is one.
  void commit() {
    std::vector<VmId> Holders;
    VmId Leader = Cores_[uniform(0, static_cast<int>(Cores_.size()) - 1)];
    for (const VmId &Core : Cores_)
      if (canTalk(Leader, Core) && Vms_[Core].Items_ >= Committed_)
        Holders.push_back(Core);
    if (Holders.size() < Voters_.quorum())
      return;
    ++Committed_;
    for (const VmId &Core : Holders)
      Vms_[Core].Items_ = Committed_;
    AcknowledgedAt_[Committed_] = Now_;
  }

  void injectFault() {
    Time Until = Now_ + Duration::millis(uniform(500, 7000));
    int Zone = uniform(0, zones() - 1);
    int Other = uniform(0, zones() - 1);
    switch (uniform(0, 4)) {
    case 0: // two zones can't reach each other
      CutUntil_[{Zone, Other}] = CutUntil_[{Other, Zone}] = Until;
      break;
    case 1: // one way only
      CutUntil_[{Zone, Other}] = Until;
      break;
    case 2: // a zone is cut off
      for (int Each = 0; Each < zones(); ++Each)
        if (Each != Zone)
          CutUntil_[{Zone, Each}] = CutUntil_[{Each, Zone}] = Until;
      break;
    case 3: // a core VM is paused
      Vms_[Cores_[Zone]].FrozenUntil_ = Until;
      break;
    default: { // an entry VM is restarted
      SimulatedVm &Vm = Vms_[EntryIds_[uniform(0, Size_.EntryVms_ - 1)]];
      NodeRecord Record = Vm.Record_;
      int VmZone = Vm.Zone_;
      Vm = SimulatedVm();
      Vm.Record_ = Record;
      ++Vm.Record_.StartedAtMs_;
      Vm.Zone_ = VmZone;
      Vm.Contacts_.OwnRegion_ = Record.Region_;
    }
    }
  }

  void stopEntryVm(int Number) { Vms_[EntryIds_[Number]].Running_ = false; }

  /// \returns the first entry VM whose proof is later than a change that it
  /// lacks; empty if there is none
  VmId findFalseProof() const {
    for (const VmId &Id : EntryIds_) {
      const SimulatedVm &Vm = Vms_.at(Id);
      std::optional<Time> Proven = provenCurrentAt(Vm.Freshness_, TeamId());
      auto Missing = AcknowledgedAt_.upper_bound(Vm.Items_);
      if (Proven && Missing != AcknowledgedAt_.end() &&
          *Proven >= Missing->second)
        return Id;
    }
    return VmId();
  }
  /// \returns the oldest proof's age.
  Duration oldestProof() const {
    Duration Oldest;
    for (const VmId &Id : EntryIds_) {
      auto Proven = provenCurrentAt(Vms_.at(Id).Freshness_, TeamId());
      Oldest =
          std::max(Oldest, Proven ? Now_ - *Proven : Duration::seconds(99));
    }
    return Oldest;
  }
  /// \returns the smallest number of entry VMs that a core VM takes for live.
  std::size_t fewestKnown() const {
    std::size_t Fewest = EntryIds_.size();
    for (const VmId &Core : Cores_)
      Fewest = std::min(
          Fewest,
          liveEntryVms(Vms_.at(Core).Registry_, MaxSilence, Now_).size());
    return Fewest;
  }
  /// \returns heartbeats sent by all entry VMs since the last call.
  std::pair<int, int> takeHeartbeats() {
    std::pair<int, int> Sum;
    for (const VmId &Id : EntryIds_) {
      Sum.first += std::exchange(Vms_[Id].Sent_, 0);
      Sum.second += std::exchange(Vms_[Id].SentToOtherRegions_, 0);
    }
    return Sum;
  }

private:
  struct Event {
    Time At_;
    std::uint64_t Number_;
    std::function<void()> Run_;
    bool operator<(const Event &Other) const {
      return std::pair(At_, Number_) > std::pair(Other.At_, Other.Number_);
    }
  };

  int zones() const { return Size_.Regions_ * Size_.ZonesPerRegion_; }
  int uniform(int Low, int High) {
    return std::uniform_int_distribution<>(Low, High)(Random_);
  }

  void add(bool Core, int Zone) {
    VmId Id((Core ? "c" : "e") + std::to_string(Vms_.size()));
    SimulatedVm &Vm = Vms_[Id];
    Vm.Zone_ = Zone;
    Vm.Items_ = Core ? 1 : 0;
    Vm.Record_.Vm_ = Id;
    Vm.Record_.Core_ = Core;
    Vm.Record_.Zone_ = ZoneId(std::to_string(Zone));
    Vm.Record_.Region_ = RegionId(std::to_string(Zone % Size_.Regions_));
    Vm.Record_.StartedAtMs_ = 1;
    Vm.Record_.Disk_ = DiskId(Core ? Vms_.size() : 0);
    Vm.Record_.CallerAddress_ = Id.str() + ":80";
    Vm.Contacts_.OwnRegion_ = Vm.Record_.Region_;
    (Core ? Cores_ : EntryIds_).push_back(Id);
  }

  bool canTalk(const VmId &From, const VmId &To) const {
    const SimulatedVm &A = Vms_.at(From);
    const SimulatedVm &B = Vms_.at(To);
    auto Cut = CutUntil_.find({A.Zone_, B.Zone_});
    return A.Running_ && B.Running_ && A.FrozenUntil_ <= Now_ &&
           B.FrozenUntil_ <= Now_ &&
           (Cut == CutUntil_.end() || Cut->second <= Now_);
  }

  void at(Time When, std::function<void()> Run) {
    Events_.push({When, NextEvent_++, std::move(Run)});
  }

  /// Delivers a message. A paused VM handles it when it goes on.
  void send(const VmId &From, const VmId &To, std::function<void()> Handle) {
    bool Near = Vms_[From].Record_.Region_ == Vms_[To].Record_.Region_;
    Time Arrival =
        Now_ + Duration::millis(Near ? uniform(1, 4) : uniform(30, 45));
    at(Arrival, [this, From, To, Handle = std::move(Handle)] {
      auto Cut = CutUntil_.find({Vms_[From].Zone_, Vms_[To].Zone_});
      if (!Vms_[To].Running_ || (Cut != CutUntil_.end() && Cut->second > Now_))
        return;
      if (Vms_[To].FrozenUntil_ > Now_)
        return at(Vms_[To].FrozenUntil_, Handle);
      Handle();
    });
  }

  void tick(const VmId &Id, Time When) {
    at(When, [this, Id] {
      SimulatedVm &Vm = Vms_[Id];
      if (Vm.FrozenUntil_ > Now_)
        return tick(Id, Vm.FrozenUntil_);
      if (Vm.Running_)
        Vm.Record_.Core_ ? coreTick(Vm) : entryTick(Vm);
      tick(Id, Now_ + Interval);
    });
  }

  Heartbeat makeHeartbeat(SimulatedVm &Vm, const VmId &To) {
    Heartbeat Out;
    Out.StartedAtMs_ = Vm.Record_.StartedAtMs_;
    Out.SentAt_ = Now_.count();
    Out.Ready_ = true;
    if (Vm.RecordSentTo_.insert(To).second)
      Out.Self_.push_back(Vm.Record_);
    return Out;
  }

  void coreTick(SimulatedVm &Vm) {
    // A core VM that was cut off learns what it missed.
    for (const VmId &Other : Cores_)
      if (canTalk(Other, Vm.Record_.Vm_) && canTalk(Vm.Record_.Vm_, Other))
        Vm.Items_ = std::max(Vm.Items_, Vms_[Other].Items_);
    if (++Vm.Sent_ % HeartbeatsPerFullReport == 0)
      Vm.ReportedTo_.clear();
    for (const VmId &To : Cores_) {
      if (To == Vm.Record_.Vm_)
        continue;
      Heartbeat H = makeHeartbeat(Vm, To);
      H.EntryVms_ =
          reportEntryVms(Vm.Registry_, MaxSilence, Vm.ReportedTo_[To], Now_);
      sendHeartbeat(Vm.Record_.Vm_, To, std::move(H));
    }
  }

  void entryTick(SimulatedVm &Vm) {
    auto Proven = provenCurrentAt(Vm.Freshness_, TeamId());
    for (const VmId &To :
         heartbeatTargets(Vm.Contacts_, Cores_, Proven, MaxProofAge, Now_)) {
      ++Vm.Sent_;
      if (Vms_[To].Record_.Region_ != Vm.Record_.Region_)
        ++Vm.SentToOtherRegions_;
      sendHeartbeat(Vm.Record_.Vm_, To, makeHeartbeat(Vm, To));
    }
  }

  void sendHeartbeat(const VmId &From, const VmId &To, Heartbeat H) {
    send(From, To, [this, From, To, H] {
      SimulatedVm &Core = Vms_[To];
      HeartbeatResult Result = record(Core.Registry_, From, H, Now_);
      if (Result == HeartbeatResult::Outdated)
        return;
      recordReports(Core.Registry_, H.EntryVms_, Now_);
      if (!H.Self_.empty())
        Core.ReportedTo_.erase(From);
      HeartbeatReply Reply = makeReply(Core, H);
      Reply.KnowsSender_ = Result == HeartbeatResult::Accepted;
      std::uint64_t Process = H.StartedAtMs_;
      // The core VM may be paused between the reply and its sending.
      send(To, From, [this, From, To, Reply, Process] {
        onReply(From, To, Reply, Process);
      });
    });
  }

  HeartbeatReply makeReply(SimulatedVm &Core, const Heartbeat &H) {
    HeartbeatReply Out;
    Out.EchoedSentAt_ = H.SentAt_;
    Out.Region_ = Core.Record_.Region_;
    Out.ItemsRevision_ = Revision(Core.Items_);
    Out.Proof_.Disk_ = Core.Record_.Disk_;
    Out.Proof_.LastIndex_ = Out.Proof_.AppliedIndex_ = LogIndex(Core.Items_);
    Core.Freshness_.AppliedIndex_ = LogIndex(Core.Items_);
    LogProof Own = Out.Proof_;
    Own.VoterConfig_ = {Voters_};
    record(Core.Freshness_, Core.Record_.Vm_, Now_, Own);
    if (auto Relayed = relayedProof(Core.Freshness_, Now_))
      Out.RelayedProof_.push_back(*Relayed);
    Out.Proof_.VoterConfig_ = {Voters_};
    return Out;
  }

  void onReply(const VmId &To, const VmId &From, const HeartbeatReply &Reply,
               std::uint64_t Process) {
    SimulatedVm &Vm = Vms_[To];
    if (Vm.Record_.StartedAtMs_ != Process)
      return;
    if (!Reply.KnowsSender_) {
      Vm.RecordSentTo_.erase(From);
      Vm.ReportedTo_.erase(From);
    }
    record(Vm.Freshness_, From, Time(Reply.EchoedSentAt_), Reply.Proof_);
    if (Vm.Record_.Core_)
      return;
    recordReply(Vm.Contacts_, From, Reply, Now_);
    if (!Reply.RelayedProof_.empty())
      recordRelay(Vm.Freshness_, From, Time(Reply.EchoedSentAt_),
                  Reply.RelayedProof_.front(), Reply.ItemsRevision_);
    std::uint64_t Newer = Reply.ItemsRevision_.value();
    if (Newer <= Vm.Items_)
      return;
    // The entry VM requests the items, which takes a further round trip.
    at(Now_ + Duration::millis(uniform(5, 200)), [this, To, Newer, Process] {
      SimulatedVm &Each = Vms_[To];
      if (Each.Record_.StartedAtMs_ != Process)
        return;
      Each.Items_ = std::max(Each.Items_, Newer);
      Each.Freshness_.Revision_ = Revision(Each.Items_);
      Each.Freshness_.AppliedIndex_ = LogIndex(Each.Items_);
    });
  }

  const Size Size_;
  Random Random_;
  Time Now_ = Time(100'000);
  std::priority_queue<Event> Events_;
  std::uint64_t NextEvent_ = 0;
  std::map<VmId, SimulatedVm> Vms_;
  std::vector<VmId> Cores_;
  std::vector<VmId> EntryIds_;
  VoterConfig Voters_;
  std::map<std::pair<int, int>, Time> CutUntil_; ///< by zones, from and to
  std::uint64_t Committed_ = 1;
  std::map<std::uint64_t, Time> AcknowledgedAt_;
};

} // namespace

TEST_CASE("A fleet whose control messages stay within its regions") {
  auto S = GENERATE(Size{3, 2, 30}, Size{3, 3, 300}, Size{4, 3, 870});
  int SeedCount = S.EntryVms_ > 100 ? 2 : 20;
  auto Seed = GENERATE_COPY(range(1, SeedCount + 1));
  CAPTURE(S.EntryVms_, Seed);
  SimulatedFleet Fleet(S, static_cast<std::uint64_t>(Seed));
  auto AllKnown = static_cast<std::size_t>(S.EntryVms_);
  Fleet.run(Duration::seconds(6));
  CHECK(Fleet.fewestKnown() == AllKnown);
  CHECK(Fleet.oldestProof() <= MaxProofAge);
  Fleet.takeHeartbeats();
  Fleet.run(Duration::seconds(5));
  auto [Sent, Remote] = Fleet.takeHeartbeats();

  SECTION("sends a few heartbeats an entry VM and none to other regions, "
          "whatever its size") {
    CHECK(Sent == 5 * S.EntryVms_ * S.ZonesPerRegion_);
    CHECK(Remote == 0);
  }
  SECTION("never takes old items for current, and is whole again after "
          "faults") {
    for (int Step = 0; Step < 300; ++Step) {
      if (Step % 9 == 0)
        Fleet.injectFault();
      if (Step % 4 == 0)
        Fleet.commit();
      Fleet.run(Duration::millis(100));
      REQUIRE(Fleet.findFalseProof() == VmId());
    }
    Fleet.run(Recovery);
    CHECK(Fleet.fewestKnown() == AllKnown);
    CHECK(Fleet.oldestProof() <= MaxProofAge);
  }
  SECTION("forgets a dead entry VM in all regions within a few seconds") {
    Fleet.stopEntryVm(0);
    Fleet.run(Duration::seconds(5));
    CHECK(Fleet.fewestKnown() == AllKnown - 1);
  }
}
