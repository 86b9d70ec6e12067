#include "fakes/FakeClock.h"
#include "lagoonpoint/src/Gateway/FleetCall.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <deque>
#include <thread>

using namespace lagoonpoint;
using fakes::FakeClock;

namespace {

const ServiceId Service("register");
const RegionId North("north");

struct TestFleet;

/// The placement of one entry VM. Messages to other VMs go through the fleet.
struct TestVm {
  TestVm(TestFleet &Fleet, const char *Name, PlacementMode Mode);

  /// Requests a slot for a call with this deadline.
  SlotOutcome request(Duration Deadline = Duration::seconds(8));
  std::unique_ptr<FleetCall> call(RouteKind Kind = RouteKind::Repeatable,
                                  Duration Deadline = Duration::seconds(8),
                                  const char *Object = "o");
  void release(const SlotOutcome &O, RunResult Result = RunResult::Answered) {
    RunReport R;
    R.Result_ = Result;
    R.Run_ = Duration::millis(300);
    Placement_.client().release(O.Slot_, R);
  }
  std::string metrics() const { return Metrics_.text(); }

  TestFleet &Fleet_;
  FleetSettings Settings_;
  MetricRegistry Metrics_;
  SharedDispatcher Dispatcher_;
  SlotPlacement Placement_;
  LoadSharing LoadSharing_;
  RetryBudgets Retries_;
  FleetCallServices Services_;
};

struct TestFleet {
  /// \param Slots of each upstream
  explicit TestFleet(std::vector<unsigned> Slots,
                     PlacementMode Mode = PlacementMode::On) {
    Clock_.set(Time(1'000'000));
    unsigned Index = 0;
    for (unsigned Count : Slots) {
      UpstreamNotice N;
      N.Id_ = UpstreamId("i" + std::to_string(++Index));
      N.StartedAtMs_ = 50;
      N.Sequence_ = 1;
      N.Service_ = Service;
      N.Address_ = "10.0.1." + std::to_string(Index) + ":80";
      N.Zone_ = ZoneId("n");
      N.Slots_ = Count;
      applyNotice(Upstreams_, N, Clock_.now());
    }
    for (const char *Name : {"e1", "e2", "e3"}) {
      Vms_.emplace_back(*this, Name, Mode);
      Live_.push_back(VmId(Name));
    }
    Ready_ = Live_;
    update();
    // New holders take slots for used by others until they know better.
    pass(Duration::seconds(20));
  }

  void pass(Duration D) {
    Clock_.advance(D);
    update();
  }
  void update() {
    for (TestVm &Vm : Vms_)
      updateVm(Vm);
  }
  void updateVm(TestVm &Vm) {
    Vm.Dispatcher_.update({Upstreams_, {}, Live_, {}, Clock_.now()});
    Vm.Placement_.update({{{"north", {{"register", 10}}}}, Live_, Ready_});
  }
  void deliver(const VmId &From, const VmId &To, const FleetMessage &M) {
    ++Sent_;
    if (Intercept_ && !Intercept_(From, To, M))
      return;
    for (TestVm &Vm : Vms_)
      if (Vm.Settings_.Host_ == To.str())
        Vm.Placement_.receive(From, M);
  }
  TestVm &vm(const VmId &Id) {
    return *std::find_if(Vms_.begin(), Vms_.end(), [&](const TestVm &Vm) {
      return Vm.Settings_.Host_ == Id.str();
    });
  }
  /// The VM that holds the only pool.
  TestVm &holder() {
    SlotOutcome O = Vms_.front().request();
    REQUIRE(O.Kind_ == SlotOutcome::Kind::Granted);
    Vms_.front().release(O);
    return vm(O.Slot_.Holder_);
  }
  /// VMs that hold no pool.
  std::vector<TestVm *> requesters() {
    TestVm &Holder = holder();
    std::vector<TestVm *> Out;
    for (TestVm &Vm : Vms_)
      if (&Vm != &Holder)
        Out.push_back(&Vm);
    return Out;
  }
  /// Messages to a VM are lost, and a wait for its reply ends.
  void silence(const TestVm &Vm) {
    Intercept_ = [this, Id = VmId(Vm.Settings_.Host_)](
                     const VmId &, const VmId &To, const FleetMessage &M) {
      if (To == Id && std::holds_alternative<SlotRequest>(M))
        Clock_.advance(Duration::millis(350));
      return To != Id;
    };
  }
  /// Runs something when a request has been queued.
  void whenQueued(std::function<void()> Action) {
    Intercept_ = [Action](const VmId &, const VmId &, const FleetMessage &M) {
      const auto *Reply = std::get_if<SlotReply>(&M);
      if (Reply &&
          Reply->Result_ == static_cast<std::uint8_t>(SlotResult::Queued))
        Action();
      return true;
    };
  }

  FakeClock Clock_;
  UpstreamRegistry Upstreams_;
  std::vector<VmId> Live_;
  std::vector<VmId> Ready_;
  std::deque<TestVm> Vms_;
  std::atomic<unsigned> Sent_ = 0;
  std::function<bool(const VmId &, const VmId &, const FleetMessage &)>
      Intercept_;
};

FleetSettings settingsOf(const char *Name, PlacementMode Mode) {
  FleetSettings S;
  S.Host_ = Name;
  S.Region_ = North;
  S.Zone_ = ZoneId("n");
  S.Zones_ = {{ZoneId("n"), North}};
  S.Placement_ = Mode;
  return S;
}

TestVm::TestVm(TestFleet &Fleet, const char *Name, PlacementMode Mode)
    : Fleet_(Fleet), Settings_(settingsOf(Name, Mode)),
      Dispatcher_(Settings_, Fleet.Clock_, Metrics_),
      Placement_(Settings_, 7, Fleet.Clock_, Metrics_, Dispatcher_,
                 [this](const VmId &To, const FleetMessage &M) {
                   Fleet_.deliver(VmId(Settings_.Host_), To, M);
                 }),
      LoadSharing_(Settings_, Fleet.Clock_, Metrics_, Dispatcher_,
                   [](const VmId &, const FleetMessage &) {}),
      Services_{Fleet.Clock_,
                Dispatcher_,
                Placement_,
                LoadSharing_,
                Retries_,
                Metrics_,
                [](const TeamId &) {},
                [] {
                  return RetryBudgetLimits{0, 0, 1};
                },
                [](const TeamId &) {},
                [](const SharedSlot &) {}} {}

SlotOutcome TestVm::request(Duration Deadline) {
  SlotCall C;
  C.Service_ = Service;
  C.Demand_.Route_ = "r";
  C.Demand_.Object_ = "o";
  C.Demand_.ObjectiveAt_ = Fleet_.Clock_.now() + Duration::millis(600);
  C.Demand_.Deadline_ = Fleet_.Clock_.now() + Deadline;
  return Placement_.client().request(C);
}

std::unique_ptr<FleetCall> TestVm::call(RouteKind Kind, Duration Deadline,
                                        const char *Object) {
  FleetCallAdmission A;
  A.Route_.Name_ = "r";
  A.Route_.Service_ = Service;
  A.Route_.Kind_ = Kind;
  A.Object_ = Object;
  A.MaxAttempts_ = 2;
  A.Arrived_ = Fleet_.Clock_.now();
  A.Deadline_ = A.Arrived_ + Deadline;
  A.Objective_ = Duration::millis(600);
  return std::make_unique<FleetCall>(Services_, A);
}

bool isGranted(const SlotOutcome &O) {
  return O.Kind_ == SlotOutcome::Kind::Granted;
}
bool isUnavailable(const SlotOutcome &O) {
  return O.Kind_ == SlotOutcome::Kind::Unavailable;
}

} // namespace

TEST_CASE("All entry VMs of a region get slots from one holder") {
  TestFleet F({1, 1, 1});
  std::set<UpstreamId> Upstreams;
  std::set<VmId> Holders;
  for (TestVm &Vm : F.Vms_) {
    SlotOutcome O = Vm.request();
    REQUIRE(isGranted(O));
    Upstreams.insert(O.Slot_.Upstream_);
    Holders.insert(O.Slot_.Holder_);
  }
  CHECK(Upstreams.size() == 3); // none is granted twice
  CHECK(Holders.size() == 1);
}

TEST_CASE("A queued request is granted when a slot is released") {
  TestFleet F({1});
  auto Vms = F.requesters();
  SlotOutcome First = Vms[0]->request();
  F.whenQueued([&] { Vms[0]->release(First); });
  CHECK(isGranted(Vms[1]->request()));
}

TEST_CASE("A call that can't be served in time is refused at once") {
  TestFleet F({1});
  auto Vms = F.requesters();
  SlotOutcome First = Vms[0]->request();
  SlotOutcome Second = Vms[1]->request(Duration::millis(150));
  CHECK(Second.Kind_ == SlotOutcome::Kind::Refused);
  CHECK(Second.RetryAfter_ > Duration());
  CHECK_THAT(Second.Explanation_, Catch::Contains("retry reservations"));
  try {
    Vms[1]->call(RouteKind::Plain, Duration::millis(150))->nextTarget();
    FAIL("the call was not refused");
  } catch (const Refusal &R) {
    CHECK(R.reason() == RefusalReason::NoCapacity);
    CHECK(R.ran() == Ran::No);
    CHECK(R.retryAfter() > Duration());
  }
}

TEST_CASE("A holder that doesn't answer is not asked for a second") {
  TestFleet F({4});
  TestVm &Vm = *F.requesters()[0];
  F.silence(F.holder());
  CHECK(isUnavailable(Vm.request()));
  unsigned Sent = F.Sent_;
  auto Call = Vm.call();
  CHECK_FALSE(Call->nextTarget().Upstream_.empty()); // placed without it
  CHECK(F.Sent_ == Sent);
  F.Intercept_ = nullptr;
  F.Clock_.advance(Duration::seconds(1));
  CHECK(isGranted(Vm.request()));
}

TEST_CASE("A wait ends when the holder leaves the region's entry VMs") {
  TestFleet F({1});
  TestVm &Holder = F.holder();
  auto Vms = F.requesters();
  SlotOutcome First = Vms[0]->request();
  std::erase(F.Ready_, VmId(Holder.Settings_.Host_));
  F.whenQueued([&] { F.updateVm(*Vms[1]); });
  CHECK(isUnavailable(Vms[1]->request()));

  SECTION("and another VM grants the slots") {
    F.Intercept_ = nullptr;
    Vms[0]->release(First);
    F.pass(Duration::seconds(20));
    SlotOutcome Next = Vms[1]->request();
    REQUIRE(isGranted(Next));
    CHECK(Next.Slot_.Holder_ != First.Slot_.Holder_);
  }
}

TEST_CASE("A holder that gives up a pool sends its waiting calls elsewhere") {
  TestFleet F({1});
  TestVm &Holder = F.holder();
  auto Vms = F.requesters();
  SlotOutcome First = Vms[0]->request();
  std::erase(F.Ready_, VmId(Holder.Settings_.Host_));
  F.whenQueued([&] { F.updateVm(Holder); });
  CHECK(isUnavailable(Vms[1]->request()));
  // Its view differs from the requester's, and it is not suspected.
  CHECK(isUnavailable(Vms[1]->request()));
  CHECK_THAT(Vms[1]->metrics(), Catch::Contains("reason=\"not_holder\"} 2"));
}

TEST_CASE("The slots of an entry VM that died are granted again") {
  TestFleet F({1});
  auto Vms = F.requesters();
  REQUIRE(isGranted(Vms[0]->request(Duration::seconds(60))));
  std::erase(F.Live_, VmId(Vms[0]->Settings_.Host_));
  F.pass(LivenessTimeout + Duration::millis(1));
  CHECK(isGranted(Vms[1]->request()));
}

TEST_CASE("A slot whose release was lost is granted again after the deadline") {
  TestFleet F({1});
  auto Vms = F.requesters();
  SlotOutcome First = Vms[0]->request(Duration::seconds(2));
  F.Intercept_ = [](const VmId &, const VmId &, const FleetMessage &M) {
    return !std::holds_alternative<SlotRelease>(M);
  };
  Vms[0]->release(First);
  F.pass(Duration::millis(2900));
  CHECK_FALSE(isGranted(Vms[1]->request(Duration::millis(150))));
  F.pass(Duration::millis(200));
  CHECK(isGranted(Vms[1]->request()));
}

TEST_CASE("An upstream that this VM must not use is given back") {
  TestFleet F({4, 4});
  TestVm &Vm = *F.requesters()[0];
  auto First = Vm.call();
  UpstreamId Paused = First->nextTarget().Upstream_;
  UpstreamStatement Statement;
  Statement.Pause_ = Duration::seconds(60);
  // The release that tells the holder of the pause is lost.
  F.Intercept_ = [](const VmId &, const VmId &, const FleetMessage &M) {
    return !std::holds_alternative<SlotRelease>(M);
  };
  First->recordStatement(Statement);
  First->recordTry({.Result_ = TryResult::Shed, .Status_ = 503});
  unsigned GivenBack = 0;
  F.Intercept_ = [&](const VmId &, const VmId &, const FleetMessage &M) {
    GivenBack += std::holds_alternative<SlotRelease>(M) ? 1 : 0;
    return true;
  };
  std::vector<std::unique_ptr<FleetCall>> Calls;
  for (const char *Object : {"a", "b", "c"}) {
    Calls.push_back(
        Vm.call(RouteKind::Repeatable, Duration::seconds(8), Object));
    CHECK(Calls.back()->nextTarget().Upstream_ != Paused);
  }
  CHECK(GivenBack > 0);
}

TEST_CASE("A try is limited only where another run can follow in time") {
  TestFleet F({4});
  TestVm &Vm = *F.requesters()[0];
  auto LimitOf = [&](RouteKind Kind, Duration Deadline) {
    auto Call = Vm.call(Kind, Deadline);
    Call->nextTarget();
    return Call->tryDeadline();
  };
  // A cold run was not measured yet: it must not be cut.
  CHECK_FALSE(LimitOf(RouteKind::Repeatable, Duration::seconds(30)));
  for (int Run = 0; Run < 3; ++Run) // cold, then warm
    Vm.release(Vm.request());
  Time Now = F.Clock_.now();
  auto Limit = LimitOf(RouteKind::Repeatable, Duration::seconds(30));
  REQUIRE(Limit);
  Duration Allowed = *Limit - Now;
  CHECK(Allowed > Duration());
  CHECK_FALSE(LimitOf(RouteKind::Plain, Duration::seconds(30)));
  CHECK_FALSE(LimitOf(RouteKind::Repeatable, Allowed));
  auto Call = Vm.call(RouteKind::Repeatable, Duration::seconds(30));
  Call->nextTarget();
  // The budget of these tests holds one retry.
  CHECK(Call->recordTry({.Result_ = TryResult::Broken, .BytesSent_ = 1}));
  CHECK_FALSE(LimitOf(RouteKind::Repeatable, Duration::seconds(30)));
}

TEST_CASE("Without placement no message is sent and no slot is granted") {
  TestFleet F({1}, PlacementMode::Off);
  F.Vms_[0].Placement_.recordPace();
  auto Call = F.Vms_[0].call();
  CHECK_FALSE(Call->nextTarget().Upstream_.empty());
  CHECK_FALSE(Call->tryDeadline());
  CHECK(F.Sent_ == 0);
  CHECK_FALSE(F.Vms_[0].Placement_.isActive());
}

TEST_CASE("Mode auto begins with a stated pace or another VM's request") {
  TestFleet F({4}, PlacementMode::Auto);
  auto Call = F.Vms_[0].call();
  Call->nextTarget();
  TryReport Report;
  Report.Load_ = ReportedLoad{};
  Report.Load_->PacePercent_ = 100;
  Call->recordTry(Report);
  CHECK(F.Vms_[0].Placement_.isActive());
  CHECK(F.Sent_ == 0);
  TestVm &Other = F.Vms_[1];
  CHECK_FALSE(Other.Placement_.isActive());
  Other.Placement_.receive(VmId("e1"), SlotRequest());
  CHECK(Other.Placement_.isActive());
}

TEST_CASE("Concurrent calls at all VMs leave no slot in use") {
  TestFleet F({2, 1});
  std::atomic<unsigned> Granted = 0;
  std::vector<std::thread> Threads;
  for (unsigned N = 0; N < 6; ++N)
    Threads.emplace_back([&, N] {
      for (int Call = 0; Call < 100; ++Call) {
        TestVm &Vm = F.Vms_[N % 3]; // one of them holds the pool itself
        SlotOutcome O = Vm.request(Duration::seconds(500));
        Granted += isGranted(O) ? 1 : 0;
        if (isGranted(O))
          Vm.release(O);
      }
    });
  for (std::thread &T : Threads)
    T.join();
  CHECK(Granted == 600);
  TestVm &Holder = F.holder();
  F.update();
  CHECK_THAT(Holder.metrics(), Catch::Contains("state=\"in_use\"} 0\n"));
}

TEST_CASE("Values of a peer's slot messages are checked") {
  SlotRequest Request;
  Request.ObjectiveLeft_ = Duration::millis(INT64_MIN);
  Request.TimeLeft_ = Duration::millis(INT64_MAX);
  Request.Excluded_.assign(100'000, UpstreamId("i1"));
  SlotDemand D = demandOf(VmId("e1"), Request, Time(1000));
  CHECK(D.ObjectiveAt_ < Time(1000));
  CHECK(D.Deadline_ <= Time(1000) + Duration::seconds(600));
  Request.TimeLeft_ = Duration::millis(-5);
  CHECK(demandOf(VmId("e1"), Request, Time(1000)).Deadline_ == Time(1000));

  SlotRelease Release;
  Release.Load_ = {-1};
  Release.Pace_ = 1e9;
  Release.Run_ = Duration::millis(-1);
  REQUIRE(reportOf(Release));
  CHECK(reportOf(Release)->Load_ == 0);
  CHECK(reportOf(Release)->Pace_ == 0);
  CHECK(reportOf(Release)->Run_ == Duration());
  Release.Result_ = 200;
  CHECK_FALSE(reportOf(Release));
  SlotReply Reply;
  Reply.Result_ = 4;
  CHECK_FALSE(answerOf(Reply));
}

TEST_CASE("A retry is recognized by a deadline shorter than that of others") {
  FirstDeadline F;
  auto Since = [&](std::int64_t Allowed, std::int64_t At) {
    return F.sinceFirstRequest("r", Duration::millis(Allowed), Time(At))
        .count();
  };
  CHECK(Since(1500, 100'000) == 0);
  CHECK(Since(1401, 100'100) == 0);
  CHECK(Since(900, 100'200) == 600);
  CHECK(Since(900, 159'000) == 600);
  CHECK(Since(900, 240'000) == 0); // none was longer in the last minute
  CHECK(F.sinceFirstRequest("s", Duration::millis(5), Time(100'300)).count() ==
        0);
}
