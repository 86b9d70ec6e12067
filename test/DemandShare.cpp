#include "lagoonpoint/Limits"

#include <catch2/catch.hpp>

#include <numeric>
#include <vector>

using namespace lagoonpoint;

namespace {

/// Holders that divide one rate and report their demand to each other.
struct RateSharers {
  explicit RateSharers(std::size_t Count)
      : Buckets_(Count), AccruedRequests_(Count, 0) {}

  /// One VM reports its demand and receives the current total.
  void reportDemand(std::size_t Vm, Time Now) {
    updateRate(Meters_[Vm], Now);
    if (CutOff_[Vm])
      return;
    ReportedDemand_[Vm] = Meters_[Vm].Rate_;
    ReportedAt_[Vm] = Now;
    updateShare(Buckets_[Vm], ReportedDemand_[Vm], totalDemand(),
                reachableHolders());
  }
  double totalDemand() const {
    double Out = 0;
    for (std::size_t Vm = 0; Vm < ReportedDemand_.size(); ++Vm)
      Out += CutOff_[Vm] ? 0 : ReportedDemand_[Vm];
    return Out;
  }
  std::size_t reachableHolders() const {
    return static_cast<std::size_t>(
        std::count(CutOff_.begin(), CutOff_.end(), false));
  }
  /// Simulates callers at each VM.
  /// \returns admitted requests per second
  std::vector<int> run(Time From, int Millis, const std::vector<double> &Rates,
                       const GlobalRate &R) {
    std::vector<int> PerSecond;
    for (int Ms = 0; Ms < Millis; ++Ms) {
      Time Now = From + Duration::millis(Ms);
      if (Ms % 1000 == 0)
        PerSecond.push_back(0);
      for (std::size_t Vm = 0; Vm < Buckets_.size(); ++Vm) {
        // VMs report once per second, each at a different offset.
        if ((Ms + static_cast<int>(Vm) * 110) % 1000 == 0)
          reportDemand(Vm, Now);
        AccruedRequests_[Vm] += Rates[Vm] / 1000;
        if (AccruedRequests_[Vm] < 1)
          continue;
        AccruedRequests_[Vm] -= 1;
        recordEvents(Meters_[Vm]);
        double Part = shareFactor(Now - ReportedAt_[Vm]);
        PerSecond.back() +=
            take(Buckets_[Vm], R, reachableHolders(), Part, 1, 0, Now).Count_;
      }
    }
    return PerSecond;
  }

  std::vector<RateShare> Buckets_;
  std::vector<DemandMeter> Meters_ = std::vector<DemandMeter>(Buckets_.size());
  std::vector<double> AccruedRequests_;
  std::vector<double> ReportedDemand_ =
      std::vector<double>(Buckets_.size(), 0.0);
  std::vector<Time> ReportedAt_ = std::vector<Time>(Buckets_.size());
  std::vector<bool> CutOff_ = std::vector<bool>(Buckets_.size(), false);
};

constexpr Time Start = Time(1'000'000);
const GlobalRate TestRate{60, 60, Duration::seconds(5), 0.1, 20};

/// \returns the most requests admitted in any five consecutive seconds.
int busiestWindow(const std::vector<int> &PerSecond) {
  int Busiest = 0;
  for (std::size_t At = 0; At + 5 <= PerSecond.size(); ++At)
    Busiest = std::max(Busiest, std::accumulate(PerSecond.begin() + At,
                                                PerSecond.begin() + At + 5, 0));
  return Busiest;
}

const double MaxInWindow = (60 * 5 + 60) * 1.1 + 20;

} // namespace

TEST_CASE("Holders divide a team's rate by demand") {
  RateSharers S(9);
  std::vector<double> Rates(9, 2);
  Rates[0] = 20;

  SECTION("requests within the rate are admitted under uneven demand") {
    std::vector<int> Passed = S.run(Start, 20'000, Rates, TestRate);
    int Late = std::accumulate(Passed.end() - 10, Passed.end(), 0);
    CHECK(Late >= 0.99 * 360);
  }
  SECTION("a surge at all holders stays within the limit of each window") {
    std::vector<int> Passed = S.run(Start, 10'000, Rates, TestRate);
    for (double &Rate : Rates)
      Rate *= 8;
    std::vector<int> More =
        S.run(Start + Duration::seconds(10), 20'000, Rates, TestRate);
    Passed.insert(Passed.end(), More.begin(), More.end());
    CHECK(busiestWindow(Passed) <= MaxInWindow);
    CHECK(std::accumulate(Passed.end() - 10, Passed.end(), 0) >= 0.9 * 600);
  }
  SECTION("shares add up to at most one while demand grows") {
    S.run(Start, 10'000, Rates, TestRate);
    for (double &Rate : Rates)
      Rate *= 8;
    for (int Second = 10; Second < 30; ++Second) {
      S.run(Start + Duration::seconds(Second), 1'000, Rates, TestRate);
      double Sum = 0;
      for (const RateShare &B : S.Buckets_)
        Sum += B.Share_;
      CHECK(Sum <= 1.01);
    }
  }
  SECTION("isolated holders give up their shares") {
    for (double &Rate : Rates)
      Rate *= 8;
    std::vector<int> Passed = S.run(Start, 15'000, Rates, TestRate);
    S.CutOff_[1] = S.CutOff_[2] = S.CutOff_[3] = true;
    std::vector<int> More =
        S.run(Start + Duration::seconds(15), 15'000, Rates, TestRate);
    Passed.insert(Passed.end(), More.begin(), More.end());
    CHECK(busiestWindow(Passed) <= MaxInWindow);
  }
}

TEST_CASE("A share decays with the age of its total") {
  CHECK(shareFactor(Duration::millis(1000)) == 1);
  CHECK(shareFactor(ShareValidFor) == 1);
  CHECK(shareFactor(Duration::millis(3600)) == Approx(0.5));
  CHECK(shareFactor(ShareExpiresAfter) == 0);
  CHECK(shareFactor(Duration::seconds(60)) == 0);
}

TEST_CASE("A caller over the rate gets the time until the next token") {
  RateShare B;
  B.Share_ = 0.5;
  GlobalRate R{4, 2, Duration::seconds(5), 0, 0};
  REQUIRE(take(B, R, 2, 1, 1, 0, Start).Count_ == 1);
  TakenTokens None = take(B, R, 2, 1, 1, 0, Start);
  REQUIRE(None.Count_ == 0);
  REQUIRE(None.RetryAfter_ > Duration());
  CHECK(take(B, R, 2, 1, 1, 0, Start + None.RetryAfter_).Count_ == 1);
  SECTION("a team without a rate is never limited") {
    R.Rate_ = 0;
    for (int N = 0; N < 100; ++N)
      CHECK(take(B, R, 2, 1, 1, 0, Start).Count_ == 1);
  }
}

TEST_CASE("Tokens are prefetched only while the bucket is half full") {
  RateShare B;
  B.Share_ = 1;
  GlobalRate R{1, 10, Duration::seconds(5), 0, 0};
  // Prefetch stops at half the burst.
  CHECK(take(B, R, 1, 1, 2, 4, Start).Count_ == 5);
  CHECK(take(B, R, 1, 1, 2, 4, Start).Count_ == 2);
  CHECK(take(B, R, 1, 1, 9, 4, Start).Count_ == 3);
}
