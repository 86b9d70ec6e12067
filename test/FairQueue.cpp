#include "lagoonpoint/Limits"

#include <catch2/catch.hpp>

#include <map>

using namespace lagoonpoint;

namespace {

const TeamId Large("large"), Small("small");

void pushCalls(FairQueue &Q, const TeamId &Team, unsigned Weight, int Count,
               Time Deadline = Time(1'000'000), double Cost = 1) {
  static std::uint64_t Ticket = 0;
  for (int I = 0; I < Count; ++I)
    push(Q, {++Ticket, Team, Cost, Deadline}, Weight, Time(0));
}

std::map<TeamId, double> servedUnits(FairQueue &Q, int Count,
                                     Time Now = Time(1)) {
  std::map<TeamId, double> Units;
  std::vector<std::uint64_t> Expired;
  for (int I = 0; I < Count; ++I)
    if (auto Call = pop(Q, Now, Expired))
      Units[Call->Team_] += Call->Cost_;
  return Units;
}

} // namespace

TEST_CASE("Teams with queued calls") {
  FairQueue Q;

  SECTION("with equal weights get equal shares for any number of calls") {
    pushCalls(Q, Large, 1, 250);
    pushCalls(Q, Small, 1, 50);
    auto Units = servedUnits(Q, 100);
    CHECK(Units[Large] == 50);
    CHECK(Units[Small] == 50);
  }
  SECTION("get shares in proportion to their weights") {
    pushCalls(Q, Large, 3, 250);
    pushCalls(Q, Small, 1, 250);
    auto Units = servedUnits(Q, 200);
    CHECK(Units[Large] == 150);
    CHECK(Units[Small] == 50);
  }
  SECTION("get shares of units, not of calls, if costs differ") {
    pushCalls(Q, Large, 1, 250, Time(1'000'000), 4);
    pushCalls(Q, Small, 1, 250);
    auto Units = servedUnits(Q, 200);
    CHECK(Units[Large] == Approx(Units[Small]).margin(4));
  }
  SECTION("accumulate no credit while their queues are empty") {
    pushCalls(Q, Large, 1, 100);
    servedUnits(Q, 50);
    pushCalls(Q, Small, 1, 100);
    CHECK(servedUnits(Q, 20)[Small] == 10);
  }
  SECTION("have their calls served in order of arrival") {
    push(Q, {1, Large, 1, Time(99)}, 1, Time(0));
    push(Q, {2, Large, 1, Time(99)}, 1, Time(0));
    std::vector<std::uint64_t> Expired;
    CHECK(pop(Q, Time(1), Expired)->Ticket_ == 1);
    CHECK(pop(Q, Time(1), Expired)->Ticket_ == 2);
    CHECK_FALSE(pop(Q, Time(1), Expired));
  }
}

TEST_CASE("A queued call") {
  FairQueue Q;
  std::vector<std::uint64_t> Expired;

  SECTION("is refused if its team's queue is full") {
    pushCalls(Q, Large, 1, 256);
    CHECK_FALSE(push(Q, {1, Large, 1, Time(99)}, 1, Time(0)));
    CHECK(push(Q, {2, Small, 1, Time(99)}, 1, Time(0)));
    CHECK(queueLength(Q, Large) == 256);
  }
  SECTION("is never dispatched after its deadline") {
    push(Q, {1, Large, 1, Time(10)}, 1, Time(0));
    push(Q, {2, Large, 1, Time(20)}, 1, Time(0));
    CHECK(pop(Q, Time(10), Expired)->Ticket_ == 2);
    CHECK(Expired == std::vector<std::uint64_t>{1});
  }
  SECTION("expires behind a call with a later deadline") {
    push(Q, {1, Large, 1, Time(50)}, 1, Time(0));
    push(Q, {2, Large, 1, Time(10)}, 1, Time(0));
    CHECK(expire(Q, Time(10)) == std::vector<std::uint64_t>{2});
    CHECK(queueLength(Q, Large) == 1);
  }
  SECTION("is refused if its deadline has already passed") {
    CHECK_FALSE(push(Q, {1, Large, 1, Time(5)}, 1, Time(5)));
  }
  SECTION("is removed when its caller leaves") {
    push(Q, {1, Large, 1, Time(50)}, 1, Time(0));
    CHECK(cancel(Q, Large, 1));
    CHECK_FALSE(cancel(Q, Large, 1));
    CHECK_FALSE(pop(Q, Time(1), Expired));
  }
}
