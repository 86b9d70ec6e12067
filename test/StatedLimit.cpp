// Plays the calls of a fleet of entry VMs to one upstream on virtual time. VMs
// that have read the upstream's limit must respect it together, however many
// they are, and none may be kept from the upstream for good.
#include "lagoonpoint/Core"
#include "lagoonpoint/Steering"
#include "lagoonpoint/src/Gateway/VmRanking.h"
#include "lagoonpoint/src/Http/util/Forwarding.h"

#include <Poco/Net/HTTPResponse.h>
#include <catch2/catch.hpp>

#include <cmath>
#include <deque>
#include <random>

using namespace lagoonpoint;

namespace {

constexpr Time Start = Time(100'000);
const UpstreamId Limited("i-limited");

std::vector<VmId> vms(int Count) {
  std::vector<VmId> Out;
  for (int N = 0; N < Count; ++N)
    Out.push_back(VmId("10.0.0." + std::to_string(N)));
  return Out;
}

/// Entry VMs that send to one upstream as soon as each of them may.
class SimulatedVms {
public:
  SimulatedVms(int Count, double PerSecond)
      : Ranking_(vms(Count)), PerSecond_(PerSecond),
        Limits_(static_cast<std::size_t>(Count)) {
    for (std::size_t N = 0; N < Limits_.size(); ++N)
      applyStatement(Limits_[N], PerSecond_, sharer(N, Ranking_), Start, Start);
  }

  /// \param Knows the ranking that a VM knows at a time
  template <class Knows> void play(Duration Span, const Knows &RankingOf) {
    for (Time End = Now_ + Span; Now_ < End; Now_ = Now_ + Duration::millis(5))
      for (std::size_t N = 0; N < Limits_.size(); ++N)
        step(N, RankingOf(N, Now_));
  }
  void play(Duration Span) {
    play(Span,
         [this](std::size_t, Time) -> const VmRanking & { return Ranking_; });
  }

  /// Starts to send when all tokens are saved up.
  void idle(Duration Span) { Now_ = Now_ + Span; }

  /// \returns the most requests in any four seconds.
  std::size_t most() const { return Most_; }
  double perSecond(Duration Span) const {
    return static_cast<double>(Sent_) / Span.inSeconds();
  }
  /// \returns whether a VM may send at some time in the next day.
  bool maySendOnce(std::size_t Vm) const {
    for (Duration D; D < Duration::seconds(86'400);
         D = D + Duration::seconds(1))
      if (hasToken(*Limits_[Vm], Now_ + D))
        return true;
    return false;
  }

private:
  LimitSharer sharer(std::size_t N, const VmRanking &R) const {
    return R.sharer(Ranking_.vms()[N], Limited);
  }
  void step(std::size_t N, const VmRanking &Known) {
    std::optional<StatedLimit> &L = Limits_[N];
    if (!hasToken(*L, Now_))
      return;
    takeToken(*L, Now_);
    ++Sent_;
    Recent_.push_back(Now_);
    while (Now_ - Recent_.front() >= Duration::seconds(4))
      Recent_.pop_front();
    Most_ = std::max(Most_, Recent_.size());
    applyStatement(L, PerSecond_, sharer(N, Known), Now_, Now_);
  }

  const VmRanking Ranking_;
  const double PerSecond_;
  std::vector<std::optional<StatedLimit>> Limits_;
  Time Now_ = Start;
  std::deque<Time> Recent_;
  std::size_t Sent_ = 0;
  std::size_t Most_ = 0;
};

/// Requests that an upstream tolerates in four seconds.
double tolerated(double PerSecond) { return 1.5 * 4 * PerSecond + 5; }

} // namespace

TEST_CASE("VMs that have read an upstream's limit respect it together") {
  int Count = GENERATE(1, 2, 9, 18, 89, 273, 870);
  double PerSecond = GENERATE(0.0, 0.3, 1.0, 2.8, 3.9, 20.0);
  CAPTURE(Count, PerSecond);
  SimulatedVms Vms(Count, PerSecond);
  constexpr Duration Span = Duration::seconds(40);

  SECTION("from the statement on, and use most of it") {
    Vms.play(Span);
    CHECK(Vms.most() <= tolerated(PerSecond));
    CHECK(Vms.perSecond(Span) >= 0.8 * PerSecond - 0.1);
  }
  SECTION("after they have sent nothing for some time") {
    Vms.idle(Duration::seconds(60));
    Vms.play(Span);
    CHECK(Vms.most() <= tolerated(PerSecond));
  }
  SECTION("while half of them don't know yet that a VM has left") {
    std::vector<VmId> Left = vms(Count);
    Left.pop_back();
    const VmRanking Before(vms(Count));
    const VmRanking After(Left);
    Vms.play(Span, [&](std::size_t N, Time) -> const VmRanking & {
      return N % 2 == 0 ? Before : After;
    });
    CHECK(Vms.most() <= tolerated(PerSecond));
  }
  SECTION("and each of them may send now and then") {
    for (int Vm = 0; Vm < Count; Vm += std::max(1, Count / 7))
      CHECK(Vms.maySendOnce(static_cast<std::size_t>(Vm)));
  }
}

// Guards against VMs that each take the whole limit just after their start.
TEST_CASE(
    "VMs that don't know each other yet don't exceed an upstream's limit") {
  auto [Count, PerSecond] = GENERATE(
      table<int, double>({{2, 0.3}, {4, 0.3}, {4, 1.0}, {9, 4.0}, {30, 20.0}}));
  CAPTURE(Count, PerSecond);
  SimulatedVms Vms(Count, PerSecond);
  const VmRanking Unknown({});
  Vms.play(Duration::seconds(40),
           [&](std::size_t, Time) -> const VmRanking & { return Unknown; });
  CHECK(Vms.most() <= tolerated(PerSecond));
  CHECK(Vms.most() > 0);
}

TEST_CASE("A malformed limit counts as absent") {
  Dialect D;
  D.RequestLimit_ = "Server-Limit";
  auto Read = [&](const std::vector<std::string> &Values) {
    Poco::Net::HTTPResponse Response;
    for (const std::string &Value : Values)
      Response.add("server-limit", Value);
    return internal::readStatement(Response, D, Limited).RequestsPerSecond_;
  };
  CHECK(Read({"3.9"}) == 3.9);
  CHECK(Read({"0"}) == 0.0);
  CHECK(Read({"12"}) == 12.0);
  CHECK_FALSE(Read({}));
  for (const char *Value :
       {"", "-1", "-0.5", "nan", "inf", "-inf", "1e3", "0x1p3", "1,5", "1 2",
        "3.9;q=1", "three", ".", "+2", "3.9 requests"}) {
    CAPTURE(Value);
    CHECK_FALSE(Read({Value}));
  }
  CHECK_FALSE(Read({std::string(5000, '9')}));
  CHECK_FALSE(Read({"3.9", "3.9"}));
  CHECK_FALSE(Read({"1", "2"}));

  std::mt19937 Random(20261205);
  for (int N = 0; N < 2000; ++N) {
    std::string Value;
    for (std::size_t Length = Random() % 12; Value.size() < Length;)
      Value += "0123456789.,-+eEinfaN \t;x"[Random() % 26];
    CAPTURE(Value);
    std::optional<double> Rate = Read({Value});
    CHECK((!Rate || (std::isfinite(*Rate) && *Rate >= 0)));
  }
}

TEST_CASE("A limit lasts for as long as the upstream states it") {
  std::optional<StatedLimit> L;
  const LimitSharer Alone{0, 1};
  Time Later = Start + Duration::seconds(1);
  CHECK(applyStatement(L, 4.0, Alone, Start, Start));
  REQUIRE(L);
  CHECK(L->Part_.PerSecond_ == 4);

  SECTION("and begins without tokens") {
    CHECK_FALSE(hasToken(*L, Start));
    CHECK(hasToken(*L, Start + Duration::millis(300)));
  }
  SECTION("and ends with a response that states none") {
    CHECK(applyStatement(L, std::nullopt, Alone, Later, Later));
    CHECK_FALSE(L);
  }
  SECTION("but not with one to a request from before the statement") {
    CHECK_FALSE(applyStatement(L, std::nullopt, Alone, Start, Later));
    CHECK(L);
  }
  SECTION("and may change meanwhile") {
    CHECK_FALSE(applyStatement(L, 1.0, Alone, Later, Later));
    CHECK(L->Part_.PerSecond_ == 1);
  }
  SECTION("and a request that was not sent gives its token back") {
    takeToken(*L, Later);
    double Left = L->Tokens_;
    returnToken(*L, Later);
    CHECK(L->Tokens_ == Approx(Left + 1));
  }
}

TEST_CASE("An upstream gets no more calls of a VM than its stated limit") {
  SharedGroup G;
  G.Upstreams_.resize(2);
  for (int N : {0, 1}) {
    SharedUpstream &U = G.Upstreams_[static_cast<std::size_t>(N)];
    U.Id_ = UpstreamId("i" + std::to_string(N));
    U.IdHash_ = rendezvousHash(U.Id_.str());
    U.Slots_ = 30;
  }
  KeyedRequest Request;
  Request.Object_ = "17";
  Request.Regions_ = {RegionId()};
  SharedUpstream *First = chooseShared(G, Request, {}, Start);
  REQUIRE(First);
  applyStatement(First->Limit_, 2.0, {0, 1}, Start, Start);

  SECTION("and its objects' calls go elsewhere meanwhile") {
    int ToLimited = 0;
    for (int N = 0; N < 100; ++N) {
      Time Now = Start + Duration::millis(100 * N);
      SharedUpstream *U = chooseShared(G, Request, {}, Now);
      REQUIRE(U);
      reserve(*U, Now);
      ToLimited += U == First;
      release(*U, {.Answered_ = true}, {}, Now);
    }
    CHECK(ToLimited >= 17);
    CHECK(ToLimited <= 20);
  }
}
