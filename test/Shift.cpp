#include "fakes/ExampleDeclarations.h"
#include "lagoonpoint/Steering"

#include <catch2/catch.hpp>

#include <deque>

using namespace lagoonpoint;

namespace {

const ServiceId Tellimus("tellimus");
const RegionId Tallinn("tallinn"), Tartu("tartu"), Parnu("parnu");
const Duration Tick = Duration::millis(500);

SteeringView allUsable(const Declarations &D) {
  SteeringView View;
  for (const auto &[Service, S] : D.Services_)
    for (const auto &[Region, R] : D.Regions_)
      View.Usable_.insert({Service, Region});
  return View;
}

void failRegion(SteeringView &View, const RegionId &Region) {
  std::erase_if(View.Usable_,
                [&](const ServiceRegion &P) { return P.Region_ == Region; });
}

/// Records one row and the largest shift within any interval, relative to the
/// cap.
struct ShiftMonitor {
  struct Sample {
    Time At_;
    RegionShares Shares_;
    double Cap_;
  };
  std::deque<Sample> Samples_;
  double MaxCapFraction_ = 0; ///< largest shift in an interval / cap

  void observe(const RegionShares &Row, const ProfileDecl &P, Time Now) {
    while (!Samples_.empty() && Samples_.front().At_ <= Now - P.ShiftEvery_)
      Samples_.pop_front();
    Samples_.push_back({Now, Row, P.ShiftCap_});
    double Cap = 0;
    for (const Sample &S : Samples_)
      Cap = std::max(Cap, S.Cap_);
    for (const Sample &S : Samples_)
      if (!S.Shares_.empty() && !Row.empty())
        MaxCapFraction_ =
            std::max(MaxCapFraction_, distance(S.Shares_, Row) / Cap);
  }
};

/// One VM's plan on a virtual clock.
struct Simulation {
  Declarations D_ = fakes::loadExampleDeclarations("kaasik");
  SteeringView View_ = allUsable(D_);
  RegionPlan Plan_;
  Time Now_{1000};
  std::map<Flow, ShiftMonitor> Monitors_;

  ProfileDecl &profile(const ServiceId &Service = Tellimus) {
    return D_.Profiles_.at(D_.Services_.at(Service).Profile_);
  }
  double share(const RegionId &Origin, const RegionId &Region) {
    return shareOf(Plan_.Rows_.at({Tellimus, Origin}).Shares_, Region);
  }
  void run(Duration Span) {
    for (Time End = Now_ + Span; Now_ < End; Now_ = Now_ + Tick) {
      advance(Plan_, D_, View_, Now_);
      for (const auto &[F, Row] : Plan_.Rows_)
        Monitors_[F].observe(Row.Shares_, profile(F.Service_), Now_);
    }
  }
  double maxCapFraction() const {
    double Out = 0;
    for (const auto &[F, W] : Monitors_)
      Out = std::max(Out, W.MaxCapFraction_);
    return Out;
  }
};

constexpr double WithinCap = 1.0 + 1e-6;

} // namespace

TEST_CASE("Traffic stays in its own region until something changes") {
  Simulation S;
  S.run(Duration::seconds(30));
  for (const RegionId &R : {Tallinn, Tartu, Parnu})
    CHECK(S.share(R, R) == 1);

  SECTION("a declared drain moves it to the next region within the cap") {
    S.D_.Regions_.at(Parnu).Drained_ = true;
    S.run(Duration::seconds(50));
    CHECK(S.share(Parnu, Parnu) == Approx(0.5).margin(0.11));
    S.run(Duration::seconds(60));
    CHECK(S.share(Parnu, Parnu) == 0);
    CHECK(S.share(Parnu, Tallinn) == 1); // same latency as Tartu, first by id
    CHECK(S.share(Tartu, Tartu) == 1);

    SECTION("and the end of the drain moves it back within the cap") {
      S.D_.Regions_.at(Parnu).Drained_ = false;
      S.run(Duration::seconds(110));
      CHECK(S.share(Parnu, Parnu) == 1);
    }
  }
  SECTION("traffic of a failed region moves to the others within the cap") {
    failRegion(S.View_, Tallinn);
    S.run(Tick);
    CHECK(S.share(Tallinn, Tallinn) == Approx(0.9));
    S.run(Duration::seconds(105));
    CHECK(S.share(Tallinn, Tallinn) == 0);

    SECTION("and back within the cap when the region returns") {
      S.View_ = allUsable(S.D_);
      S.run(Duration::seconds(5));
      CHECK(S.share(Tallinn, Tallinn) <= 0.06);
      S.run(Duration::seconds(110));
      CHECK(S.share(Tallinn, Tallinn) == 1);
    }
  }
  SECTION("an edit of the profile moves it within the cap") {
    S.profile().Objective_ = Objective::Spread;
    S.D_.Regions_.at(Tallinn).Capacity_ = Rate(1000);
    S.run(Duration::seconds(110));
    CHECK(S.share(Parnu, Tallinn) == Approx(0.5));
    CHECK(S.share(Parnu, Tartu) == Approx(0.25));

    SECTION("and finally only the allowed regions are used") {
      S.profile().Allowed_ = {Tartu};
      S.run(Duration::seconds(110));
      CHECK(S.share(Parnu, Tartu) == 1);
      CHECK(S.share(Tallinn, Tartu) == 1);
    }
  }
  SECTION("a new price moves traffic outside its own region within the cap") {
    S.profile().Objective_ = Objective::Cheapest;
    S.profile().Avoid_ = {Parnu};
    S.run(Duration::seconds(110));
    CHECK(S.share(Parnu, Tallinn) == 1);
    for (LinkDecl &L : S.D_.Links_)
      if (L.From_ == Tallinn || L.To_ == Tallinn)
        L.Price_ = Price(20);
    S.run(Duration::seconds(110));
    CHECK(S.share(Parnu, Tartu) == 1);
  }
  SECTION("what exceeds a region's credit goes to the next region") {
    S.View_.Credit_[Tallinn] = 300;
    S.View_.Credit_[Parnu] = 100;
    S.View_.Demand_[{Tellimus, Tallinn}] = 400;
    S.run(Duration::seconds(60));
    CHECK(S.share(Tallinn, Tallinn) == Approx(0.75).margin(0.01));
    CHECK(S.share(Tallinn, Parnu) == Approx(0.25).margin(0.01));

    SECTION("and without headroom, regions are filled to their limits") {
      S.View_.Credit_ = {{Tallinn, 200}, {Tartu, 0}, {Parnu, 50}};
      S.View_.Limit_ = {{Tallinn, 260}, {Tartu, 0}, {Parnu, 110}};
      S.View_.Demand_[{Tellimus, Tallinn}] = 300;
      S.run(Duration::seconds(60));
      CHECK(S.share(Tallinn, Tallinn) == Approx(250.0 / 300).margin(0.02));
      CHECK(S.share(Tallinn, Parnu) == Approx(50.0 / 300).margin(0.02));
    }
    SECTION("and without credit anywhere, it stays there to be refused") {
      S.View_.Credit_[Parnu] = 0;
      S.View_.Credit_[Tartu] = 0;
      S.run(Duration::seconds(60));
      CHECK(S.share(Tallinn, Tallinn) == Approx(1).margin(0.01));
    }
  }
  SECTION("nothing moves if no region is usable") {
    S.View_.Usable_.clear();
    S.run(Duration::seconds(60));
    CHECK(S.share(Tallinn, Tallinn) == 1);
  }
  CHECK(S.maxCapFraction() <= WithinCap);
}

TEST_CASE("The other regions share the refusals of a failed region") {
  Declarations D = fakes::loadExampleDeclarations("kaasik");
  SteeringView View = allUsable(D);
  failRegion(View, Parnu);
  View.Demand_[{Tellimus, Parnu}] = 100;
  View.Credit_ = View.Limit_ = {{Tallinn, 0}, {Tartu, 0}, {Parnu, 0}};
  RegionShares Target = targetsByFlow(D, View).at({Tellimus, Parnu});
  CHECK(shareOf(Target, Tallinn) == Approx(0.5));
  CHECK(shareOf(Target, Tartu) == Approx(0.5));
}

TEST_CASE("Plans leave headroom according to the VMs' reports") {
  Declarations D =
      fakes::loadExampleDeclarations("kaasik"); // 500/s a region, 9 VMs
  std::set<VmId> Ready;
  for (const auto &[Id, Vm] : D.Vms_)
    Ready.insert(Id);
  RegionLoads Loads;
  Time Now(100000);
  Loads.Reports_[VmId("ta1")] = {Now, {{Tallinn, 100}}};
  Loads.Reports_[VmId("ta2")] = {Now, {{Tallinn, 235}}};
  auto Credit = [&](const char *Vm) {
    return planCredits(Loads, D, TargetUtilization, VmId(Vm), Ready, Now)
        .at(Tallinn);
  };
  CHECK(Credit("ta1") == Approx(110)); // 425 planned, 335 sent, 9 VMs
  CHECK(Credit("pa1") == Approx(10));

  SECTION("the last report of a silent VM expires") {
    Now = Now + ReportRetention;
    CHECK(Credit("pa1") == Approx(425.0 / 9));
  }
  SECTION("beyond the headroom all VMs reduce by the same factor") {
    Loads.Reports_[VmId("pa1")] = {Now, {{Tallinn, 515}}};
    CHECK(Credit("ta1") == Approx(50));
    CHECK(Credit("pa1") == Approx(257.5));
    CHECK(Credit("tr1") == 0);
  }
}

TEST_CASE("A restarted VM continues with the plan of another VM") {
  Simulation S;
  S.run(Duration::seconds(5));
  S.D_.Regions_.at(Parnu).Drained_ = true;
  S.run(Duration::seconds(33));
  std::string Bytes = encode(snapshotOf(S.Plan_, S.View_, S.Now_));
  double Before = S.share(Parnu, Parnu);
  Time Later = Time(50) + Duration::seconds(7); // by the other VM's clock

  SECTION("with its shares and the rest of its cap") {
    S.Plan_ =
        restorePlan(decode<RegionPlanSnapshot>(Bytes, "test", "vm"), S.Now_);
    CHECK(S.share(Parnu, Parnu) == Before);
    S.run(Duration::seconds(20));
    CHECK(S.maxCapFraction() <= WithinCap);
  }
  SECTION("independent of the clocks") {
    RegionPlan Plan =
        restorePlan(decode<RegionPlanSnapshot>(Bytes, "test", "vm"), Later);
    const RegionPlan::Row &Row = Plan.Rows_.at({Tellimus, Parnu});
    ShiftLimit Rules{0.1, Duration::seconds(10)};
    CHECK(allowedShift(Row.History_, Rules, Later) < 0.02);
  }
  SECTION("and rejects invalid shares") {
    for (double Share : {-0.1, 0.5, 2.0, std::nan("")}) {
      RegionPlanSnapshot Bad = snapshotOf(S.Plan_, S.View_, S.Now_);
      Bad.Rows_.at(0).Entries_ = {{Parnu, Share}};
      CHECK_THROWS_AS(restorePlan(Bad, S.Now_), Error);
    }
  }
}

TEST_CASE("A VM that does not carry a flow follows the VMs that do") {
  Simulation Follower;
  Simulation Carrier;
  Carrier.View_.Demand_[{Tellimus, Parnu}] = 50;
  Follower.run(Duration::seconds(1));
  Carrier.run(Duration::seconds(1));
  Flow FromParnu{Tellimus, Parnu};

  SECTION("through a shift, so that callers who fail over cause none") {
    Carrier.D_.Regions_.at(Parnu).Drained_ = true;
    for (int I = 0; I < 14; ++I) {
      Carrier.run(PlanInterval);
      Follower.run(PlanInterval);
      applyPeerUpdate(Follower.Plan_,
                      snapshotOf(Carrier.Plan_, Carrier.View_, Carrier.Now_),
                      Follower.View_, Follower.Now_);
      CHECK(Follower.share(Parnu, Parnu) == Carrier.share(Parnu, Parnu));
    }
    CHECK(Follower.share(Parnu, Parnu) < 0.4);
  }
  SECTION("even if its own view of the regions differs") {
    failRegion(Follower.View_, Parnu);
    applyPeerUpdate(Follower.Plan_,
                    snapshotOf(Carrier.Plan_, Carrier.View_, Carrier.Now_),
                    Follower.View_, Follower.Now_);
    Follower.run(PlanInterval * 2);
    CHECK(Follower.share(Parnu, Parnu) == 1);
    Follower.run(PlanInterval * 2); // no carrying VM has been heard of since
    CHECK(Follower.share(Parnu, Parnu) < 1);
  }
  SECTION("but not a VM that does not carry it either") {
    Carrier.View_.Demand_.clear();
    Carrier.Plan_.Rows_.at(FromParnu).Shares_ = {{Tartu, 1}};
    applyPeerUpdate(Follower.Plan_,
                    snapshotOf(Carrier.Plan_, Carrier.View_, Carrier.Now_),
                    Follower.View_, Follower.Now_);
    CHECK(Follower.share(Parnu, Parnu) == 1);
  }
  SECTION("and keeps the row while a carrying VM may be out of contact") {
    std::set<VmId> Ready;
    for (const auto &[Id, Vm] : Follower.D_.Vms_)
      if (Id != VmId("pa2"))
        Ready.insert(Id);
    Follower.View_.UnreachableFlows_ = unreachableFlows(Follower.D_, Ready);
    CHECK(Follower.View_.UnreachableFlows_.size() == 2);
    failRegion(Follower.View_, Parnu);
    Follower.run(Duration::seconds(300));
    CHECK(Follower.share(Parnu, Parnu) == 1);
    Follower.View_.Demand_[FromParnu] = 50;
    Follower.run(Duration::seconds(30));
    CHECK(Follower.share(Parnu, Parnu) == Approx(0.7));
    CHECK(Follower.maxCapFraction() <= WithinCap);
  }
}

TEST_CASE("Look-ups return the closest VMs and move callers within the cap") {
  Declarations D = fakes::loadExampleDeclarations("kaasik");
  std::set<VmId> Ready;
  for (const auto &[Id, Vm] : D.Vms_)
    Ready.insert(Id);
  LookupPlan Plan;
  Random Source(1);
  Time Now(1000);
  CallerGroup InA{Tellimus, ZoneId("tallinn-a")};
  auto Run = [&](Duration Span) {
    for (Time End = Now + Span; Now < End; Now = Now + Tick)
      advance(Plan, D, Ready, Now);
  };
  auto Weight = [&](const char *Vm) {
    for (const EntryTarget &T : answer(Plan, D, Ready, InA, Source))
      if (T.Vm_ == VmId(Vm))
        return T.Weight_;
    return -1.0;
  };
  Run(Duration::seconds(1));
  CHECK(Weight("ta1") == 0.5);
  CHECK(Weight("ta2") == 0.5);
  CHECK(Weight("ta3") == 0);
  CHECK(answer(Plan, D, Ready, InA, Source).size() == 9);
  CHECK(answer(Plan, D, Ready, InA, Source).at(2).Vm_ == VmId("ta3"));

  SECTION("a failed VM is left out at once and its callers stay in the zone") {
    Ready.erase(VmId("ta1"));
    CHECK(Weight("ta1") == -1);
    Run(Tick);
    CHECK(Weight("ta2") == 1);

    SECTION("and gets its callers back within the cap per interval plus TTL") {
      Ready.insert(VmId("ta1"));
      Run(Duration::seconds(14));
      CHECK(Weight("ta1") == Approx(0.1));
      Run(Duration::seconds(2));
      CHECK(Weight("ta1") == Approx(0.2));
    }
  }
  SECTION("callers of a failed zone go to the other zone of the region") {
    Ready.erase(VmId("ta1"));
    Ready.erase(VmId("ta2"));
    Run(Tick);
    CHECK(Weight("ta3") == 0.5);
  }
  SECTION("callers of a drained region move within the cap") {
    D.Regions_.at(Tallinn).Drained_ = true;
    Run(Tick);
    CHECK(Weight("ta1") == Approx(0.45));
    Run(Duration::seconds(151));
    CHECK(Weight("ta1") == -1);
    CHECK(Weight("pa1") == Approx(0.2)); // Tartu is as close as Parnu
  }
  SECTION("the answer is empty if no VM is ready") {
    Ready.clear();
    CHECK(answer(Plan, D, Ready, InA, Source).empty());
  }
  SECTION("the first entry is drawn by weight") {
    int First = 0;
    for (int I = 0; I < 1000; ++I)
      First += answer(Plan, D, Ready, InA, Source).at(0).Vm_ == VmId("ta1");
    CHECK(First == Approx(500).margin(80));
  }
}

namespace {

/// Several VMs with separate views, and callers that move between them.
struct Fleet {
  static constexpr std::size_t Vms = 9;
  Declarations D_ = fakes::loadExampleDeclarations("kaasik");
  std::vector<Declarations> Declared_{Vms, D_};
  std::vector<SteeringView> Views_{Vms, allUsable(D_)};
  std::vector<RegionPlan> Plans_{Vms};
  std::vector<std::map<Flow, double>> EntryRates_{Vms}; ///< calls a second
  std::deque<std::pair<Time, std::vector<RegionPlan>>> History_;
  Time Now_{1000};
  double MaxMoved_ = 0;

  RegionId anyRegion(Random &R) {
    return std::next(D_.Regions_.begin(),
                     static_cast<long>(R() % D_.Regions_.size()))
        ->first;
  }
  void injectFault(Random &R) {
    std::size_t Vm = R() % Vms;
    std::vector<ServiceId> Services{Tellimus, ServiceId("ringplaan")};
    ProfileDecl &P =
        D_.Profiles_.at(D_.Services_.at(Services[R() % 2]).Profile_);
    switch (R() % 9) {
    case 0:
      failRegion(Views_[Vm], anyRegion(R));
      break;
    case 1:
      Views_[Vm] = allUsable(D_);
      break;
    case 2: {
      RegionDecl &Region = D_.Regions_.at(anyRegion(R));
      Region.Drained_ = !Region.Drained_;
      break;
    }
    case 3:
      P.Objective_ = static_cast<Objective>(R() % 3);
      break;
    case 4:
      P.Avoid_ = R() % 2 ? std::vector{anyRegion(R)} : std::vector<RegionId>();
      break;
    case 5:
      D_.Links_[R() % D_.Links_.size()].Price_ = Price(double(R() % 9));
      break;
    case 6:
      Declared_[Vm] = D_; // the other VMs get edits later
      break;
    case 7:
      Views_[Vm].Credit_[anyRegion(R)] = double(R() % 200);
      break;
    default:
      Plans_[Vm] = restorePlan(snapshotOf(Plans_[R() % Vms], {}, Now_), Now_);
      History_.clear(); // it holds the former plan of this VM
    }
    for (auto &[F, Rate] : EntryRates_[Vm])
      Rate = double(R() % 100);
  }
  /// \returns the fraction of a service's traffic whose region differs from
  /// \p Earlier, weighted by the current entry rates.
  double movedSince(const std::vector<RegionPlan> &Earlier,
                    const ServiceId &Service) const {
    double Moved = 0;
    double All = 0;
    for (std::size_t Vm = 0; Vm < Vms; ++Vm)
      for (const auto &[F, Rate] : EntryRates_[Vm]) {
        if (F.Service_ != Service || Rate <= 0)
          continue;
        All += Rate;
        Moved += Rate * distance(Earlier[Vm].Rows_.at(F).Shares_,
                                 Plans_[Vm].Rows_.at(F).Shares_);
      }
    return All > 0 ? Moved / All : 0;
  }
  void step() {
    for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
      Views_[Vm].Demand_ = EntryRates_[Vm];
      advance(Plans_[Vm], Declared_[Vm], Views_[Vm], Now_);
    }
    while (!History_.empty() &&
           History_.front().first <= Now_ - Duration::seconds(10))
      History_.pop_front();
    for (const auto &[At, Earlier] : History_)
      for (const auto &[Service, S] : D_.Services_)
        MaxMoved_ = std::max(MaxMoved_, movedSince(Earlier, Service));
    History_.emplace_back(Now_, Plans_);
    Now_ = Now_ + Tick;
  }
};

} // namespace

TEST_CASE("No interval moves more than the cap under random faults") {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    Random Source(Seed);
    Fleet F;
    std::uint64_t Before = invariantViolations();
    for (const auto &[Service, S] : F.D_.Services_)
      for (const auto &[Region, R] : F.D_.Regions_)
        for (auto &Entering : F.EntryRates_)
          Entering[{Service, Region}] = double(Source() % 100);
    for (int I = 0; I < 2000; ++I) {
      if (Source() % 20 == 0)
        F.injectFault(Source);
      F.step();
    }
    CHECK(F.MaxMoved_ > 0.02);
    CHECK(F.MaxMoved_ <= 0.1 * WithinCap);
    CHECK(invariantViolations() == Before);
  }
}
