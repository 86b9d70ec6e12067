#include "lagoonpoint/Limits"

#include <catch2/catch.hpp>

using namespace lagoonpoint;

namespace {

const QuantityId Team = teamRate(TeamId("big"));
const VmId A("a"), B("b");
const Amount Floor{10, 6};
const Amount Whole{100, 60};
const LeaseTiming Timing;
const Time Forever(1'000'000'000);

Allotment allotment(Revision R, Amount EachFloor = Floor) {
  return {R, Whole, {{A, EachFloor}, {B, EachFloor}}};
}

LeaseHolder holder(Time Now) {
  LeaseHolder H = makeHolder(Team, Incarnation(1), Timing, Now);
  addFloor(H, Revision(1), Floor, Time(), Now);
  dropFloorsBefore(H, Revision(1), Now);
  setAuthority(H, VmId("leader"), Term(1), Now);
  return H;
}

LeaseAuthority authority(Time Now) {
  LeaseAuthority L = makeAuthority(Team, Timing, Now);
  addAllotment(L, allotment(Revision(1)), Now);
  dropAllotmentsBefore(L, Revision(1), Now);
  lead(L, Term(1), Forever, Now);
  return L;
}

/// \returns the request that a holder sends when a call of \p Units is waiting.
LeaseRequest requestWithWaiters(LeaseHolder &H, double Units, Time Now) {
  take(H, 1, Units, Forever, Now);
  H.NextRenewal_ = Now;
  H.Pending_.reset();
  return *nextLeaseRequest(H, Now);
}

LeaseGrant grantFor(const LeaseRequest &Request, Amount Leased, double Tokens) {
  LeaseGrant G;
  G.Quantity_ = Team;
  G.Incarnation_ = Request.Incarnation_;
  G.Sequence_ = Request.Sequence_;
  G.Term_ = Request.Term_;
  G.Lease_ = {Leased, {}};
  G.Length_ = Timing.Length_;
  G.Target_ = Leased;
  G.Tokens_ = Tokens;
  G.Timestamp_ = 1;
  return G;
}

LeaseRequest simpleRequest(std::uint64_t Sequence, double Need) {
  LeaseRequest Request;
  Request.Quantity_ = Team;
  Request.Incarnation_ = Incarnation(1);
  Request.Sequence_ = Sequence;
  Request.Term_ = Term(1);
  Request.WaitingUnits_ = Need;
  Request.Demand_ = 40;
  Request.CededFor_ = Timing.cedeDuration();
  return Request;
}

} // namespace

TEST_CASE("A lease at its holder") {
  Time Sent(10'000);
  LeaseHolder H = holder(Sent);
  LeaseRequest Request = requestWithWaiters(H, 20, Sent);
  LeaseGrant G = grantFor(Request, {50, 20}, 20);

  SECTION("lasts from the sending of the request, less the clock margin") {
    acceptGrant(H, G, Sent + Duration::millis(200));
    Time End = Sent + Timing.Length_ - clockMargin(Timing.Length_);
    CHECK(liveLease(H, End - Duration::millis(1)).Rate_ > 0);
    CHECK(liveLease(H, End).Rate_ == 0);
  }
  SECTION("has a margin for the drift between two clocks") {
    double Drift = 2 * MaxClockDrift * Timing.Length_.inSeconds();
    CHECK(clockMargin(Timing.Length_).inSeconds() >= Drift);
    CHECK(minElapsedSeconds(Duration::seconds(1000)) <=
          1000 * (1 - MaxClockDrift));
  }
  SECTION("is granted only by the answer to the pending request") {
    acceptGrant(H, G, Sent);
    double Tokens = H.Tokens_;
    acceptGrant(H, G, Sent);
    CHECK(H.Tokens_ == Tokens);
    LeaseRequest Next = requestWithWaiters(H, 40, Sent + Duration::millis(10));
    acceptGrant(H, G, Sent + Duration::millis(11));
    REQUIRE(H.Pending_);
    CHECK(H.Pending_->Sequence_ == Next.Sequence_);
  }
  SECTION("provides no tokens if the grant arrives after its expiry") {
    G.Length_ = Duration::millis(100);
    acceptGrant(H, G, Sent + Duration::millis(150));
    CHECK(H.Tokens_ <= Floor.Burst_);
    CHECK(liveLease(H, Sent + Duration::millis(150)) == Amount());
  }
  SECTION("expires together with the tokens it had room for") {
    acceptGrant(H, G, Sent);
    completeWaits(H, Sent);
    take(H, 2, 0, Forever, Sent + Timing.Length_);
    CHECK(H.Tokens_ <= Floor.Burst_);
  }
  SECTION("fills the bucket no higher than the request stated") {
    double Ceiling = Request.UsableFloor_.Burst_ - Request.Headroom_;
    take(H, 2, 0, Forever, Sent + Duration::millis(240));
    CHECK(H.Tokens_ <= Ceiling + 1e-6);
  }
  SECTION("returns unused tokens and keeps none of them") {
    acceptGrant(H, G, Sent);
    completeWaits(H, Sent);
    H.Tokens_ = 22;
    SECTION("with the next request") {
      H.Target_ = {};
      H.NextRenewal_ = Sent;
      LeaseRequest Next = *nextLeaseRequest(H, Sent);
      CHECK(Next.Returned_ > 0);
      CHECK(H.Tokens_ + Next.Returned_ <= 22);
    }
    SECTION("when it is released") {
      LeaseReturn Back = *releaseLease(H, Sent);
      CHECK(H.Tokens_ + Back.Tokens_ <= 22);
      CHECK(liveLease(H, Sent) == Amount());
      CHECK(H.Tokens_ <= Floor.Burst_);
    }
  }
}

TEST_CASE("A floor at its holder") {
  Time Now(10'000);

  SECTION("is not used while it is ceded") {
    LeaseHolder H = holder(Now);
    acceptGrant(H, grantFor(requestWithWaiters(H, 1, Now), {}, 0), Now);
    H.Waiting_.clear();
    H.NextRenewal_ = Now;
    LeaseRequest Request = *nextLeaseRequest(H, Now);
    REQUIRE(Request.CededFloor_.Rate_ > 0);
    Time Before = Now + Request.CededFor_ - Duration::millis(1);
    CHECK(usableFloor(H, Before).Rate_ <=
          Floor.Rate_ - Request.CededFloor_.Rate_);
    CHECK(usableFloor(H, Now + Request.CededFor_) == Floor);
  }
  SECTION("shrinks at once and grows when the newer revision is settled") {
    LeaseHolder H = holder(Now);
    addFloor(H, Revision(2), {20, 12}, Time(), Now);
    CHECK(usableFloor(H, Now) == Floor);
    dropFloorsBefore(H, Revision(2), Now);
    CHECK(usableFloor(H, Now) == Amount{20, 12});
    addFloor(H, Revision(3), {5, 3}, Time(), Now);
    CHECK(usableFloor(H, Now) == Amount{5, 3});
  }
  SECTION("is zero until a settled revision is known") {
    LeaseHolder H = makeHolder(Team, Incarnation(1), Timing, Now);
    addFloor(H, Revision(5), Floor, Time(), Now);
    CHECK(usableFloor(H, Now) == Amount());
  }
  SECTION("is zero after a restart until old cessions have expired") {
    Declarations D;
    D.Zones_[ZoneId("z")] = {ZoneId("z"), RegionId("r"), false};
    D.Vms_[A].Id_ = A;
    D.Vms_[A].Zone_ = ZoneId("z");
    TeamDecl T;
    T.Id_ = TeamId("big");
    T.Rate_ = Rate(100);
    T.Burst_ = 60;
    D.Teams_[T.Id_] = T;
    LeaseShard Shard(LeaseShard::shardOf(Team), A, Incarnation(2), true, Now);
    Shard.setDeclarations(D, Revision(1), Now);
    Shard.setSettled(Revision(1), Now);
    Duration Longest = Timing.cedeDuration();
    CHECK(usableFloor(*Shard.holder(Team), Now + Longest).Rate_ == 0);
    Time After = Now + Longest + clockMargin(Longest);
    CHECK(usableFloor(*Shard.holder(Team), After).Rate_ > 0);

    SECTION("and older floors apply until their cessions have expired") {
      D.Fleet_.FloorShare_ = 0.9;
      Shard.setDeclarations(D, Revision(2), After);
      Amount Before = usableFloor(*Shard.holder(Team), After);
      Shard.setSettled(Revision(2), After);
      Shard.tick(After + Longest);
      CHECK(usableFloor(*Shard.holder(Team), After + Longest) == Before);
    }
  }
}

TEST_CASE("An authority at the start of its term") {
  Time Now(10'000);
  LeaseAuthority L = authority(Now);

  SECTION("leases nothing until its predecessor's leases have expired") {
    Time Last = Now + Timing.Length_;
    LeaseGrant G = *handleLeaseRequest(L, A, simpleRequest(1, 5), Last);
    CHECK(G.Lease_.total() == Amount());
    CHECK(G.Tokens_ == 0);
    Time After = Last + clockMargin(Timing.Length_) + Duration::millis(100);
    CHECK(handleLeaseRequest(L, A, simpleRequest(2, 1), After)
              ->Lease_.total()
              .Burst_ > 0);
  }
  SECTION("renews reported leases, but none on ceded floors") {
    LeaseRequest Request = simpleRequest(1, 5);
    Request.Retained_ = {{30, 10}, {15, 5}};
    LeaseGrant G = *handleLeaseRequest(L, A, Request, Now);
    CHECK(G.Lease_.total() == Amount{30, 10});
    Request.Retained_ = {{90, 60}, {}};
    G = *handleLeaseRequest(L, B, Request, Now);
    CHECK(G.Lease_.total().Rate_ <= baseOf(L).Rate_ - 30);
  }
  SECTION("answers a holder of an older term with the term only") {
    LeaseRequest Request = simpleRequest(1, 5);
    Request.Term_ = Term(0);
    Request.Retained_ = {{30, 10}, {}};
    LeaseGrant G = *handleLeaseRequest(L, A, Request, Now);
    CHECK(G.Lease_.total() == Amount());
    CHECK(L.Holders_.empty());
  }
  SECTION("has an empty pool, even if it led an older term") {
    handleLeaseRequest(L, A, simpleRequest(1, 0), Now + Duration::seconds(20));
    REQUIRE(L.Tokens_ > 10);
    lead(L, Term(2), Forever, Now + Duration::seconds(20));
    CHECK(L.Tokens_ == 0);
  }
}

TEST_CASE("An authority that grants leases") {
  LeaseAuthority L = authority(Time(0));
  Time Now(10'000);
  LeaseRequest Request = simpleRequest(1, 10);
  Request.Headroom_ = 0;
  LeaseGrant First = *handleLeaseRequest(L, A, Request, Now);
  REQUIRE(First.Lease_.total().Rate_ > 0);

  SECTION("answers each request once, and none without leadership") {
    CHECK_FALSE(handleLeaseRequest(L, A, Request, Now));
    stepDown(L, Now);
    CHECK_FALSE(handleLeaseRequest(L, A, simpleRequest(2, 1), Now));
  }
  SECTION("stops when its proof of leadership expires") {
    L.LeadershipUntil_ = Now + Duration::millis(500);
    CHECK(handleLeaseRequest(L, A, simpleRequest(2, 1),
                             Now + Duration::millis(499)));
    CHECK_FALSE(handleLeaseRequest(L, A, simpleRequest(3, 1),
                                   Now + Duration::millis(500)));
  }
  SECTION("moves tokens from the pool, within the bucket's headroom") {
    double Pool = L.Tokens_;
    LeaseRequest Next = simpleRequest(1, 7);
    Next.Headroom_ = -2;
    LeaseGrant G = *handleLeaseRequest(L, B, Next, Now);
    CHECK(G.Tokens_ > 0);
    CHECK(L.Tokens_ <= Pool - G.Tokens_);
    CHECK(G.Tokens_ <= G.Lease_.total().Burst_ - 2);
    // The same lease again: only the granted tokens leave the pool.
    Next.Sequence_ = 2;
    Next.AcceptedSequence_ = 1;
    Next.Retained_ = G.Lease_;
    Pool = L.Tokens_;
    G = *handleLeaseRequest(L, B, Next, Now);
    REQUIRE(G.Tokens_ > 0);
    CHECK(L.Tokens_ <= Pool - G.Tokens_);
  }
  SECTION("limits the pool to what is not leased") {
    Amount Free = baseOf(L) - outstanding(L, Now).total();
    LeaseRequest Next = simpleRequest(1, 0);
    Next.Demand_ = 0;
    Next.Returned_ = 1000;
    handleLeaseRequest(L, B, Next, Now);
    CHECK(L.Tokens_ <= Free.Burst_);
  }
  SECTION("counts a lease until its holder has confirmed another") {
    LeaseRequest Next = simpleRequest(2, 0);
    Next.Demand_ = 0;
    Next.AcceptedSequence_ = 1;
    Next.Retained_ = First.Lease_;
    handleLeaseRequest(L, A, Next, Now);
    CHECK(outstanding(L, Now).total().Rate_ >= First.Lease_.total().Rate_);
    Next.Sequence_ = 3;
    Next.Retained_ = {};
    handleLeaseRequest(L, A, Next, Now);
    CHECK(outstanding(L, Now).total().Rate_ == 0);
  }
  SECTION("counts an offered lease that may be in use") {
    Request.Sequence_ = 2;
    Request.Demand_ = 1;
    Request.AcceptedSequence_ = 1;
    Request.Retained_ = First.Lease_;
    L.Holders_[B].Current_ = {{baseOf(L), {}}, Forever, 1};
    handleLeaseRequest(L, A, Request, Now);
    CHECK(outstanding(L, Now).total().Rate_ >=
          baseOf(L).Rate_ + First.Lease_.total().Rate_);
  }
  SECTION("counts ceded floors from the timestamp, not from arrival") {
    Request.Sequence_ = 2;
    Request.Timestamp_ = (Now - Duration::seconds(1)).count();
    Request.CededFloor_ = Floor;
    handleLeaseRequest(L, A, Request, Now);
    Time End = Time(Request.Timestamp_) + Request.CededFor_ -
               clockMargin(Request.CededFor_);
    CHECK(L.Holders_[A].Ceded_.at(End) == Amount());
    CHECK(L.Holders_[A].Ceded_.at(End - Duration::millis(1)) == Floor);
  }
  SECTION("leases no floor for longer than it is ceded") {
    // The floor stays ceded for half a second less than a lease.
    Duration Age =
        Timing.cedeDuration() - Timing.Length_ + Duration::millis(500);
    Request.Sequence_ = 2;
    Request.Timestamp_ = (Now - Age).count();
    Request.CededFloor_ = Floor;
    handleLeaseRequest(L, A, Request, Now);
    LeaseRequest Other = simpleRequest(1, 10);
    Other.Demand_ = 1000;
    LeaseGrant G = *handleLeaseRequest(L, B, Other, Now);
    REQUIRE(G.Length_ > Timing.cedeDuration() - Age);
    CHECK(G.Lease_.FromFloors_ == Amount());
  }
  SECTION("reserves the larger floor until a revision is settled") {
    addAllotment(L, allotment(Revision(2), {1, 1}), Now);
    CHECK(baseOf(L) == Amount{80, 48});
    dropAllotmentsBefore(L, Revision(2), Now);
    CHECK(baseOf(L) == Amount{98, 58});
  }
}

TEST_CASE("A VM without a floor can serve calls of large cost by leases") {
  // One call per second, a tenth of the quantity's rate.
  constexpr double Cost = 1000;
  Amount All{10 * Cost, 10 * Cost};
  // Fraction of the total that an idle VM has as its floor.
  double FloorPart = GENERATE(0.0, 0.5, 1.0);
  Amount Other{All.Rate_ * FloorPart, All.Burst_ * FloorPart};
  int Phase = GENERATE(0, 250, 500, 750); // relative to the idle VM's renewals
  Time Now(1000);
  LeaseHolder H = makeHolder(Team, Incarnation(1), Timing, Now);
  LeaseHolder Idle = H;
  addFloor(H, Revision(1), {}, Time(), Now);
  addFloor(Idle, Revision(1), Other, Time(), Now);
  for (LeaseHolder *Each : {&H, &Idle}) {
    dropFloorsBefore(*Each, Revision(1), Now);
    setAuthority(*Each, VmId("leader"), Term(1), Now);
  }
  LeaseAuthority L = makeAuthority(Team, Timing, Now);
  addAllotment(L, {Revision(1), All, {{B, Other}}}, Now);
  dropAllotmentsBefore(L, Revision(1), Now);
  lead(L, Term(1), Forever, Now);
  Now = L.PredecessorUntil_;

  int Served = 0;
  int Refused = 0;
  auto Count = [&](TakeStatus End) {
    Served += End == TakeStatus::Taken;
    Refused += End == TakeStatus::Exhausted;
  };
  auto Renew = [&](LeaseHolder &Holder, const VmId &Vm) {
    if (auto Request = nextLeaseRequest(Holder, Now))
      if (auto Grant = handleLeaseRequest(L, Vm, *Request, Now))
        acceptGrant(Holder, *Grant, Now);
  };
  constexpr int Seconds = 40;
  constexpr int First = 10; // the idle VM has ceded its floor by then
  for (int Ms = 0; Ms < Seconds * 1000; Ms += 5) {
    Now = Now + Duration::millis(5);
    if (Ms % 1000 == Phase && Ms >= First * 1000)
      Count(take(H, 1, Cost, Now + Duration::seconds(2), Now).Status_);
    Renew(H, A);
    Renew(Idle, B);
    for (const TakeResult &R : completeWaits(H, Now))
      Count(R.Status_);
  }
  CAPTURE(FloorPart, Phase);
  CHECK(Served == Seconds - First);
  CHECK(Refused == 0);
}
