#include "lagoonpoint/Steering"

#include <catch2/catch.hpp>

using namespace lagoonpoint;

namespace {

constexpr Time Now = Time(50'000);
const RegionId North("north");
const RegionId South("south");

SharedUpstream upstream(const std::string &Id, const RegionId &Region) {
  SharedUpstream U;
  U.Id_ = UpstreamId(Id);
  U.IdHash_ = rendezvousHash(Id);
  U.Region_ = Region;
  U.Slots_ = 3;
  return U;
}

SharedGroup group(int Count, const RegionId &Region) {
  SharedGroup G;
  for (int N = 0; N < Count; ++N)
    G.Upstreams_.push_back(upstream("u" + std::to_string(N), Region));
  return G;
}

KeyedRequest requestFor(const std::string &Object,
                        std::vector<RegionId> Regions = {North}) {
  KeyedRequest Request;
  Request.Object_ = Object;
  Request.Regions_ = std::move(Regions);
  return Request;
}

std::string chosenId(SharedGroup &G, const KeyedRequest &Request,
                     Time At = Now) {
  SharedUpstream *U = chooseShared(G, Request, {}, At);
  return U ? U->Id_.str() : "";
}

SharedUpstream &byId(SharedGroup &G, const std::string &Id) {
  for (SharedUpstream &U : G.Upstreams_)
    if (U.Id_.str() == Id)
      return U;
  throw std::out_of_range(Id);
}

} // namespace

TEST_CASE("Requests for one object go to the same upstream") {
  SharedGroup G = group(9, North);
  KeyedChoiceOptions Rules;
  std::string First = chosenId(G, requestFor("17"));

  SECTION("on each VM, in whatever order it learned of the upstreams") {
    std::reverse(G.Upstreams_.begin(), G.Upstreams_.end());
    CHECK(chosenId(G, requestFor("17")) == First);
  }
  SECTION("also after other upstreams were added") {
    int Moved = 0;
    SharedGroup More = G;
    More.Upstreams_.push_back(upstream("new", North));
    for (int N = 0; N < 200; ++N) {
      KeyedRequest Request = requestFor(std::to_string(N));
      Moved += chosenId(G, Request) != chosenId(More, Request);
    }
    CHECK(Moved > 5);  // the new one gets its share, about 200 / 10,
    CHECK(Moved < 40); // and no other objects move
  }
  SECTION("and objects are spread over all upstreams by slots") {
    byId(G, "u0").Slots_ = 9;
    std::map<std::string, int> Count;
    for (int N = 0; N < 1100; ++N)
      ++Count[chosenId(G, requestFor(std::to_string(N)))];
    CHECK(Count.size() == 9);
    CHECK(Count["u0"] > 2 * Count["u1"]);
  }
  SECTION("and queue there before the second choice is used") {
    SharedUpstream &U = byId(G, First);
    U.InFlight_ = 3 + 4;
    CHECK(chosenId(G, requestFor("17")) == First);
    U.InFlight_ = 3 + 5;
    std::string Second = chosenId(G, requestFor("17"));
    CHECK(Second != First);
    byId(G, Second).InFlight_ = 3; // no queueing where the object is cold,
    CHECK(chosenId(G, requestFor("17")).empty()); // and no third choice
    KeyedRequest Any = requestFor("");
    CHECK_FALSE(chosenId(G, Any).empty());
  }
  SECTION("unless they would miss their deadline there") {
    SharedUpstream &U = byId(G, First);
    U.ServiceSeconds_ = 0.6;
    U.InFlight_ = 5; // one round of three calls ahead of it
    KeyedRequest Request = requestFor("17");
    Request.TimeLeft_ = Duration::millis(1500);
    CHECK(chosenId(G, Request) == First);
    Request.TimeLeft_ = Duration::millis(1000);
    CHECK(chosenId(G, Request) != First);
    U.InFlight_ = 0; // a free slot is always used
    CHECK(chosenId(G, Request) == First);
  }
  SECTION("and the learned service time excludes the queueing time") {
    SharedUpstream &U = byId(G, First);
    release(U, {.Answered_ = true, .InFlightAtSend_ = 5, .Seconds_ = 1.2},
            Rules, Now);
    CHECK(U.ServiceSeconds_ == Approx(0.6));
    release(U, {.Answered_ = true, .InFlightAtSend_ = 0, .Seconds_ = 0.1},
            Rules, Now);
    CHECK(U.ServiceSeconds_ == Approx(0.5));
  }
  SECTION("and reported calls of other VMs count, decaying with age") {
    SharedUpstream &U = byId(G, First);
    release(U, {.Answered_ = true, .ReportedInFlight_ = 8}, Rules, Now);
    CHECK(chosenId(G, requestFor("17")) != First);
    CHECK(chosenId(G, requestFor("17"), Now + Duration::seconds(2)) == First);
  }
  SECTION("unless it was tried or is unavailable") {
    KeyedRequest Request = requestFor("17");
    Request.Tried_ = {UpstreamId(First)};
    CHECK(chosenId(G, Request) != First);
    byId(G, First).Available_ = false;
    CHECK(chosenId(G, requestFor("17")) != First);
    for (SharedUpstream &U : G.Upstreams_)
      U.Available_ = false;
    CHECK(chosenId(G, requestFor("17")).empty());
    CHECK_FALSE(anyAvailable(G, requestFor("17"), Now));
  }
  SECTION("and an upstream without announcements is the last resort") {
    byId(G, First).Silent_ = true;
    CHECK(chosenId(G, requestFor("17")) != First);
    for (SharedUpstream &U : G.Upstreams_)
      U.Silent_ = true;
    CHECK(chosenId(G, requestFor("17")) == First);
  }
}

TEST_CASE("Regions are used in order of preference") {
  SharedGroup G = group(2, North);
  G.Upstreams_.push_back(upstream("s0", South));
  CHECK(chosenId(G, requestFor("1", {South, North})) == "s0");
  byId(G, "s0").InFlight_ = 8;
  CHECK(chosenId(G, requestFor("1", {South, North})) != "s0");
  CHECK(chosenId(G, requestFor("1", {South})).empty());
}

TEST_CASE("A cold upstream gets few requests, from a single VM") {
  SharedGroup G = group(1, North);
  G.WarmupRate_ = 2; // a second
  SharedUpstream &U = G.Upstreams_.front();
  U.WarmupEndsAt_ = Now + Duration::seconds(3);

  SECTION("none from other VMs") {
    CHECK(chosenId(G, requestFor("1")).empty());
  }
  SECTION("at the configured rate for cold upstreams") {
    U.IsWarmedHere_ = true;
    int Sent = 0;
    for (int Ms = 0; Ms < 2000; Ms += 50)
      Sent += !chosenId(G, requestFor("1"), Now + Duration::millis(Ms)).empty();
    CHECK(Sent == 4);
  }
  SECTION("and all requests once it is warm") {
    CHECK(chosenId(G, requestFor("1"), Now + Duration::seconds(3)) == "u0");
  }
}

TEST_CASE("A failing upstream is backed off") {
  SharedUpstream U = upstream("u", North);
  KeyedChoiceOptions Rules;
  SECTION("at once if it can't be connected to, with exponential back-off") {
    release(U, {.NotConnected_ = true}, Rules, Now);
    CHECK(U.BackOffUntil_ == Now + Duration::millis(500));
    release(U, {.NotConnected_ = true}, Rules, Now);
    CHECK(U.BackOffUntil_ == Now + Duration::millis(1000));
    for (int N = 0; N < 80; ++N)
      release(U, {.NotConnected_ = true}, Rules, Now);
    CHECK(U.BackOffUntil_ == Now + Duration::seconds(8));
  }
  SECTION("but not for timeouts while it answers other calls") {
    for (int N = 0; N < 10; ++N) {
      Time At = Now + Duration::millis(N * 500);
      reserve(U, At);
      reserve(U, At);
      release(U, {.TimedOut_ = true}, Rules, At + Duration::millis(400));
      release(U, {.Answered_ = true}, Rules, At + Duration::millis(450));
    }
    CHECK(U.BackOffUntil_ == Time());
  }
  SECTION("for timeouts if no call is answered") {
    for (int N = 0; N < 5; ++N)
      reserve(U, Now);
    release(U, {.TimedOut_ = true}, Rules, Now + Duration::millis(1200));
    release(U, {.TimedOut_ = true}, Rules, Now + Duration::millis(1200));
    CHECK(U.BackOffUntil_ == Time());
    release(U, {.TimedOut_ = true}, Rules, Now + Duration::millis(2100));
    release(U, {.TimedOut_ = true}, Rules, Now + Duration::millis(2100));
    CHECK(U.BackOffUntil_ > Now);
  }
  SECTION("but not for a single truncated answer") {
    release(U, {.Failed_ = true}, Rules, Now);
    CHECK(U.BackOffUntil_ == Time());
    release(U, {.Answered_ = true}, Rules, Now);
    release(U, {.Failed_ = true}, Rules, Now);
    CHECK(U.BackOffUntil_ == Time());
    release(U, {.Failed_ = true}, Rules, Now);
    CHECK(U.BackOffUntil_ > Now);
  }
}

TEST_CASE("A region's requests are divided over the regions by slots") {
  std::map<RegionId, double> Slots{{North, 6}, {South, 24}};
  std::map<RegionId, double> Demand{{North, 0.5}, {South, 0.5}};

  SECTION("a region with too few slots keeps its share") {
    RegionShares S = targetShares(North, Slots, Demand);
    CHECK(S[North] == Approx(0.4));
    CHECK(S[South] == Approx(0.6));
  }
  SECTION("a region with enough slots serves its own callers") {
    RegionShares S = targetShares(South, Slots, Demand);
    CHECK(S[South] == Approx(1));
  }
  SECTION("a region without slots sends all requests to others") {
    Slots[North] = 0;
    CHECK(targetShares(North, Slots, Demand)[South] == Approx(1));
  }
  SECTION("shares move in limited steps and still sum to 1") {
    RegionShares S{{North, 1}};
    RegionShares Target{{North, 0.4}, {South, 0.6}};
    S = stepTowards(S, Target, 0.1);
    CHECK(S[North] == Approx(0.9));
    CHECK(S[South] == Approx(0.1));
    for (int N = 0; N < 6; ++N)
      S = stepTowards(S, Target, 0.1);
    CHECK(S[South] == Approx(0.6));
  }
  SECTION("objects map to regions by the shares, always to the same one") {
    RegionShares Shares{{North, 0.4}, {South, 0.6}};
    int SouthFirst = 0;
    for (int N = 0; N < 1000; ++N) {
      auto Order = regionOrder(North, Shares, std::to_string(N));
      REQUIRE(Order.size() == 2);
      SouthFirst += Order.front() == South;
      CHECK(Order == regionOrder(North, Shares, std::to_string(N)));
    }
    CHECK(SouthFirst > 520);
    CHECK(SouthFirst < 680);
  }
  SECTION("short demand waves hardly change the shares, lasting changes do") {
    std::map<RegionId, double> Parts;
    std::map<RegionId, double> Wave{{North, 30}, {South, 10}};
    smoothDemand(Parts, Wave, Duration::millis(500));
    for (int Step = 0; Step < 20; ++Step)
      smoothDemand(Parts, Wave, Duration::millis(500));
    CHECK(Parts[North] < 0.55);
    for (int Step = 0; Step < 600; ++Step)
      smoothDemand(Parts, Wave, Duration::millis(500));
    CHECK(Parts[North] > 0.7);
  }
}

TEST_CASE("A paused upstream gets no calls until the pause has passed") {
  SharedGroup G = group(2, North);
  KeyedRequest Request = requestFor("17");
  std::string First = chosenId(G, Request);
  Time Later = Now + Duration::seconds(3);
  byId(G, First).PausedUntil_ = Later;

  SECTION("and its objects go to their next choice") {
    CHECK(chosenId(G, Request) != First);
    CHECK(chosenId(G, Request, Later) == First);
    CHECK(usableFrom(G, Request, Now) == Now);
  }
  SECTION("and where all are paused, it is known when the first is usable") {
    for (SharedUpstream &U : G.Upstreams_)
      U.PausedUntil_ = Later + Duration::seconds(1);
    byId(G, First).PausedUntil_ = Later;
    CHECK(chosenId(G, Request).empty());
    CHECK_FALSE(anyAvailable(G, Request, Now));
    CHECK(usableFrom(G, Request, Now) == Later);
    Request.Tried_ = {UpstreamId(First)};
    CHECK(usableFrom(G, Request, Now) == Later + Duration::seconds(1));
  }
  SECTION("but one that has left can't be waited for") {
    for (SharedUpstream &U : G.Upstreams_)
      U.Available_ = false;
    CHECK(usableFrom(G, Request, Now) == Now);
  }
}
