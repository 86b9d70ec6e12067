#include "lagoonpoint/Core"
#include "fakes/FakeClock.h"
#include "fakes/FakeNetwork.h"
#include "lagoonpoint/Codec"

#include <catch2/catch.hpp>

using namespace lagoonpoint;

namespace {

struct Note {
  VmId Vm_;
  Revision Revision_;
  Duration Lease_;
  MSGPACK_DEFINE(Vm_, Revision_, Lease_)
};

} // namespace

TEST_CASE("A message between VMs") {
  Note Sent{VmId("w1"), Revision(7), Duration::seconds(3)};
  std::string Bytes = encode(Sent);

  SECTION("arrives as it was sent") {
    Note Got = decode<Note>(Bytes, "test.read", "w1");
    CHECK(Got.Vm_ == Sent.Vm_);
    CHECK(Got.Revision_ == Sent.Revision_);
    CHECK(Got.Lease_ == Sent.Lease_);
  }
  SECTION("is refused with step and peer") {
    SECTION("when it is cut") { Bytes.pop_back(); }
    SECTION("when bytes follow it") { Bytes += 'x'; }
    SECTION("when it is of another shape") { Bytes = encode(std::string("x")); }
    try {
      decode<Note>(Bytes, "test.read", "w1");
      FAIL("decoded");
    } catch (const CodecError &E) {
      CHECK(E.step() == "test.read");
      CHECK(E.peer() == "w1");
    }
  }
}

TEST_CASE("A violated invariant is counted and refuses the decision") {
  std::uint64_t Before = invariantViolations();
  CHECK_THROWS_AS([] { LAGOONPOINT_ASSERT(1 > 2, "test.step"); }(),
                  InvariantViolation);
  CHECK(invariantViolations() == Before + 1);
}

TEST_CASE("The fake network") {
  fakes::FakeNetwork Net;
  Envelope Message{VmId("a"), VmId("b"), Channel::Membership, "hello"};

  SECTION("delivers after the delay") {
    Net.send(Time(0), Message);
    CHECK(Net.due(Time(0)).empty());
    CHECK(Net.due(Time(1)).size() == 1);
    CHECK(Net.due(Time(2)).empty());
  }
  SECTION("delivers nothing over a cut, in its direction only") {
    Net.cut(VmId("a"), VmId("b"));
    Net.send(Time(0), Message);
    Net.send(Time(0), {VmId("b"), VmId("a"), Channel::Membership, "back"});
    auto Due = Net.due(Time(5));
    REQUIRE(Due.size() == 1);
    CHECK(Due[0].To_ == VmId("a"));
  }
  SECTION("repeats and loses what the hook says") {
    Net.setHook([](std::uint64_t Number, const Envelope &) {
      return Number == 0 ? fakes::Fate{.Copies_ = 2}
                         : fakes::Fate{.Lost_ = true};
    });
    Net.send(Time(0), Message);
    Net.send(Time(0), Message);
    CHECK(Net.due(Time(5)).size() == 2);
  }
}
