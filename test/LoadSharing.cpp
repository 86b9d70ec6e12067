// Entry VMs tell each other which upstreams they find full or free again.
#include "lagoonpoint/src/Gateway/LoadSharing.h"
#include "fakes/FakeClock.h"
#include "lagoonpoint/src/Gateway/LoadRelay.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <queue>
#include <thread>

using namespace lagoonpoint;

namespace {

const ServiceId Service("stock");
constexpr Duration Warm = Duration::millis(225);
constexpr Duration Objective = Duration::millis(600);
constexpr Duration Timeout = Duration::millis(1500);
constexpr unsigned Slots = 4;

/// Upstreams of which one in eight at a time works 2.5 times as long for 600
/// ms, and entry VMs that each know only their own calls and, if they share
/// loads, the notices of the others. All objects are warm.
class Simulation {
public:
  Simulation(bool Shared, double CallsPerSecond)
      : Shared_(Shared), Gap_(1000 / CallsPerSecond), Groups_(Vms),
        Upstreams_(UpstreamCount) {
    Options_.LoadsAreShared_ = Shared;
    for (SharedGroup &G : Groups_)
      for (int N = 0; N < UpstreamCount; ++N) {
        SharedUpstream U;
        U.Id_ = UpstreamId(std::string("u") + char('a' + N));
        U.IdHash_ = rendezvousHash(U.Id_.str());
        U.Region_ = RegionId("north");
        U.Slots_ = Slots;
        G.Upstreams_.push_back(U);
      }
  }

  /// \returns the fraction of the calls that are answered within the objective.
  double run(Duration Length) {
    for (double At = 0; At < static_cast<double>(Length.count()); At += Gap_) {
      Time Arrival(static_cast<std::int64_t>(At) + 1);
      std::string Object = "o" + std::to_string(Random_() % Objects);
      int Vm = static_cast<int>(Random_() % Vms);
      at(Arrival, [this, Vm, Object, Arrival] { place(Vm, Object, Arrival); });
    }
    unsigned Calls = 0;
    while (!Events_.empty()) {
      Event E = Events_.top();
      Events_.pop();
      Now_ = E.At_;
      E.Run_();
    }
    Calls = static_cast<unsigned>(static_cast<double>(Length.count()) / Gap_);
    return double(InTime_) / Calls;
  }

private:
  static constexpr int Vms = 36, UpstreamCount = 16, Objects = 160;
  /// Until a notice has reached the other VMs.
  static constexpr Duration NoticeDelay = Duration::millis(200);

  struct Event {
    Time At_;
    std::uint64_t Order_;
    std::function<void()> Run_;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At_, Other.Order_) < std::pair(At_, Order_);
    }
  };
  struct Sent {
    int Vm_;
    Time Arrival_, SentAt_;
    double InFlight_;
  };
  struct Model {
    unsigned Running_ = 0;
    std::queue<Sent> Waiting_;
  };

  void at(Time When, std::function<void()> Run) {
    Events_.push({When, ++Order_, std::move(Run)});
  }
  double pace(int Upstream) const {
    return (Now_.count() / 600 + Upstream) % 8 == 0 ? 2.5 : 1;
  }
  void place(int Vm, const std::string &Object, Time Arrival) {
    if (Now_ - Arrival > Objective / 2)
      return; // refused
    KeyedRequest R{Object, {RegionId("north")}, {}};
    R.TimeLeft_ = Timeout - (Now_ - Arrival);
    SharedGroup &G = Groups_[static_cast<std::size_t>(Vm)];
    SharedUpstream *U = chooseShared(G, R, Options_, Now_);
    if (!U) {
      at(Now_ + Duration::millis(50),
         [this, Vm, Object, Arrival] { place(Vm, Object, Arrival); });
      return;
    }
    Sent S{Vm, Arrival, Now_, estimatedInFlight(*U, Options_, Now_)};
    reserve(*U, Now_);
    int Index = static_cast<int>(U - G.Upstreams_.data());
    Upstreams_[static_cast<std::size_t>(Index)].Waiting_.push(S);
    serve(Index);
  }
  void serve(int Index) {
    Model &M = Upstreams_[static_cast<std::size_t>(Index)];
    while (M.Running_ < Slots && !M.Waiting_.empty()) {
      Sent S = M.Waiting_.front();
      M.Waiting_.pop();
      ++M.Running_;
      auto Run = Duration::millis(
          static_cast<std::int64_t>(double(Warm.count()) * pace(Index)));
      at(Now_ + Run, [=, this] { answer(Index, S); });
    }
  }
  void answer(int Index, const Sent &S) {
    Model &M = Upstreams_[static_cast<std::size_t>(Index)];
    unsigned Load = M.Running_ + static_cast<unsigned>(M.Waiting_.size());
    --M.Running_;
    SharedOutcome O;
    O.Answered_ = true;
    O.ReportedInFlight_ = Load;
    O.Pace_ = pace(Index);
    O.InFlightAtSend_ = S.InFlight_;
    O.Seconds_ = (Now_ - S.SentAt_).inSeconds();
    SharedUpstream &U = upstream(S.Vm_, Index);
    if (Shared_ && changesChoice(U, Load, Options_, Now_))
      at(Now_ + NoticeDelay, [=, this] {
        for (int Vm = 0; Vm < Vms; ++Vm)
          recordLoad(upstream(Vm, Index), Load, O.Pace_, Now_);
      });
    release(U, O, Options_, Now_);
    InTime_ += Now_ - S.Arrival_ <= Objective ? 1 : 0;
    serve(Index);
  }
  SharedUpstream &upstream(int Vm, int Index) {
    return Groups_[static_cast<std::size_t>(Vm)]
        .Upstreams_[static_cast<std::size_t>(Index)];
  }

  const bool Shared_;
  const double Gap_;
  KeyedChoiceOptions Options_;
  std::vector<SharedGroup> Groups_; ///< by VM
  std::vector<Model> Upstreams_;
  std::priority_queue<Event> Events_;
  std::uint64_t Order_ = 0;
  Time Now_;
  Random Random_{23};
  unsigned InTime_ = 0;
};

template <class Condition> bool eventually(Condition Holds) {
  for (int Step = 0; Step < 500; ++Step) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

LoadNotices notices(const std::string &Id, unsigned Calls) {
  return {{{UpstreamId(Id), 1, Duration(), Calls, 100}}};
}

} // namespace

// A machine that turns slow for half a second gets a queue that lasts for
// seconds, because most VMs don't know of it and calls that time out are sent
// again.
TEST_CASE("Calls go around upstreams that are slow for a while") {
  // All slots at usual pace make 284 calls/s; one machine in eight is slow.
  constexpr double CallsPerSecond = 0.65 * 16 * Slots * 1000 / 225;
  double Alone = Simulation(false, CallsPerSecond).run(Duration::seconds(60));
  double Shared = Simulation(true, CallsPerSecond).run(Duration::seconds(60));
  CAPTURE(Alone, Shared);
  // Only calls at the slow eighth have a reason to be late.
  CHECK(Shared >= 1 - 1.0 / 8);
  CHECK(Shared > Alone);
}

// Notices of what is known already would hide the others.
TEST_CASE("A stated load is told to others") {
  KeyedChoiceOptions Options;
  Options.LoadsAreShared_ = true;
  SharedUpstream U;
  U.Slots_ = Slots;
  Time Now(1'000'000);
  SECTION("if they would send calls that wait") {
    CHECK(changesChoice(U, Slots + 1, Options, Now));
    CHECK_FALSE(changesChoice(U, Slots, Options, Now));
  }
  SECTION("once, while it stays") {
    recordLoad(U, 8, 1, Now);
    CHECK_FALSE(changesChoice(U, 8, Options, Now));
    CHECK_FALSE(changesChoice(U, 5, Options, Now));
  }
  SECTION("again when what is known of it has faded") {
    recordLoad(U, 8, 1, Now);
    Time Later = Now + Duration::millis(500);
    CHECK(changesChoice(U, 8, Options, Later));
    SECTION("which takes longer at a slow machine") {
      recordLoad(U, 8, 2.5, Now);
      CHECK_FALSE(changesChoice(U, 8, Options, Later));
    }
  }
  SECTION("when its slots are free again") {
    recordLoad(U, 12, 1, Now);
    CHECK(changesChoice(U, 4, Options, Now));
  }
}

// Loads of another process, older ones, or absurd ones would keep calls away
// from free slots.
TEST_CASE("A dispatcher takes notices of others") {
  fakes::FakeClock Clock;
  Clock.set(Time(1'000'000));
  MetricRegistry Metrics;
  FleetSettings Settings;
  Settings.Host_ = "10.0.0.1";
  Settings.Region_ = RegionId("north");
  Settings.Zones_ = {{ZoneId("n"), RegionId("north")}};
  SharedDispatcher Dispatcher(Settings, Clock, Metrics);
  Dispatcher.setLoadSharing(true);
  UpstreamRegistry Registry;
  UpstreamNotice U;
  U.Id_ = UpstreamId("u1");
  U.StartedAtMs_ = 7;
  U.Sequence_ = 1;
  U.Service_ = Service;
  U.Address_ = "10.0.1.1:80";
  U.Zone_ = ZoneId("n");
  U.Slots_ = Slots;
  applyNotice(Registry, U, Clock.now());
  auto Update = [&] { Dispatcher.update({Registry, {}, {}, {}, Clock.now()}); };
  Update();
  auto HasRoom = [&] {
    SharedDispatchRequest Call{Service,
                               "object",
                               {},
                               {},
                               0,
                               Clock.now(),
                               Clock.now() + Duration::seconds(1)};
    try {
      Dispatcher.release(Service, Dispatcher.acquire(Call), TryReport());
      return true;
    } catch (const Refusal &) {
      return false;
    }
  };
  LoadNotice Full{UpstreamId("u1"), 7, Duration(), 12, 250};
  auto Advance = [&](int Millis) {
    Clock.set(Clock.now() + Duration::millis(Millis));
  };
  REQUIRE(HasRoom());
  Advance(10);
  SECTION("and keeps calls away from a full upstream, longer if it is slow") {
    Dispatcher.recordLoads({Full});
    CHECK_FALSE(HasRoom());
    Advance(700);
    Update(); // the state of upstreams is replaced with each announcement
    CHECK_FALSE(HasRoom());
    Advance(700);
    CHECK(HasRoom());
  }
  SECTION("but not by a notice of an earlier process of it") {
    Full.StartedAtMs_ = 6;
    Dispatcher.recordLoads({Full});
    CHECK(HasRoom());
  }
  SECTION("or by one that is older than what it knows") {
    Dispatcher.recordLoads({{UpstreamId("u1"), 7, Duration(), 2, 100}});
    Advance(50);
    Full.Age_ = Duration::millis(90);
    Dispatcher.recordLoads({Full});
    CHECK(HasRoom());
  }
  SECTION("and no more than some seconds by an absurd one") {
    Full.Calls_ = 4'000'000'000;
    Full.PacePercent_ = 9'999;
    Dispatcher.recordLoads({Full});
    CHECK_FALSE(HasRoom());
    Advance(4'000);
    CHECK(HasRoom());
  }
}

// A message for each notice and VM would take more of the links than calls do.
TEST_CASE("Notices go through one core VM") {
  fakes::FakeClock Clock;
  std::mutex Lock;
  std::vector<LoadNotices> Out;
  auto Count = [&] {
    std::lock_guard Guard(Lock);
    return Out.size();
  };
  SECTION("which sends those of an interval together, the last of each "
          "upstream") {
    LoadRelay Relay(Clock, [&](const LoadNotices &M) {
      std::lock_guard Guard(Lock);
      Out.push_back(M);
    });
    Relay.receive(notices("u1", 9));
    Relay.receive(notices("u2", 7));
    Clock.set(Clock.now() + Duration::millis(30));
    Relay.receive(notices("u1", 4));
    LoadNotices Late = notices("u1", 12);
    Late.Notices_[0].Age_ = Duration::millis(50);
    Relay.receive(Late);
    Relay.start();
    REQUIRE(eventually([&] { return Count() == 1; }));
    Relay.stop();
    REQUIRE(Out[0].Notices_.size() == 2);
    CHECK(Out[0].Notices_[0].Calls_ == 4);
  }
  SECTION("and no more than 64 of them, so that a message stays small") {
    LoadRelay Relay(Clock, [&](const LoadNotices &M) {
      std::lock_guard Guard(Lock);
      Out.push_back(M);
    });
    for (int N = 0; N < 200; ++N)
      Relay.receive(notices("u" + std::to_string(N), 9));
    Relay.start();
    REQUIRE(eventually([&] { return Count() == 1; }));
    Relay.stop();
    CHECK(Out[0].Notices_.size() == 64);
  }
  SECTION("from an entry VM") {
    MetricRegistry Metrics;
    FleetSettings Settings;
    Settings.Host_ = "10.0.0.1";
    SharedDispatcher Dispatcher(Settings, Clock, Metrics);
    std::vector<VmId> To;
    auto Send = [&](const VmId &Vm, const FleetMessage &M) {
      std::lock_guard Guard(Lock);
      To.push_back(Vm);
      Out.push_back(std::get<LoadNotices>(M));
    };
    TryReport Answered;
    Answered.Load_ = ReportedLoad{4, 5, 4, {}};
    LoadNotice Full{UpstreamId("u1"), 1, Duration(), 9, 0};
    SECTION("where the settings say so") {
      Settings.LoadSharing_ = PlacementMode::On;
      LoadSharing Sharing(Settings, Clock, Metrics, Dispatcher, Send);
      Sharing.setRelayCandidates({VmId("10.0.0.9")});
      Sharing.start();
      Sharing.recordTry(Answered, Full);
      REQUIRE(eventually([&] { return Count() == 1; }));
      Sharing.stop();
      CHECK(To[0] == VmId("10.0.0.9"));
      CHECK(Out[0].Notices_[0].Calls_ == 9);
    }
    SECTION("or, if automatic, once an upstream states its pace") {
      Settings.LoadSharing_ = PlacementMode::Auto;
      LoadSharing Sharing(Settings, Clock, Metrics, Dispatcher, Send);
      Sharing.setRelayCandidates({VmId("10.0.0.9")});
      Sharing.recordTry(Answered, Full); // not kept
      Answered.Load_->PacePercent_ = 100;
      Sharing.recordTry(Answered, {});
      Sharing.start();
      Sharing.recordTry(Answered,
                        LoadNotice{UpstreamId("u2"), 1, Duration(), 9, 100});
      REQUIRE(eventually([&] { return Count() == 1; }));
      Sharing.stop();
      REQUIRE(Out[0].Notices_.size() == 1);
      CHECK(Out[0].Notices_[0].Id_ == UpstreamId("u2"));
    }
    SECTION("and are dropped while no core VM of the region answers") {
      Settings.LoadSharing_ = PlacementMode::On;
      LoadSharing Sharing(Settings, Clock, Metrics, Dispatcher, Send);
      Sharing.setRelayCandidates({});
      Sharing.recordTry(Answered, Full);
      Sharing.start();
      Sharing.setRelayCandidates({VmId("10.0.0.9")});
      Sharing.recordTry(Answered,
                        LoadNotice{UpstreamId("u2"), 1, Duration(), 9, 0});
      REQUIRE(eventually([&] { return Count() == 1; }));
      Sharing.stop();
      CHECK(Out[0].Notices_.size() == 1);
    }
  }
}
