#include "lagoonpoint/Peer"
#include "lagoonpoint/src/Peer/Handshake.h"
#include "lagoonpoint/src/Peer/Http2Sender.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

using namespace lagoonpoint;
using internal::Handshake;

namespace {

const VmId A("a"), B("b"), C("c");
const std::string Secret = "a shared secret of the cluster";

/// Polls a condition until it holds. Gives up after 20 s or more, which happens
/// only if the test fails.
bool eventually(const std::function<bool()> &Condition) {
  for (int Try = 0; Try < 4000; ++Try) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

/// A transport that records its messages and errors.
struct TestVm {
  explicit TestVm(const VmId &Id, const std::string &Key = Secret,
                  unsigned short Port = 0, PeerLimits Limits = {})
      : Transport_(
            {Id, {"127.0.0.1", Port}, Key, Limits},
            [this](Envelope M) { onMessage(std::move(M)); }, Clock_,
            [this](const Error &E) { onError(E); }) {
    Transport_.start();
  }

  void onMessage(Envelope Message) {
    while (HandlerBlocked_)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::lock_guard Guard(Lock_);
    Received_.push_back(std::move(Message));
  }
  void onError(const Error &E) {
    std::lock_guard Guard(Lock_);
    Errors_.push_back(E.step() + " " + E.peer() + " " + E.message());
  }
  bool sawError(const std::string &Text) const {
    std::lock_guard Guard(Lock_);
    return std::any_of(Errors_.begin(), Errors_.end(), [&](const auto &E) {
      return E.find(Text) != std::string::npos;
    });
  }
  std::size_t received() const {
    std::lock_guard Guard(Lock_);
    return Received_.size();
  }
  Envelope received(std::size_t Index) const {
    std::lock_guard Guard(Lock_);
    return Received_.at(Index);
  }
  Address address() const { return {"127.0.0.1", Transport_.port()}; }
  void send(const VmId &To, std::string Body,
            Channel MessageChannel = Channel::Membership) {
    Transport_.send({A, To, MessageChannel, std::move(Body)});
  }

  SystemClock Clock_;
  mutable std::mutex Lock_;
  std::vector<Envelope> Received_;
  std::vector<std::string> Errors_;
  std::atomic<bool> HandlerBlocked_{false};
  PeerTransport Transport_;
};

/// Reads until the other side closes the connection. Throws if no bytes arrive
/// for 20 s.
std::string readAll(Poco::Net::StreamSocket &Socket) {
  std::string Received;
  char Buffer[1024];
  Socket.setReceiveTimeout(Poco::Timespan(20, 0));
  try {
    while (int Count = Socket.receiveBytes(Buffer, sizeof Buffer))
      Received.append(Buffer, static_cast<std::size_t>(Count));
  } catch (const Poco::Net::NetException &) {
    // The peer closed the socket with unread data, which resets the connection.
  }
  return Received;
}

void write(Poco::Net::StreamSocket &Socket, const std::string &Bytes) {
  Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
}

std::string readExactly(Poco::Net::StreamSocket &Socket, int Count) {
  std::string Bytes(static_cast<std::size_t>(Count), '\0');
  for (int At = 0; At < Count;) {
    int Got = Socket.receiveBytes(Bytes.data() + At, Count - At);
    REQUIRE(Got > 0);
    At += Got;
  }
  return Bytes;
}

Poco::Net::StreamSocket connectTo(const TestVm &Vm) {
  return Poco::Net::StreamSocket(
      Poco::Net::SocketAddress("127.0.0.1", Vm.Transport_.port()));
}

std::string randomText(Random &Rng, std::size_t Size) {
  std::string Text(Size, '\0');
  for (char &Byte : Text)
    Byte = static_cast<char>(Rng());
  return Text;
}

} // namespace

TEST_CASE("VMs with the same secret") {
  TestVm VmA(A), VmB(B);
  VmA.Transport_.setPeers({{B, VmB.address()}});
  VmB.Transport_.setPeers({{A, VmA.address()}});

  SECTION("exchange messages in both directions, in order, on every channel") {
    constexpr auto Channels = static_cast<std::size_t>(LastChannel);
    for (std::size_t Number = 1; Number <= Channels; ++Number)
      VmA.send(B, "to b", static_cast<Channel>(Number));
    VmB.Transport_.send({B, A, Channel::Once, ""});
    REQUIRE(eventually(
        [&] { return VmB.received() == Channels && VmA.received() == 1; }));
    for (std::size_t At = 0; At < Channels; ++At) {
      Envelope Got = VmB.received(At);
      CHECK(Got.From_ == A);
      CHECK(Got.To_ == B);
      CHECK(Got.Channel_ == static_cast<Channel>(At + 1));
      CHECK(Got.Body_ == "to b");
    }
    CHECK(VmA.received(0).Channel_ == Channel::Once);
    CHECK(VmA.received(0).Body_.empty());
    CHECK(VmA.Errors_.empty());
  }
  SECTION("deliver small messages without waiting for a large one") {
    Random Rng(1);
    std::string Large = randomText(Rng, 30 << 20);
    VmA.send(B, Large);
    for (int Count = 0; Count < 10; ++Count)
      VmA.send(B, "small");
    REQUIRE(eventually([&] { return VmB.received() == 11; }));
    CHECK(VmB.received(0).Body_ == "small");
    CHECK(VmB.received(10).Body_ == Large);
  }
  SECTION("drop and count messages that cannot be sent") {
    VmA.send(C, "nobody");
    VmA.send(B, std::string((64 << 20) + 1, 'x'));
    CHECK(VmA.Transport_.counters().DroppedUnknownPeer_ == 1);
    CHECK(VmA.Transport_.counters().DroppedTooLarge_ == 1);
  }
  SECTION("reconnect after one restarts") {
    VmA.send(B, "first");
    REQUIRE(eventually([&] { return VmB.received() == 1; }));
    unsigned short Port = VmB.Transport_.port();
    VmB.Transport_.stop();
    VmA.send(B, "lost or late");
    TestVm Restarted(B, Secret, Port);
    REQUIRE(eventually([&] {
      VmA.send(B, "again");
      return Restarted.received() > 0;
    }));
    CHECK(VmA.Transport_.counters().Connects_ >= 2);
  }
  SECTION("reconnect when the address of a peer changes") {
    VmA.send(B, "first");
    REQUIRE(eventually([&] { return VmB.received() == 1; }));
    TestVm Moved(B);
    VmA.Transport_.setPeers({{B, Moved.address()}});
    REQUIRE(eventually([&] {
      VmA.send(B, "moved");
      return Moved.received() > 0;
    }));
  }
}

TEST_CASE("A slow receiver") {
  PeerLimits SmallLimits;
  SmallLimits.MessageBytes_ = 1 << 20;
  SmallLimits.InboxBytes_ = 1 << 20;
  SmallLimits.QueueBytes_ = 4 << 20;
  TestVm VmA(A, Secret, 0, SmallLimits), VmB(B, Secret, 0, SmallLimits), VmC(C);
  VmA.Transport_.setPeers({{B, VmB.address()}, {C, VmC.address()}});
  VmB.HandlerBlocked_ = true;
  for (int Count = 0; Count < 200; ++Count)
    VmA.send(B, std::string(1 << 20, 'x'));

  SECTION("fills a bounded queue and does not delay other receivers") {
    CHECK(VmA.Transport_.counters().DroppedQueueFull_ > 0);
    VmA.send(C, "hello");
    CHECK(eventually([&] { return VmC.received() == 1; }));
  }
  SECTION("receives the newest message when it resumes") {
    VmA.send(B, "newest");
    VmB.HandlerBlocked_ = false;
    // Messages are concurrent streams: a short one overtakes long ones.
    CHECK(eventually([&] {
      for (std::size_t At = VmB.received(); At-- > 0;)
        if (VmB.received(At).Body_ == "newest")
          return true;
      return false;
    }));
  }
  VmB.HandlerBlocked_ = false;
}

TEST_CASE("A process without the secret") {
  TestVm VmA(A);

  SECTION("is rejected when it dials, and its message is not received") {
    TestVm Unauthorized(B, "another secret of some cluster");
    Unauthorized.Transport_.setPeers({{A, VmA.address()}});
    Unauthorized.send(A, "hello");
    CHECK(eventually([&] { return VmA.sawError("wrong proof"); }));
    CHECK(VmA.Transport_.counters().AuthFailures_ >= 1);
    CHECK(VmA.received() == 0);
  }
  SECTION("receives no message when it listens") {
    TestVm Unauthorized(B, "another secret of some cluster");
    VmA.Transport_.setPeers({{B, Unauthorized.address()}});
    VmA.send(B, "hello");
    CHECK(eventually([&] { return Unauthorized.sawError("wrong proof"); }));
    CHECK(Unauthorized.received() == 0);
    CHECK(VmA.Transport_.counters().MessagesSent_ == 0);
  }
  SECTION("is disconnected when it listens and sends a forged proof") {
    Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    VmA.Transport_.setPeers({{B, {"127.0.0.1", Listener.address().port()}}});
    VmA.send(B, "hello");
    auto Socket = Listener.acceptConnection();
    write(Socket, std::string(internal::NonceBytes, 'n'));
    readExactly(Socket, internal::NonceBytes + 32);
    write(Socket, std::string(32, 'p'));
    CHECK(readAll(Socket).empty());
    CHECK(eventually([&] { return VmA.sawError("wrong proof"); }));
  }
  SECTION("receives only the nonce, whatever bytes it sends") {
    Random Rng(7);
    for (std::size_t Size : {64, 65, 1000, 5000}) {
      auto Socket = connectTo(VmA);
      write(Socket, randomText(Rng, Size));
      CHECK(readAll(Socket).size() <= internal::NonceBytes);
    }
    CHECK(eventually(
        [&] { return VmA.Transport_.counters().AuthFailures_ >= 4; }));
  }
  SECTION("is disconnected when it sends no handshake in time") {
    PeerLimits ShortTimeout;
    ShortTimeout.HandshakeTimeout_ = Duration::millis(100);
    TestVm VmC(C, Secret, 0, ShortTimeout);
    auto Socket = connectTo(VmC);
    CHECK(readAll(Socket).size() == internal::NonceBytes);
    CHECK(eventually([&] { return VmC.sawError("no handshake in time"); }));
  }
}

TEST_CASE("A process with the secret that violates the protocol loses only its "
          "connection") {
  TestVm VmA(A);
  auto Socket = connectTo(VmA);
  Handshake Dialer(Handshake::Role::Dialer, B, A, Secret,
                   std::string(internal::NonceBytes, 'n'));
  Dialer.receive(readExactly(Socket, internal::NonceBytes));
  std::string Proof = Dialer.takeOutput();
  write(Socket, Proof);
  Dialer.receive(readExactly(Socket, 32));
  std::string Hello = Dialer.takeOutput();
  REQUIRE(Dialer.done());

  SECTION("by random bytes after the handshake") {
    write(Socket, Hello);
    Random Rng(11);
    write(Socket, randomText(Rng, 4000));
    readAll(Socket);
    CHECK(eventually([&] { return VmA.sawError("peer.read b"); }));
    CHECK(VmA.Transport_.counters().ProtocolErrors_ == 1);
  }
  SECTION("by a message with the id of another sender") {
    internal::Http2Sender Sender(A, Dialer.sessionKey());
    Sender.submit({C, A, Channel::Membership, "I am c"});
    std::string Bytes = Hello;
    Sender.takeOutput(Bytes, 1 << 20);
    write(Socket, Bytes);
    readAll(Socket);
    CHECK(eventually([&] { return VmA.sawError("message from c to a"); }));
  }
  SECTION("by a message that was modified in transit") {
    internal::Http2Sender Sender(A, Dialer.sessionKey());
    Sender.submit({B, A, Channel::Membership, "correct"});
    std::string Bytes = Hello;
    Sender.takeOutput(Bytes, 1 << 20);
    Bytes.replace(Bytes.find("correct"), 7, "corrupt");
    write(Socket, Bytes);
    readAll(Socket);
    CHECK(eventually([&] { return VmA.sawError("authentication failed"); }));
  }
  SECTION("by replaying the handshake of another connection") {
    auto Second = connectTo(VmA);
    readExactly(Second, internal::NonceBytes);
    write(Second, Proof + Hello);
    CHECK(readAll(Second).empty());
    CHECK(eventually([&] { return VmA.sawError("wrong proof"); }));
  }
  SECTION("by a modified VM id in the hello") {
    Hello[1] = 'c';
    write(Socket, Hello);
    readAll(Socket);
    CHECK(eventually([&] { return VmA.sawError("wrong proof of the VM id"); }));
  }
  CHECK(VmA.received() == 0);
  TestVm VmB(B);
  VmB.Transport_.setPeers({{A, VmA.address()}});
  VmB.send(A, "still alive");
  CHECK(eventually([&] { return VmA.received() == 1; }));
}

TEST_CASE("A message over the receiver's limit is dropped, and others arrive") {
  PeerLimits SmallLimits;
  SmallLimits.MessageBytes_ = 1000;
  TestVm VmA(A), VmB(B, Secret, 0, SmallLimits);
  VmA.Transport_.setPeers({{B, VmB.address()}});
  VmA.send(B, std::string(100'000, 'x'));
  VmA.send(B, "small");
  CHECK(eventually([&] { return VmB.received() == 1; }));
  CHECK(VmB.received(0).Body_ == "small");
  CHECK(eventually(
      [&] { return VmA.Transport_.counters().FailedInFlight_ == 1; }));
  CHECK(VmB.Transport_.counters().DroppedTooLarge_ == 1);
}

TEST_CASE("A connection to the wrong VM is refused") {
  TestVm VmA(A), VmB(B);
  VmA.Transport_.setPeers({{C, VmB.address()}});
  VmA.send(C, "for c only");
  CHECK(eventually([&] { return VmB.sawError("meant for another VM"); }));
  CHECK(VmB.received() == 0);
}

TEST_CASE("A restarted VM is dialed again as soon as it is heard") {
  PeerLimits Patient;
  Patient.HandshakeTimeout_ = Patient.StallTimeout_ = Duration::seconds(60);
  Patient.QueueAge_ = Patient.MaxBackoff_ = Duration::seconds(60);
  // The connection to the earlier process is neither answered nor reset, as
  // after a loss of power.
  Poco::Net::ServerSocket Earlier(Poco::Net::SocketAddress("127.0.0.1", 0));
  unsigned short Port = Earlier.address().port();
  TestVm VmA(A, Secret, 0, Patient);
  VmA.Transport_.setPeers({{B, {"127.0.0.1", Port}}});
  VmA.send(B, "one");
  Poco::Net::StreamSocket Silent = Earlier.acceptConnection();
  Earlier.close();

  TestVm VmB(B, Secret, Port, Patient);
  VmB.Transport_.setPeers({{A, VmA.address()}});
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  VmB.Transport_.send({B, A, Channel::Membership, "started"});
  REQUIRE(eventually([&] { return VmA.received() == 1; }));
  CHECK(eventually([&] { return VmB.received() == 1; }));
}
