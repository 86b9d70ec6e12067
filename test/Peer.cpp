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

/// Polls a condition for at least 20 s. The bound is reached only if the test
/// fails.
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
  bool sawError(const std::string &Part) const {
    std::lock_guard Guard(Lock_);
    return std::any_of(Errors_.begin(), Errors_.end(), [&](const auto &E) {
      return E.find(Part) != std::string::npos;
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
  std::string All;
  char Buffer[1024];
  Socket.setReceiveTimeout(Poco::Timespan(20, 0));
  try {
    while (int Count = Socket.receiveBytes(Buffer, sizeof Buffer))
      All.append(Buffer, static_cast<std::size_t>(Count));
  } catch (const Poco::Net::NetException &) {
    // The peer closed the socket with unread data, which resets the connection.
  }
  return All;
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

Poco::Net::StreamSocket connectTo(const TestVm &V) {
  return Poco::Net::StreamSocket(
      Poco::Net::SocketAddress("127.0.0.1", V.Transport_.port()));
}

std::string randomText(Random &Dice, std::size_t Size) {
  std::string Text(Size, '\0');
  for (char &Byte : Text)
    Byte = static_cast<char>(Dice());
  return Text;
}

} // namespace

TEST_CASE("VMs with the same secret") {
  TestVm One(A), Two(B);
  One.Transport_.setPeers({{B, Two.address()}});
  Two.Transport_.setPeers({{A, One.address()}});

  SECTION("exchange messages in both directions, in order, on every channel") {
    constexpr auto Channels = static_cast<std::size_t>(LastChannel);
    for (std::size_t Number = 1; Number <= Channels; ++Number)
      One.send(B, "to b", static_cast<Channel>(Number));
    Two.Transport_.send({B, A, Channel::Once, ""});
    REQUIRE(eventually(
        [&] { return Two.received() == Channels && One.received() == 1; }));
    for (std::size_t At = 0; At < Channels; ++At) {
      Envelope Got = Two.received(At);
      CHECK(Got.From_ == A);
      CHECK(Got.To_ == B);
      CHECK(Got.Channel_ == static_cast<Channel>(At + 1));
      CHECK(Got.Body_ == "to b");
    }
    CHECK(One.received(0).Channel_ == Channel::Once);
    CHECK(One.received(0).Body_.empty());
    CHECK(One.Errors_.empty());
  }
  SECTION("deliver small messages without waiting for a large one") {
    Random Dice(1);
    std::string Large = randomText(Dice, 30 << 20);
    One.send(B, Large);
    for (int Count = 0; Count < 10; ++Count)
      One.send(B, "small");
    REQUIRE(eventually([&] { return Two.received() == 11; }));
    CHECK(Two.received(0).Body_ == "small");
    CHECK(Two.received(10).Body_ == Large);
  }
  SECTION("drop and count messages that cannot be sent") {
    One.send(C, "nobody");
    One.send(B, std::string((64 << 20) + 1, 'x'));
    CHECK(One.Transport_.counters().DroppedUnknownPeer_ == 1);
    CHECK(One.Transport_.counters().DroppedTooLarge_ == 1);
  }
  SECTION("reconnect after one restarts") {
    One.send(B, "first");
    REQUIRE(eventually([&] { return Two.received() == 1; }));
    unsigned short Port = Two.Transport_.port();
    Two.Transport_.stop();
    One.send(B, "lost or late");
    TestVm Again(B, Secret, Port);
    REQUIRE(eventually([&] {
      One.send(B, "again");
      return Again.received() > 0;
    }));
    CHECK(One.Transport_.counters().Connects_ >= 2);
  }
  SECTION("reconnect when the address of a peer changes") {
    One.send(B, "first");
    REQUIRE(eventually([&] { return Two.received() == 1; }));
    TestVm Moved(B);
    One.Transport_.setPeers({{B, Moved.address()}});
    REQUIRE(eventually([&] {
      One.send(B, "moved");
      return Moved.received() > 0;
    }));
  }
}

TEST_CASE("A slow receiver") {
  PeerLimits Small;
  Small.MessageBytes_ = 1 << 20;
  Small.InboxBytes_ = 1 << 20;
  Small.QueueBytes_ = 4 << 20;
  TestVm One(A, Secret, 0, Small), Two(B, Secret, 0, Small), Three(C);
  One.Transport_.setPeers({{B, Two.address()}, {C, Three.address()}});
  Two.HandlerBlocked_ = true;
  for (int Count = 0; Count < 200; ++Count)
    One.send(B, std::string(1 << 20, 'x'));

  SECTION("fills a bounded queue and does not delay other receivers") {
    CHECK(One.Transport_.counters().DroppedQueueFull_ > 0);
    One.send(C, "hello");
    CHECK(eventually([&] { return Three.received() == 1; }));
  }
  SECTION("receives the newest message when it resumes") {
    One.send(B, "newest");
    Two.HandlerBlocked_ = false;
    // Messages are concurrent streams: a short one overtakes long ones.
    CHECK(eventually([&] {
      for (std::size_t At = Two.received(); At-- > 0;)
        if (Two.received(At).Body_ == "newest")
          return true;
      return false;
    }));
  }
  Two.HandlerBlocked_ = false;
}

TEST_CASE("A process without the secret") {
  TestVm One(A);

  SECTION("is rejected when it dials, and its message is not received") {
    TestVm Stranger(B, "another secret of some cluster");
    Stranger.Transport_.setPeers({{A, One.address()}});
    Stranger.send(A, "hello");
    CHECK(eventually([&] { return One.sawError("wrong proof"); }));
    CHECK(One.Transport_.counters().AuthFailures_ >= 1);
    CHECK(One.received() == 0);
  }
  SECTION("receives no message when it listens") {
    TestVm Stranger(B, "another secret of some cluster");
    One.Transport_.setPeers({{B, Stranger.address()}});
    One.send(B, "hello");
    CHECK(eventually([&] { return Stranger.sawError("wrong proof"); }));
    CHECK(Stranger.received() == 0);
    CHECK(One.Transport_.counters().MessagesSent_ == 0);
  }
  SECTION("is disconnected when it listens and sends a forged proof") {
    Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    One.Transport_.setPeers({{B, {"127.0.0.1", Listener.address().port()}}});
    One.send(B, "hello");
    auto Socket = Listener.acceptConnection();
    write(Socket, std::string(internal::NonceBytes, 'n'));
    readExactly(Socket, internal::NonceBytes + 32);
    write(Socket, std::string(32, 'p'));
    CHECK(readAll(Socket).empty());
    CHECK(eventually([&] { return One.sawError("wrong proof"); }));
  }
  SECTION("receives only the nonce, whatever bytes it sends") {
    Random Dice(7);
    for (std::size_t Size : {64, 65, 1000, 5000}) {
      auto Socket = connectTo(One);
      write(Socket, randomText(Dice, Size));
      CHECK(readAll(Socket).size() <= internal::NonceBytes);
    }
    CHECK(eventually(
        [&] { return One.Transport_.counters().AuthFailures_ >= 4; }));
  }
  SECTION("is disconnected when it sends no handshake in time") {
    PeerLimits Hasty;
    Hasty.HandshakeTimeout_ = Duration::millis(100);
    TestVm Impatient(C, Secret, 0, Hasty);
    auto Socket = connectTo(Impatient);
    CHECK(readAll(Socket).size() == internal::NonceBytes);
    CHECK(
        eventually([&] { return Impatient.sawError("no handshake in time"); }));
  }
}

TEST_CASE("A process with the secret that violates the protocol loses only its "
          "connection") {
  TestVm One(A);
  auto Socket = connectTo(One);
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
    Random Dice(11);
    write(Socket, randomText(Dice, 4000));
    readAll(Socket);
    CHECK(eventually([&] { return One.sawError("peer.read b"); }));
    CHECK(One.Transport_.counters().ProtocolErrors_ == 1);
  }
  SECTION("by a message with the id of another sender") {
    internal::Http2Sender Sender(A, Dialer.sessionKey());
    Sender.submit({C, A, Channel::Membership, "I am c"});
    std::string Bytes = Hello;
    Sender.takeOutput(Bytes, 1 << 20);
    write(Socket, Bytes);
    readAll(Socket);
    CHECK(eventually([&] { return One.sawError("message from c to a"); }));
  }
  SECTION("by a message that was modified in transit") {
    internal::Http2Sender Sender(A, Dialer.sessionKey());
    Sender.submit({B, A, Channel::Membership, "correct"});
    std::string Bytes = Hello;
    Sender.takeOutput(Bytes, 1 << 20);
    Bytes.replace(Bytes.find("correct"), 7, "corrupt");
    write(Socket, Bytes);
    readAll(Socket);
    CHECK(eventually([&] { return One.sawError("authentication failed"); }));
  }
  SECTION("by replaying the handshake of another connection") {
    auto Second = connectTo(One);
    readExactly(Second, internal::NonceBytes);
    write(Second, Proof + Hello);
    CHECK(readAll(Second).empty());
    CHECK(eventually([&] { return One.sawError("wrong proof"); }));
  }
  SECTION("by a modified VM id in the hello") {
    Hello[1] = 'c';
    write(Socket, Hello);
    readAll(Socket);
    CHECK(eventually([&] { return One.sawError("wrong proof of the VM id"); }));
  }
  CHECK(One.received() == 0);
  TestVm Two(B);
  Two.Transport_.setPeers({{A, One.address()}});
  Two.send(A, "still alive");
  CHECK(eventually([&] { return One.received() == 1; }));
}

TEST_CASE("A message over the receiver's limit is dropped, and others arrive") {
  PeerLimits Small;
  Small.MessageBytes_ = 1000;
  TestVm One(A), Two(B, Secret, 0, Small);
  One.Transport_.setPeers({{B, Two.address()}});
  One.send(B, std::string(100'000, 'x'));
  One.send(B, "small");
  CHECK(eventually([&] { return Two.received() == 1; }));
  CHECK(Two.received(0).Body_ == "small");
  CHECK(eventually(
      [&] { return One.Transport_.counters().FailedInFlight_ == 1; }));
  CHECK(Two.Transport_.counters().DroppedTooLarge_ == 1);
}

TEST_CASE("A connection to the wrong VM is refused") {
  TestVm One(A), Two(B);
  One.Transport_.setPeers({{C, Two.address()}});
  One.send(C, "for c only");
  CHECK(eventually([&] { return Two.sawError("meant for another VM"); }));
  CHECK(Two.received() == 0);
}
