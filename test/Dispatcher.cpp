#include "lagoonpoint/src/Node/Dispatcher.h"
#include "fakes/FakeClock.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace lagoonpoint;

namespace {

const ServiceId Service("tag-register");
const VmId Self("e1");

UpstreamAnnouncement makeAnnouncement(const char *Id, unsigned Slots) {
  UpstreamAnnouncement Announcement;
  Announcement.Id_ = UpstreamId(Id);
  Announcement.Zone_ = ZoneId("north-a");
  Announcement.Address_ = {"127.0.0.1", 7301};
  Announcement.Slots_ = Slots;
  Announcement.Connections_ = 100;
  Announcement.Lease_ = Duration::seconds(10);
  return Announcement;
}

DispatchRequest makeRequest(const char *Team, Time Deadline) {
  DispatchRequest Request;
  Request.Service_ = Service;
  Request.Team_ = TeamId(Team);
  Request.Deadline_ = Deadline;
  return Request;
}

} // namespace

TEST_CASE("Calls of a zone are assigned to its upstreams") {
  fakes::FakeClock Clock;
  Dispatcher D(Clock);
  auto SetUpstreams =
      [&](const std::vector<UpstreamAnnouncement> &Announcements,
          const std::set<VmId> &Vms = {Self}) {
        D.setUpstreams(Service, Announcements, Vms, Self, Duration());
      };
  Time InOneSecond = Clock.now() + Duration::seconds(1);

  SECTION("without upstreams a call is refused as not run") {
    try {
      D.acquire(makeRequest("rangers", InOneSecond));
      FAIL("the call was assigned to an upstream");
    } catch (const Refusal &R) {
      CHECK(R.reason() == RefusalReason::NoUpstream);
      CHECK(R.ran() == Ran::No);
    }
  }
  SECTION("calls in flight never exceed the slots") {
    SetUpstreams({makeAnnouncement("u1", 2)});
    CHECK(D.tryAcquire(makeRequest("rangers", InOneSecond)));
    CHECK(D.tryAcquire(makeRequest("rangers", InOneSecond)));
    CHECK_FALSE(D.tryAcquire(makeRequest("rangers", InOneSecond)));
    D.release(Service, UpstreamId("u1"), UpstreamOutcome::Answered,
              Duration::millis(1));
    CHECK(D.tryAcquire(makeRequest("rangers", InOneSecond)));
  }
  SECTION("all slots are divided among the VMs of the zone") {
    double Total = 0;
    for (const char *Vm : {"e1", "e2"}) {
      Dispatcher Other(Clock);
      Other.setUpstreams(Service, {makeAnnouncement("u1", 3)},
                         {VmId("e1"), VmId("e2")}, VmId(Vm), Duration());
      Total += Other.slots(Service);
    }
    CHECK(Total == 3);
  }
  SECTION("an upstream that is no longer announced gets no new calls") {
    SetUpstreams({makeAnnouncement("u1", 2), makeAnnouncement("u2", 2)});
    SetUpstreams({makeAnnouncement("u2", 2)});
    for (int I = 0; I < 2; ++I) {
      auto Target = D.tryAcquire(makeRequest("rangers", InOneSecond));
      REQUIRE(Target);
      CHECK(Target->Upstream_ == UpstreamId("u2"));
    }
    CHECK_FALSE(D.tryAcquire(makeRequest("rangers", InOneSecond)));
  }
  SECTION("a waiting call gets the slot that is freed") {
    SetUpstreams({makeAnnouncement("u1", 1)});
    REQUIRE(D.tryAcquire(makeRequest("rangers", InOneSecond)));
    CallTarget Assigned;
    std::thread Waiter(
        [&] { Assigned = D.acquire(makeRequest("agents", InOneSecond)); });
    D.release(Service, UpstreamId("u1"), UpstreamOutcome::Answered,
              Duration::millis(1));
    Waiter.join();
    CHECK(Assigned.Upstream_ == UpstreamId("u1"));
  }
  SECTION(
      "a call whose deadline passes in the queue is refused without a slot") {
    SetUpstreams({makeAnnouncement("u1", 1)});
    REQUIRE(D.tryAcquire(makeRequest("rangers", InOneSecond)));
    Time Expired = Clock.now();
    CHECK_THROWS_AS(D.acquire(makeRequest("agents", Expired)), Refusal);
    D.release(Service, UpstreamId("u1"), UpstreamOutcome::Answered,
              Duration::millis(1));
    CHECK(D.tryAcquire(makeRequest("rangers", InOneSecond)));
  }
}
