#include "lagoonpoint/Steering"
#include "fakes/ExampleDeclarations.h"
#include "fakes/FakeNetwork.h"

#include <catch2/catch.hpp>

using namespace lagoonpoint;

namespace {

const ServiceId Tellimus("tellimus"), Ringplaan("ringplaan");
const RegionId Tallinn("tallinn"), Tartu("tartu"), Parnu("parnu");
const Duration Tick = Duration::millis(500);

/// The VMs of a deployment on a fake network, with upstreams and callers.
struct Fleet {
  Declarations D_ = fakes::loadExampleDeclarations("kaasik");
  fakes::FakeNetwork Net_;
  std::map<VmId, VmSteering> Vms_;
  std::set<VmId> Dead_;
  std::set<VmId> Ready_;
  std::map<VmId, std::set<VmId>> Reachable_; ///< VMs in contact, if not Ready_
  std::set<RegionId> Failed_;                ///< regions without upstreams
  std::map<Flow, VmId> EntryVm_;             ///< entry VM of a flow's callers
  double SlotsEach_ = 6;                     ///< per service and VM
  RegionId HalvedRegion_;                    ///< has lost half of its upstreams
  Random Source_{9};
  Time Now_{1000};
  std::map<std::pair<RegionId, RegionId>, int> Served_; ///< since cleared
  int Refused_ = 0;

  Fleet() {
    for (const auto &[Id, Vm] : D_.Vms_)
      start(Id);
    for (const auto &[Id, Region] : D_.Regions_)
      EntryVm_[{Tellimus, Id}] = vmOf(Id);
  }
  RegionId regionOf(const VmId &Vm) const {
    return D_.Zones_.at(D_.Vms_.at(Vm).Zone_).Region_;
  }
  VmId vmOf(const RegionId &Region) const {
    for (const auto &[Id, Vm] : D_.Vms_)
      if (regionOf(Id) == Region)
        return Id;
    return VmId();
  }
  void start(const VmId &Vm) {
    Vms_[Vm] = startSteering(Vm, Now_);
    Ready_.insert(Vm);
    Dead_.erase(Vm);
  }
  void kill(const RegionId &Region) {
    Failed_.insert(Region);
    for (const auto &[Id, Vm] : D_.Vms_)
      if (regionOf(Id) == Region) {
        Ready_.erase(Id);
        Dead_.insert(Id);
        Net_.dropTo(Id);
      }
  }
  void tickVm(const VmId &Vm) {
    bool HasUpstreams = !Failed_.count(regionOf(Vm));
    std::map<ServiceId, double> Slots;
    if (HasUpstreams)
      Slots = {{Tellimus, SlotsEach_}, {Ringplaan, SlotsEach_}};
    if (HasUpstreams && regionOf(Vm) == HalvedRegion_)
      Slots[Tellimus] = Slots[Ringplaan] = SlotsEach_ / 2;
    auto Reach = Reachable_.count(Vm) ? Reachable_[Vm] : Ready_;
    auto Update = tick(Vms_[Vm], D_, Reach, Slots, Now_);
    for (const VmId &To : Ready_)
      if (Update && To != Vm)
        Net_.send(Now_, {Vm, To, Channel::Membership, encode(*Update)});
  }
  void sendCalls() {
    std::map<RegionId, RegionCredit> Credits;
    for (const auto &[Id, Region] : D_.Regions_)
      Credits[Id] = {};
    for (const auto &[F, Vm] : EntryVm_)
      for (int I = 0; I < 20 && !Dead_.count(Vm); ++I) {
        ZoneId Home(F.Origin_.str() + "-a");
        RegionDecision Out = chooseRegion(Vms_[Vm], D_, Tellimus, Home, Credits,
                                          {500, 2000}, Source_);
        if (Out.Refused_)
          ++Refused_;
        else
          ++Served_[{F.Origin_, Out.Region_}];
      }
  }
  void run(Duration Span) {
    for (Time End = Now_ + Span; Now_ < End; Now_ = Now_ + Tick) {
      for (const Envelope &E : Net_.takeDue(Now_))
        if (!Dead_.count(E.To_))
          applyPeerUpdate(
              Vms_[E.To_], E.From_,
              decode<SteeringUpdate>(E.Body_, "test", E.From_.str()), Now_);
      for (const auto &[Id, Vm] : D_.Vms_)
        if (!Dead_.count(Id))
          tickVm(Id);
      sendCalls();
    }
  }
  double share(const char *Vm, const RegionId &Origin, const RegionId &To) {
    return shareOf(Vms_[VmId(Vm)].Regions_.Rows_.at({Tellimus, Origin}).Shares_,
                   To);
  }
};

} // namespace

TEST_CASE("VMs that start together begin without waiting") {
  Fleet F;
  F.run(Duration::seconds(2));
  for (const auto &[Id, S] : F.Vms_)
    CHECK(S.IsStarted_);
  F.Refused_ = 0;
  F.run(Duration::seconds(30));
  CHECK(F.Refused_ == 0);
  CHECK(F.Served_[{Parnu, Parnu}] > 0);
  CHECK(F.Served_[{Parnu, Tallinn}] == 0);

  SECTION("and a drain leaves no calls in the region") {
    F.D_.Regions_.at(Parnu).Drained_ = true;
    F.run(Duration::seconds(110));
    F.Served_.clear();
    F.run(Duration::seconds(5));
    CHECK(F.Served_[{Parnu, Parnu}] == 0);
    CHECK(F.Served_[{Parnu, Tallinn}] + F.Served_[{Parnu, Tartu}] > 0);
    CHECK(F.Refused_ == 0);

    SECTION("and VMs that do not carry the flow follow its shares") {
      CHECK(F.share("tr1", Parnu, Parnu) == Approx(0).margin(0.01));
    }
  }
  SECTION("and a VM that starts later continues with the others' plans") {
    F.D_.Regions_.at(Parnu).Drained_ = true;
    F.run(Duration::seconds(50));
    double Before = F.share("pa1", Parnu, Parnu);
    CHECK(Before < 0.7);
    F.start(VmId("pa2"));
    CHECK(F.Vms_[VmId("pa2")].IsStarted_ == false);
    F.run(Duration::seconds(2));
    CHECK(F.share("pa2", Parnu, Parnu) <= Before);
    CHECK(F.share("pa2", Parnu, Parnu) > Before - 0.15);
    VmSteering &Late = F.Vms_[VmId("pa2")];
    CHECK(Late.Lookups_.Rows_.size() == 12);
    Flow Idle{Ringplaan, Parnu}; // carried by no VM
    double Others =
        shareOf(F.Vms_[VmId("tr1")].Regions_.Rows_.at(Idle).Shares_, Parnu);
    CHECK(Others > 0.3);
    CHECK(shareOf(Late.Regions_.Rows_.at(Idle).Shares_, Parnu) ==
          Approx(Others).margin(0.05));
  }
  SECTION("and a VM without a peer starts after PlanRequestTimeout") {
    VmSteering Alone = startSteering(VmId("pa2"), F.Now_);
    std::set<VmId> Self{VmId("pa2")};
    tick(Alone, F.D_, Self, {{Tellimus, 3}}, F.Now_);
    CHECK(!Alone.IsStarted_);
    tick(Alone, F.D_, Self, {{Tellimus, 3}}, F.Now_ + PlanRequestTimeout);
    CHECK(Alone.IsStarted_);
  }
}

TEST_CASE("Callers of a failed region move within the cap") {
  Fleet F;
  F.run(Duration::seconds(30));
  F.kill(Parnu);
  F.EntryVm_[{Tellimus, Parnu}] = VmId("tr1");
  F.Served_.clear();
  F.run(Duration::seconds(9));
  int Callers = 9 * 2 * 20;
  int Moved = F.Served_[{Parnu, Tallinn}] + F.Served_[{Parnu, Tartu}];
  CHECK(Moved <= 0.1 * Callers + 4 * std::sqrt(0.1 * Callers));
  CHECK(F.Served_[{Parnu, Parnu}] == 0);
  CHECK(F.Served_[{Tartu, Tartu}] == Callers);
  F.run(Duration::seconds(120));
  F.Refused_ = 0;
  F.run(Duration::seconds(5));
  CHECK(F.Refused_ == 0);

  SECTION("and move back within the cap when it returns") {
    F.Failed_.clear();
    for (const char *Vm : {"pa1", "pa2"})
      F.start(VmId(Vm));
    F.EntryVm_[{Tellimus, Parnu}] = VmId("pa1");
    F.Served_.clear();
    F.run(Duration::seconds(10));
    int Back = F.Served_[{Parnu, Parnu}];
    CHECK(Back <= 0.1 * 10 * 2 * 20 + 20);
    F.run(Duration::seconds(120));
    CHECK(F.share("pa1", Parnu, Parnu) == 1);
  }
}

TEST_CASE("A region that lost half of its upstreams gets half of the calls") {
  Fleet F;
  F.D_.Regions_.at(Parnu).Capacity_ = Rate(40); // demand is 40/s
  F.run(Duration::seconds(60));
  CHECK(F.share("pa1", Parnu, Parnu) == Approx(TargetUtilization).margin(0.05));
  F.HalvedRegion_ = Parnu;
  F.run(Duration::seconds(60));
  CHECK(F.share("pa1", Parnu, Parnu) ==
        Approx(TargetUtilization / 2).margin(0.05));
  CHECK(F.Refused_ < 0.01 * 120 * 120);
}

TEST_CASE("A partitioned region keeps its callers, who fail over later") {
  Fleet F;
  F.run(Duration::seconds(30));
  std::set<VmId> Inside, Outside;
  for (const auto &[Id, Vm] : F.D_.Vms_)
    (F.regionOf(Id) == Parnu ? Inside : Outside).insert(Id);
  for (const VmId &In : Inside)
    for (const VmId &Out : Outside) {
      F.Net_.cut(In, Out);
      F.Net_.cut(Out, In);
      F.Reachable_[In] = Inside;
      F.Reachable_[Out] = Outside;
    }
  F.Refused_ = 0;
  F.run(Duration::seconds(200));
  CHECK(F.Refused_ == 0); // each side serves its own callers
  CHECK(F.share("tr1", Parnu, Parnu) == 1);
  F.EntryVm_[{Tellimus, Parnu}] = VmId("tr1");
  F.Served_.clear();
  F.run(Duration::seconds(9));
  CHECK(F.Served_[{Parnu, Tallinn}] + F.Served_[{Parnu, Tartu}] <= 60);
}

TEST_CASE("Calls are forwarded to VMs that have upstreams of the service") {
  Fleet F;
  F.run(Duration::seconds(10));
  const VmSteering &S = F.Vms_[VmId("tr1")];
  auto To = [&](const std::set<VmId> &Ready, Time Now) {
    return forwardTargets(S, F.D_, Tellimus, Parnu, Ready, Now, F.Source_);
  };
  CHECK(To(F.Ready_, F.Now_).size() == 2);
  CHECK(To({VmId("pa2")}, F.Now_) == std::vector{VmId("pa2")});
  CHECK(To(F.Ready_, F.Now_ + Duration::seconds(20)).empty());
  F.Failed_.insert(Parnu);
  F.run(Duration::seconds(6));
  CHECK(To(F.Ready_, F.Now_).empty());
}

TEST_CASE("A region without recent updates is not usable") {
  Fleet F;
  F.run(Duration::seconds(10));
  ServiceRegion There{Tellimus, Parnu};
  CHECK(F.Vms_[VmId("tr1")].View_.Usable_.count(There) == 1);
  for (const char *Vm : {"pa1", "pa2"})
    F.Net_.cut(VmId(Vm), VmId("tr1"));
  F.run(Duration::seconds(20));
  CHECK(F.Vms_[VmId("tr1")].View_.Usable_.count(There) == 0);
}

TEST_CASE("A regular update contains only rows that the sender carries") {
  Fleet F;
  F.run(Duration::seconds(30));
  auto Update = tick(F.Vms_[VmId("pa1")], F.D_, F.Ready_, {{Tellimus, 6}},
                     F.Now_ + PlanInterval);
  REQUIRE(Update);
  CHECK(Update->Regions_.Rows_.size() == 1);
  CHECK(Update->Lookups_.Rows_.empty());
  CHECK(encode(*Update).size() < 250);
  VmSteering Late = startSteering(VmId("pa2"), F.Now_);
  applyPeerUpdate(Late, VmId("pa1"), *Update, F.Now_);
  CHECK(!Late.IsStarted_);
}

TEST_CASE("A malformed update is rejected without any change") {
  Fleet F;
  F.run(Duration::seconds(10));
  VmSteering &S = F.Vms_[VmId("tr1")];
  SteeringUpdate Bad;
  Bad.IsStarted_ = true;
  SECTION("a negative rate") { Bad.SendRates_ = {{Parnu, -1.0}}; }
  SECTION("a negative number of slots") { Bad.Slots_ = -1; }
  SECTION("shares that do not sum to 1") {
    Bad.Regions_.Rows_ = {{Tellimus, Parnu, {{Tartu, 0.5}}, {}, 50}};
  }
  CHECK_THROWS_AS(applyPeerUpdate(S, VmId("pa1"), Bad, F.Now_), Error);
  CHECK(S.Peers_.at(VmId("pa1")).Serving_.size() == 2);
}
