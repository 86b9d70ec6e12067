#include "lagoonpoint/Core"
#include "fakes/FakeClock.h"
#include "fakes/FakeNetwork.h"
#include "lagoonpoint/Codec"

#include "lagoonpoint/src/Core/util/TrySend.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

using namespace lagoonpoint;

namespace {

struct TestMessage {
  VmId Vm_;
  Revision Revision_;
  Duration Lease_;
  MSGPACK_DEFINE(Vm_, Revision_, Lease_)
};

} // namespace

TEST_CASE("Messages are encoded and decoded") {
  TestMessage Sent{VmId("w1"), Revision(7), Duration::seconds(3)};
  std::string Bytes = encode(Sent);

  SECTION("without loss") {
    TestMessage Got = decode<TestMessage>(Bytes, "test.read", "w1");
    CHECK(Got.Vm_ == Sent.Vm_);
    CHECK(Got.Revision_ == Sent.Revision_);
    CHECK(Got.Lease_ == Sent.Lease_);
  }
  SECTION("and an invalid one throws an error with step and peer") {
    SECTION("when it is truncated") { Bytes.pop_back(); }
    SECTION("when it has trailing bytes") { Bytes += 'x'; }
    SECTION("when it has another type") { Bytes = encode(std::string("x")); }
    try {
      decode<TestMessage>(Bytes, "test.read", "w1");
      FAIL("an invalid message was decoded");
    } catch (const CodecError &E) {
      CHECK(E.step() == "test.read");
      CHECK(E.peer() == "w1");
    }
  }
}

TEST_CASE("A violated invariant is counted and throws") {
  std::uint64_t Before = invariantViolations();
  CHECK_THROWS_AS([] { LAGOONPOINT_ASSERT(1 > 2, "test.step"); }(),
                  InvariantViolation);
  CHECK(invariantViolations() == Before + 1);
}

TEST_CASE("The fake network") {
  fakes::FakeNetwork Network;
  Envelope Message{VmId("a"), VmId("b"), Channel::Membership, "hello"};

  SECTION("delivers a message after its delay") {
    Network.send(Time(0), Message);
    CHECK(Network.takeDue(Time(0)).empty());
    CHECK(Network.takeDue(Time(1)).size() == 1);
    CHECK(Network.takeDue(Time(2)).empty());
  }
  SECTION("delivers nothing over a cut link, in that direction only") {
    Network.cut(VmId("a"), VmId("b"));
    Network.send(Time(0), Message);
    Network.send(Time(0), {VmId("b"), VmId("a"), Channel::Membership, "back"});
    auto Due = Network.takeDue(Time(5));
    REQUIRE(Due.size() == 1);
    CHECK(Due[0].To_ == VmId("a"));
  }
  SECTION("duplicates and loses messages as the hook decides") {
    Network.setHook([](std::uint64_t Number, const Envelope &) {
      return Number == 0 ? fakes::MessageOutcome{.Copies_ = 2}
                         : fakes::MessageOutcome{.Lost_ = true};
    });
    Network.send(Time(0), Message);
    Network.send(Time(0), Message);
    CHECK(Network.takeDue(Time(5)).size() == 2);
  }
}

TEST_CASE("trySend() on a socket with a full send buffer") {
  int Sockets[2];
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Sockets) == 0);
  std::string Bytes(1 << 16, 'x');
  int LastResult = 1;
  while (LastResult > 0)
    LastResult = internal::trySend(Sockets[0], Bytes);

  SECTION("writes nothing and reports no loss") { CHECK(LastResult == 0); }
  SECTION("writes again once the peer has read") {
    std::string Read(1 << 20, ' ');
    while (::read(Sockets[1], Read.data(), Read.size()) > 0) {
    }
    CHECK(internal::trySend(Sockets[0], Bytes) > 0);
  }
  SECTION("reports a lost connection once the peer has closed") {
    ::close(Sockets[1]);
    Sockets[1] = -1;
    CHECK(internal::trySend(Sockets[0], Bytes) == -1);
  }
  ::close(Sockets[0]);
  if (Sockets[1] >= 0)
    ::close(Sockets[1]);
}
