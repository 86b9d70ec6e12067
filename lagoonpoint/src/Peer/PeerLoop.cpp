#include "lagoonpoint/src/Peer/PeerLoop.h"

#include "lagoonpoint/src/Peer/util/Hmac.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <utility>

namespace lagoonpoint::internal {

namespace {

constexpr Duration PollTimeout = Duration::millis(50);

Poco::Net::SocketAddress socketAddress(const Address &At) {
  return Poco::Net::SocketAddress(At.Host_, At.Port_);
}

} // namespace

PeerLoop::PeerLoop(const PeerOptions &Options, PeerQueues &Queues,
                   Inbox &Received, CounterBoard &Counters, const Clock &Now,
                   PeerErrorHandler OnError)
    : Options_(Options), Queues_(Queues), Inbox_(Received), Counters_(Counters),
      Clock_(Now), OnError_(std::move(OnError)) {}

void PeerLoop::start() {
  try {
    Listener_.bind(socketAddress(Options_.Listen_), true);
    Listener_.listen();
    Listener_.setBlocking(false);
    Port_ = Listener_.address().port();
    Waker_.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    Waker_.connect(Waker_.address());
    Waker_.setBlocking(false);
  } catch (const Poco::Exception &E) {
    throw Error("peer.listen", socketAddress(Options_.Listen_).toString(),
                E.displayText());
  }
  Polled_.add(Listener_, Poco::Net::PollSet::POLL_READ);
  Polled_.add(Waker_, Poco::Net::PollSet::POLL_READ);
  Stopping_ = false;
  Thread_ = std::thread([this] { run(); });
}

void PeerLoop::stop() {
  if (!Thread_.joinable())
    return;
  Stopping_ = true;
  wake();
  Thread_.join();
  Polled_.clear();
  Outbounds_.clear();
  Dialed_.clear();
  Inbounds_.clear();
  Listener_.close();
}

void PeerLoop::wake() {
  if (WakePending_.exchange(true))
    return;
  try {
    Waker_.sendBytes("w", 1);
  } catch (const Poco::Exception &) {
    // The loop looks at the queues again after its poll timeout.
  }
}

void PeerLoop::drainWaker() {
  char Byte = 0;
  while (Waker_.receiveBytes(&Byte, 1) > 0) {
  }
}

void PeerLoop::run() {
  while (!Stopping_) {
    try {
      turn();
    } catch (const Poco::Exception &E) {
      report(Error("peer.loop", "", E.displayText()), true);
    } catch (const Error &E) {
      report(E, true);
    }
  }
}

void PeerLoop::turn() {
  auto Ready = Polled_.poll(Poco::Timespan(PollTimeout.count() * 1000));
  WakePending_ = false;
  for (const auto &[Socket, Mode] : Ready)
    onEvent(Socket, Mode);
  for (const VmId &Peer : Queues_.takeTouched())
    pump(Peer);
  if (Clock_.now() >= NextHousekeeping_)
    housekeep();
}

void PeerLoop::onEvent(const Poco::Net::Socket &Socket, int Mode) {
  if (Socket == Listener_)
    return accept();
  if (Socket == Waker_)
    return drainWaker();
  auto It = Dialed_.find(Socket);
  if (It != Dialed_.end())
    return serveOutbound(VmId(It->second), Mode);
  serveInbound(Socket, Mode);
}

void PeerLoop::accept() {
  Poco::Net::StreamSocket Socket = Listener_.acceptConnection();
  Socket.setNoDelay(true);
  if (Inbounds_.size() >= Options_.Limits_.Strangers_)
    dropOldestStranger();
  Handshake Start(Handshake::Role::Listener, Options_.Self_, VmId(),
                  Options_.Secret_, randomBytes(NonceBytes));
  auto Link = std::make_unique<PeerConnection>(
      Socket, std::move(Start), Options_.Self_, Options_.Limits_, Clock_.now());
  Polled_.add(Socket, Poco::Net::PollSet::POLL_READ);
  Inbounds_[Socket] = std::move(Link);
  serveInbound(Socket, Poco::Net::PollSet::POLL_WRITE);
}

void PeerLoop::serveInbound(const Poco::Net::Socket &Socket, int Mode) {
  auto It = Inbounds_.find(Socket);
  if (It == Inbounds_.end())
    return;
  PeerConnection &Link = *It->second;
  try {
    bool Known = Link.authenticated();
    if (Mode & ~Poco::Net::PollSet::POLL_WRITE)
      countRead(Link);
    if (!Known && Link.authenticated())
      greet(Link);
    if (Link.receiver())
      deliver(Link);
    countWrite(Link);
    watch(Link, true);
  } catch (const Error &E) {
    closeInbound(Socket, &E);
  } catch (const Poco::Exception &E) {
    Error Why("peer.read", Link.peer().str(), E.displayText());
    closeInbound(Socket, &Why);
  }
}

void PeerLoop::greet(PeerConnection &Link) {
  Counters_.add(&PeerCounters::Connects_);
  dropOlderLinks(Link);
}

void PeerLoop::deliver(PeerConnection &Link) {
  for (Envelope &Message : Link.receiver()->takeMessages()) {
    Counters_.add(&PeerCounters::MessagesReceived_);
    Inbox_.push(std::move(Message));
  }
}

void PeerLoop::serveOutbound(const VmId &Peer, int Mode) {
  Outbound &Out = Outbounds_[Peer];
  if (!Out.Link_)
    return;
  PeerConnection &Link = *Out.Link_;
  try {
    if (!Out.Connected_) {
      if (int Code = Link.socket().impl()->socketError())
        throw Error("peer.connect", Peer.str(),
                    "cannot connect, error " + std::to_string(Code));
      Out.Connected_ = true;
      Link.socket().setNoDelay(true);
    }
    bool Known = Link.authenticated();
    if (Mode & ~Poco::Net::PollSet::POLL_WRITE)
      countRead(Link);
    if (!Known && Link.authenticated()) {
      Counters_.add(&PeerCounters::Connects_);
      Out.Backoff_ = Options_.Limits_.MinBackoff_;
    }
    submitWaiting(Peer, Link);
    countWrite(Link);
    watch(Link, true);
  } catch (const Error &E) {
    closeOutbound(Peer, &E);
  } catch (const Poco::Exception &E) {
    Error Why("peer.write", Peer.str(), E.displayText());
    closeOutbound(Peer, &Why);
  }
}

void PeerLoop::pump(const VmId &Peer) {
  std::optional<Address> At = Queues_.address(Peer);
  if (!At)
    return;
  Outbound &Out = Outbounds_[Peer];
  if (Out.Link_ && Out.Connected_)
    return serveOutbound(Peer, Poco::Net::PollSet::POLL_WRITE);
  if (!Out.Link_ && Clock_.now() >= Out.NextTry_ && !Queues_.empty(Peer))
    dial(Peer, Out, *At);
}

void PeerLoop::dial(const VmId &Peer, Outbound &Out, const Address &At) {
  const PeerLimits &Limits = Options_.Limits_;
  Time Now = Clock_.now();
  Out.Address_ = At;
  Out.Connected_ = false;
  Duration Grown = std::min(Out.Backoff_ * 2, Limits.MaxBackoff_);
  Out.Backoff_ = std::max(Grown, Limits.MinBackoff_);
  Out.NextTry_ = Now + Out.Backoff_;
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connectNB(socketAddress(At));
    Handshake Start(Handshake::Role::Dialer, Options_.Self_, Peer,
                    Options_.Secret_, randomBytes(NonceBytes));
    Out.Link_ = std::make_unique<PeerConnection>(Socket, std::move(Start),
                                                 Options_.Self_, Limits, Now);
    Dialed_[Socket] = Peer;
    Polled_.add(Socket, Poco::Net::PollSet::POLL_WRITE);
  } catch (const Poco::Exception &E) {
    report(Error("peer.connect", Peer.str(), E.displayText()), true);
  }
}

void PeerLoop::submitWaiting(const VmId &Peer, PeerConnection &Link) {
  Http2Sender *Sender = Link.sender();
  if (!Sender)
    return;
  while (Sender->open() < Options_.Limits_.OpenStreams_) {
    std::optional<Envelope> Message = Queues_.pop(Peer);
    if (!Message)
      return;
    if (Sender->open() == 0)
      Link.expectBytes(Clock_.now());
    Sender->submit(std::move(*Message));
  }
}

void PeerLoop::countWrite(PeerConnection &Link) {
  Counters_.add(&PeerCounters::BytesSent_, Link.write(Clock_.now()));
}

void PeerLoop::countRead(PeerConnection &Link) {
  std::size_t Count = Link.read(Clock_.now());
  Counters_.add(&PeerCounters::BytesReceived_, Count);
  if (Http2Sender *Sender = Link.sender()) {
    Counters_.add(&PeerCounters::MessagesSent_, Sender->takeAcknowledged());
    Counters_.add(&PeerCounters::FailedInFlight_, Sender->takeFailed());
  }
  if (Http2Receiver *Receiver = Link.receiver())
    Counters_.add(&PeerCounters::DroppedTooLarge_, Receiver->takeTooLarge());
}

void PeerLoop::watch(PeerConnection &Link, bool Connected) {
  int Mode = 0;
  bool Inward = Link.receiver() != nullptr;
  if (Connected && !(Inward && Paused_))
    Mode |= Poco::Net::PollSet::POLL_READ;
  if (!Connected || Link.wantsWrite())
    Mode |= Poco::Net::PollSet::POLL_WRITE;
  Polled_.update(Link.socket(), Mode);
}

} // namespace lagoonpoint::internal
