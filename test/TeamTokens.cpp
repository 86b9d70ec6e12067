#include "lagoonpoint/src/Gateway/TeamTokens.h"
#include "fakes/FakeClock.h"
#include "lagoonpoint/src/Gateway/QuotaHolder.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace lagoonpoint;
using fakes::FakeClock;

namespace {

const TeamId Team("rangers");

FleetSettings settings(const std::string &Region) {
  FleetSettings S;
  S.Region_ = RegionId(Region);
  S.Zones_ = {{ZoneId("n"), RegionId("north")},
              {ZoneId("s"), RegionId("south")}};
  return S;
}

TeamItem item(double Rate, double Burst) {
  TeamItem T;
  T.Rate_ = Rate;
  T.Burst_ = Burst;
  return T;
}

TeamDemand demand(double North, double South, Duration Age = Duration()) {
  return {{{RegionId("north"), {{"rangers", North}}},
           {RegionId("south"), {{"rangers", South}}}},
          Age};
}

/// An entry VM whose token requests are answered by the test.
struct TestEntryVm {
  TestEntryVm() {
    Tokens_.setHolders({VmId("c1"), VmId("c2")}, {VmId("c3")},
                       {VmId("c1"), VmId("c2")});
  }

  /// Waits for the next token request.
  std::pair<VmId, TokenRequest> nextRequest() {
    std::unique_lock Guard(Lock_);
    RequestSent_.wait(Guard, [&] { return !Requests_.empty(); });
    auto Out = Requests_.front();
    Requests_.erase(Requests_.begin());
    return Out;
  }
  std::future<void> take() {
    return std::async(std::launch::async, [this] { Tokens_.take(Team); });
  }
  void grant(const std::pair<VmId, TokenRequest> &Request, unsigned Count,
             Duration Wait = {}, bool Entitled = true) {
    Tokens_.onGrant(Request.first,
                    {Request.second.Number_, Team, Count, Wait, Entitled});
  }

  FakeClock Clock_;
  std::mutex Lock_;
  std::condition_variable RequestSent_;
  std::vector<std::pair<VmId, TokenRequest>> Requests_;
  TeamTokens Tokens_{Clock_,
                     [this](const VmId &To, const TokenRequest &Request) {
                       std::lock_guard Guard(Lock_);
                       Requests_.push_back({To, Request});
                       RequestSent_.notify_all();
                     }};
};

const VmId FirstHolder =
    rankHolders(Team.str(), {VmId("c1"), VmId("c2")}).front();
const VmId SecondHolder =
    rankHolders(Team.str(), {VmId("c1"), VmId("c2")}).back();

} // namespace

TEST_CASE("An entry VM requests tokens when requests need them") {
  TestEntryVm E;
  std::future<void> Call = E.take();
  auto Request = E.nextRequest();
  CHECK(Request.first == FirstHolder);
  CHECK(Request.second.Waiting_ == 1);

  SECTION("granted tokens are used, and unused ones are kept for 400 ms") {
    E.grant(Request, 2);
    CHECK_NOTHROW(Call.get());
    CHECK_NOTHROW(E.Tokens_.take(Team));
    E.Tokens_.returnToken(Team);
    CHECK_NOTHROW(E.Tokens_.take(Team));
    E.Tokens_.returnToken(Team);
    E.Clock_.advance(Duration::millis(401));
    Call = E.take();
    E.grant(E.nextRequest(), 1);
    CHECK_NOTHROW(Call.get());
  }
  SECTION("over the rate, requests are refused until the granted wait ends") {
    E.grant(Request, 0, Duration::millis(80));
    try {
      Call.get();
      FAIL("the request was not refused");
    } catch (const Refusal &R) {
      CHECK(R.reason() == RefusalReason::OverRate);
      CHECK(R.retryAfter() == Duration::millis(80));
    }
    CHECK_THROWS_AS(E.Tokens_.take(Team), Refusal); // sends no token request
    E.Clock_.advance(Duration::millis(80));
    Call = E.take();
    E.grant(E.nextRequest(), 1);
    CHECK_NOTHROW(Call.get());
  }
  SECTION("a core VM that is not the holder or does not answer is skipped") {
    bool Answers = GENERATE(true, false);
    if (Answers)
      E.grant(Request, 0, {}, false);
    else
      E.Clock_.advance(Duration::millis(200));
    auto NextRequest = E.nextRequest();
    CHECK(NextRequest.first == SecondHolder);
    CHECK_FALSE(Request.second.PrecedingReplies_);
    CHECK(NextRequest.second.PrecedingReplies_);
    E.grant(Request, 1); // another core VM was asked since
    E.grant(NextRequest, 1);
    CHECK_NOTHROW(Call.get());
    if (!Answers) // the late token was counted, so that it is used as well
      CHECK_NOTHROW(E.Tokens_.take(Team));
    Call = E.take();
    CHECK((NextRequest = E.nextRequest()).first == SecondHolder);
    // The late grant was the first one's, the others the second one's.
    CHECK(NextRequest.second.OtherGranted_ == !Answers);
    E.grant(NextRequest, 1);
    CHECK_NOTHROW(Call.get());
  }
  SECTION("core VMs that were all slow are asked again, instead of refusing at "
          "once") {
    E.Tokens_.setHolders({Request.first}, {}, {Request.first});
    E.Clock_.advance(Duration::millis(200));
    auto Again = E.nextRequest();
    CHECK(Again.first == Request.first);
    E.grant(Again, 1);
    CHECK_NOTHROW(Call.get());
    Call = E.take(); // it is still suspected
    E.grant(E.nextRequest(), 1);
    CHECK_NOTHROW(Call.get());
  }
  SECTION("a standby is told whether the first core VM runs") {
    bool Replies = GENERATE(true, false);
    std::vector<VmId> Replying{SecondHolder};
    if (Replies)
      Replying.push_back(FirstHolder);
    E.Tokens_.setHolders({VmId("c1"), VmId("c2")}, {VmId("c3")}, Replying);
    E.Clock_.advance(Duration::millis(200));
    auto NextRequest = E.nextRequest();
    CHECK(NextRequest.first == SecondHolder);
    CHECK(NextRequest.second.PrecedingReplies_ == Replies);
    E.grant(NextRequest, 1);
    CHECK_NOTHROW(Call.get());
  }
  SECTION("a grant that comes after the lifetime of tokens is not used") {
    E.Clock_.advance(Duration::millis(200));
    auto NextRequest = E.nextRequest();
    E.Clock_.advance(Duration::millis(199));
    E.grant(NextRequest, 1);
    CHECK_NOTHROW(Call.get());
    E.Clock_.advance(Duration::millis(2));
    E.grant(Request, 1);
    Call = E.take();
    E.grant(E.nextRequest(), 1);
    CHECK_NOTHROW(Call.get());
  }
  SECTION("without any answer, requests are refused as not ready") {
    E.Clock_.advance(Duration::millis(450));
    try {
      Call.get();
      FAIL("the request was not refused");
    } catch (const Refusal &R) {
      CHECK(R.reason() == RefusalReason::NotReady);
      CHECK(R.ran() == Ran::No);
    }
  }
  SECTION("without holders, it serves half of the granted rate for a while") {
    E.grant(Request, 1);
    CHECK_NOTHROW(Call.get());
    for (int N = 0; N < 50; ++N) {
      E.Clock_.advance(Duration::millis(100));
      Call = E.take();
      E.grant(E.nextRequest(), 1);
      CHECK_NOTHROW(Call.get());
    }
    E.Tokens_.setHolders({}, {}, {});
    int Served = 0;
    for (int Ms = 0; Ms < 5000; Ms += 100) {
      E.Clock_.advance(Duration::millis(100));
      try {
        E.Tokens_.take(Team);
        ++Served;
      } catch (const Refusal &) {
      }
    }
    CHECK(Served >= 8);
    CHECK(Served <= 13); // half of 10 requests per second for 2.5 s
    // They are reported as soon as a core VM can be asked.
    E.Tokens_.setHolders({VmId("c1")}, {}, {});
    Call = E.take();
    Request = E.nextRequest();
    CHECK(Request.second.Used_ == unsigned(Served));
    E.Clock_.advance(Duration::millis(200));
    auto NextRequest = E.nextRequest();
    CHECK(NextRequest.second.Used_ == 0);
    E.grant(NextRequest, 1);
    CHECK_NOTHROW(Call.get());
    auto UsedAfter = [&](Duration Time) {
      E.Clock_.advance(Time);
      Call = E.take();
      auto Later = E.nextRequest();
      E.grant(Later, 1);
      CHECK_NOTHROW(Call.get());
      return Later.second.Used_;
    };
    // Fails if each answer that comes late leads to another charge: a team then
    // got nothing for seconds.
    SECTION("which are reported once, however late the answer is") {
      E.Clock_.advance(Duration::millis(300));
      E.grant(Request, 0);
      CHECK(UsedAfter(Duration::millis(2500)) == 0);
    }
    SECTION("which are reported again if the core VM is not the holder") {
      E.grant(Request, 0, {}, false);
      CHECK(UsedAfter(Duration::millis(500)) == unsigned(Served));
    }
    SECTION("which are reported again if the answer is lost") {
      CHECK(UsedAfter(Duration::millis(500)) == 0);
      E.Clock_.advance(Duration::millis(1500));
      Call = E.take();
      E.nextRequest(); // is not answered in time either
      E.Clock_.advance(Duration::millis(200));
      Request = E.nextRequest();
      CHECK(Request.second.Used_ == unsigned(Served));
      E.grant(Request, 1);
      CHECK_NOTHROW(Call.get());
    }
  }
}

TEST_CASE("Tokens for concurrent requests are requested together") {
  TestEntryVm E;
  std::vector<std::future<void>> Calls;
  Calls.push_back(E.take());
  auto Request = E.nextRequest();
  for (int N = 0; N < 4; ++N)
    Calls.push_back(E.take());
  E.grant(Request, 1);
  // The thread that wakes first, and perhaps later ones, request the tokens for
  // the remaining calls.
  std::atomic<bool> Done{false};
  std::thread Granting([&] {
    for (unsigned Granted = 1; Granted < 5;) {
      auto NextRequest = E.nextRequest();
      Granted += NextRequest.second.Waiting_;
      E.grant(NextRequest, NextRequest.second.Waiting_);
    }
    Done = true;
  });
  for (auto &Call : Calls)
    CHECK_NOTHROW(Call.get());
  Granting.join();
  CHECK(Done);
}

// Tokens that were granted ahead and are used together with those of the next
// five seconds exceeded the limit of a large team.
TEST_CASE("A surge stays within the limit of a window, with tokens that entry "
          "VMs have kept") {
  FakeClock Clock;
  FleetSettings North = settings("north"), South = settings("south");
  for (FleetSettings *S : {&North, &South}) {
    S->QuotaOverage_ = 0.1;
    S->QuotaSlack_ = 20;
  }
  QuotaHolder N(North, Clock), S(South, Clock);
  TeamItem Large = item(528, 528);
  unsigned Granted = 0;
  auto GrantFor = [&](Duration Span) {
    for (int Ms = 0; Ms < Span.count(); Ms += 10) {
      if (Ms % 1000 == 0) {
        N.updateDemand(demand(250, 250));
        S.updateDemand(demand(250, 250));
      }
      for (QuotaHolder *H : {&N, &S})
        Granted += H->grant({1, Team, 8, 0}, &Large, {}).Count_;
      Clock.advance(Duration::millis(10));
    }
  };
  Clock.advance(Duration::seconds(10));
  for (int Seconds = 0; Seconds < 5; ++Seconds) {
    N.updateDemand(demand(250, 250));
    S.updateDemand(demand(250, 250));
    Clock.advance(Duration::seconds(1));
  }
  GrantFor(TokenLifetime); // kept at the entry VMs, used in the next window
  GrantFor(Duration::seconds(5));
  CHECK(Granted <= (5 * 528 + 528) * 1.1 + 20);
  CHECK(Granted >= 5 * 528);
}

namespace {

/// Two regions with two core VMs each that grant the tokens of one large team.
struct GrantingRegions {
  GrantingRegions() {
    for (FleetSettings *S : {&North_, &South_}) {
      S->QuotaOverage_ = 0.1;
      S->QuotaSlack_ = 20;
    }
    Clock_.advance(Duration::seconds(10));
    for (int Seconds = 0; Seconds < 5; ++Seconds) {
      update(60, 60, 60, 60, true);
      Clock_.advance(Duration::seconds(1));
    }
  }

  /// Requests per second in each region, and as the other one knows it.
  void update(double North, double South, double KnownNorth, double KnownSouth,
              bool IsComplete) {
    for (QuotaHolder *H : {&NorthFirst_, &NorthStandby_})
      H->updateDemand(known(North, KnownSouth, IsComplete));
    for (QuotaHolder *H : {&SouthFirst_, &SouthStandby_})
      H->updateDemand(known(KnownNorth, South, IsComplete));
  }
  static TeamDemand known(double North, double South, bool IsComplete) {
    TeamDemand D = demand(North, South);
    D.IsComplete_ = IsComplete;
    return D;
  }
  void grant(QuotaHolder &H, const HolderRank &Rank, const TokenRequest &R,
             QuotaHolder *Charged = nullptr) {
    unsigned Count = H.grant(R, &Large_, Rank).Count_;
    Granted_ += Count;
    if (Charged)
      Charged->charge({Team, Count}, &Large_);
  }
  /// The most that may run in a window of five seconds.
  double limit() const { return (5 * 528 + 528) * 1.1 + 20; }

  FakeClock Clock_;
  FleetSettings North_ = settings("north"), South_ = settings("south");
  QuotaHolder NorthFirst_{North_, Clock_}, NorthStandby_{North_, Clock_};
  QuotaHolder SouthFirst_{South_, Clock_}, SouthStandby_{South_, Clock_};
  TeamItem Large_ = item(528, 528);
  unsigned Granted_ = 0;
};

} // namespace

// Each of these exceeded the limit: a surge of one large team during a cut
// between core VMs, with entry VMs that waited too long for the first of them.
TEST_CASE("A surge during a failure stays within the limit of a window") {
  GrantingRegions R;
  const HolderRank First{};
  const HolderRank Standby{false, true, {VmId("c1")}};
  const TokenRequest Wanted{1, Team, 8, 0};
  auto Run = [&](auto Step) {
    for (int Ms = 0; Ms < 5000; Ms += 10) {
      Step(Ms);
      R.Clock_.advance(Duration::millis(10));
    }
  };
  SECTION("while the regions don't hear each other") {
    Run([&](int Ms) {
      if (Ms % 1000 == 0)
        R.update(600, 600, 60, 60, false);
      R.grant(R.NorthFirst_, First, Wanted);
      R.grant(R.SouthFirst_, First, Wanted);
    });
    CHECK(R.Granted_ >= 5 * 528);
  }
  SECTION("while entry VMs ask standbys because the first core VMs are slow") {
    Run([&](int Ms) {
      if (Ms % 1000 == 0)
        R.update(600, 600, 600, 600, true);
      R.grant(R.NorthFirst_, First, Wanted);
      R.grant(R.NorthStandby_, Standby, Wanted, &R.NorthFirst_);
      R.grant(R.SouthFirst_, First, Wanted);
      R.grant(R.SouthStandby_, Standby, Wanted, &R.SouthFirst_);
    });
    CHECK(R.Granted_ >= 5 * 528);
  }
  SECTION("while the core VMs of a region don't hear each other") {
    const HolderRank Cut{false, false, {VmId("c1")}};
    TokenRequest FromSlow = Wanted;
    FromSlow.PrecedingReplies_ = true;
    Run([&](int Ms) {
      if (Ms % 1000 == 0)
        R.update(600, 600, 600, 600, true);
      R.grant(R.NorthFirst_, First, Wanted);
      R.grant(R.NorthStandby_, Cut, Ms % 400 == 0 ? FromSlow : Wanted);
      R.grant(R.SouthFirst_, First, Wanted);
    });
    CHECK(R.Granted_ >= 5 * 528);
  }
  SECTION("while entry VMs use tokens that no core VM has granted") {
    Run([&](int Ms) {
      if (Ms % 1000 == 0)
        R.update(600, 600, 600, 600, true);
      TokenRequest AfterFallback = Wanted;
      AfterFallback.Used_ = Ms % 100 == 0 ? 20 : 0;
      R.Granted_ += 2 * AfterFallback.Used_;
      R.grant(R.NorthFirst_, First, AfterFallback);
      R.grant(R.SouthFirst_, First, AfterFallback);
    });
    CHECK(R.Granted_ >= 5 * 528);
  }
  CHECK(R.Granted_ <= R.limit());
}

TEST_CASE("A core VM grants its region's share of a rate") {
  FakeClock Clock;
  FleetSettings S = settings("north");
  QuotaHolder H(S, Clock);
  TeamItem Item = item(20, 20);
  HolderRank FirstRank{true, false, {}, true};
  Clock.advance(Duration::seconds(10));
  auto Granted = [&](HolderRank Rank, unsigned Wanted = 100) {
    return H.grant({1, Team, Wanted, 0}, &Item, Rank);
  };
  for (int N = 0; N < 3; ++N)
    H.updateDemand(demand(15, 5));
  const double Share = EvenFraction / 2 + (1 - EvenFraction) * 0.75;

  SECTION("according to the region's demand") {
    CHECK(Granted(FirstRank).Count_ == Approx(20 * Share).margin(1));
    Clock.advance(Duration::seconds(1));
    TokenGrant More = Granted(FirstRank);
    CHECK(More.Count_ == Approx(20 * Share).margin(1));
    CHECK(More.IsHolder_);
    CHECK(More.RetryAfter_ > Duration());
  }
  SECTION("less what a standby has granted in its place") {
    SECTION("also if nothing was requested for a while") {
      CHECK(Granted(FirstRank).Count_ > 0);
      Clock.advance(Duration::seconds(3));
      H.charge({Team, 10}, &Item);
      CHECK(Granted(FirstRank).Count_ == Approx(20 * Share - 10).margin(1));
    }
    SECTION("but for no longer than a window") {
      H.charge({Team, 10'000}, &Item);
      CHECK(Granted(FirstRank).Count_ == 0);
      for (int N = 0; N < 11; ++N) {
        Clock.advance(Duration::millis(500));
        H.updateDemand(demand(15, 5));
      }
      CHECK(Granted(FirstRank).Count_ > 0);
    }
  }
  SECTION("a standby starts empty and grants half while the first is heard") {
    HolderRank Standby{false, true, {VmId("c1")}};
    CHECK(Granted(Standby).Count_ == 0);
    Clock.advance(Duration::seconds(1));
    CHECK(Granted(Standby).Count_ == Approx(10 * Share).margin(1));
    Standby.PrecedingLive_ = false;
    Clock.advance(Duration::seconds(1));
    CHECK(Granted(Standby).Count_ == Approx(20 * Share).margin(1));
  }
  // Fails if a standby holds back a failed core VM's tokens for longer than it
  // takes to learn of the failure.
  SECTION("a standby takes over from a VM that entry VMs no longer hear") {
    HolderRank Silent{false, false, {VmId("c1")}};
    TokenRequest Request{1, Team, 100, 0};
    Request.PrecedingReplies_ = true;
    CHECK_FALSE(H.grant(Request, &Item, Silent).IsHolder_);
    Request.PrecedingReplies_ = false;
    CHECK_FALSE(H.grant(Request, &Item, Silent).IsHolder_); // others hear it
    Clock.advance(Duration::millis(501));
    CHECK(H.grant(Request, &Item, Silent).IsHolder_);
    Clock.advance(Duration::seconds(1));
    CHECK(H.grant(Request, &Item, Silent).Count_ ==
          Approx(20 * Share).margin(1));
  }
  SECTION("a VM that has just started grants no burst") {
    QuotaHolder Restarted(S, Clock);
    Restarted.updateDemand(demand(15, 5));
    CHECK(Restarted.grant({1, Team, 100, 0}, &Item, FirstRank).Count_ == 0);
  }
  // Fails if callers that return together after a restart of all VMs find no
  // tokens, although none were granted meanwhile.
  SECTION("but what has accrued since its start") {
    QuotaHolder Restarted(S, Clock);
    Restarted.updateDemand(demand(15, 5));
    Clock.advance(Duration::millis(800));
    TokenRequest Request{1, Team, 100, 0};
    Request.OtherGranted_ = true;
    SECTION("if no other core VM has granted tokens since then") {
      Request.SinceOtherGrant_ = Duration::millis(900);
      unsigned Count = Restarted.grant(Request, &Item, FirstRank).Count_;
      CHECK(Count == Approx(0.8 * 20 / 2).margin(1)); // of an even share
    }
    SECTION("else nothing") {
      Request.SinceOtherGrant_ = Duration::millis(700);
      CHECK(Restarted.grant(Request, &Item, FirstRank).Count_ == 0);
    }
    SECTION("if it knows the other core VMs of its region") {
      Request.OtherGranted_ = false;
      FirstRank.KnowsOthers_ = false;
      CHECK(Restarted.grant(Request, &Item, FirstRank).Count_ == 0);
    }
    // A charge that came before the first request was lost with the accrual.
    SECTION("less what others have granted in its place") {
      Request.OtherGranted_ = false;
      Restarted.charge({Team, 6}, &Item);
      CHECK(Restarted.grant(Request, &Item, FirstRank).Count_ <= 2);
    }
    SECTION("or the rest is given up when that is heard later") {
      Request.Waiting_ = 1;
      Request.OtherGranted_ = false;
      CHECK(Restarted.grant(Request, &Item, FirstRank).Count_ == 1);
      Request.OtherGranted_ = true;
      Request.SinceOtherGrant_ = Duration::millis(100);
      CHECK(Restarted.grant(Request, &Item, FirstRank).Count_ == 0);
      Clock.advance(Duration::millis(500)); // given up once only
      CHECK(Restarted.grant(Request, &Item, FirstRank).Count_ == 1);
    }
  }
  SECTION("without contact to other core VMs it grants less, then nothing") {
    H.updateDemand(demand(15, 5, Duration::millis(3600)));
    CHECK(Granted(FirstRank).Count_ == Approx(10 * Share).margin(1));
    H.updateDemand(demand(15, 5, Duration::seconds(5)));
    CHECK_FALSE(Granted(FirstRank).IsHolder_);
  }
  SECTION(
      "for a team unknown to this VM it replies that it is not the holder") {
    CHECK_FALSE(H.grant({1, Team, 1, 0}, nullptr, FirstRank).IsHolder_);
  }
}
