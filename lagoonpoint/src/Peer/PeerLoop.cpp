#include "lagoonpoint/src/Peer/PeerLoop.h"

#include "lagoonpoint/src/Peer/util/Hmac.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <utility>

namespace lagoonpoint::internal {

namespace {

constexpr Duration PollTimeout = Duration::millis(50);

Poco::Net::SocketAddress socketAddress(const Address &Endpoint) {
  return Poco::Net::SocketAddress(Endpoint.Host_, Endpoint.Port_);
}

} // namespace

PeerLoop::PeerLoop(const PeerOptions &Options, PeerQueues &Queues,
                   Inbox &ReceiveQueue, SharedPeerCounters &Counters,
                   const Clock &TimeSource, PeerErrorHandler OnError)
    : Options_(Options), Queues_(Queues), Inbox_(ReceiveQueue),
      Counters_(Counters), Clock_(TimeSource), OnError_(std::move(OnError)) {}

void PeerLoop::start() {
  try {
    Listener_.bind(socketAddress(Options_.Listen_), true);
    Listener_.listen();
    Listener_.setBlocking(false);
    Port_ = Listener_.address().port();
    WakeSocket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    WakeSocket_.connect(WakeSocket_.address());
    WakeSocket_.setBlocking(false);
  } catch (const Poco::Exception &E) {
    throw Error("peer.listen", socketAddress(Options_.Listen_).toString(),
                E.displayText());
  }
  PollSet_.add(Listener_, Poco::Net::PollSet::POLL_READ);
  PollSet_.add(WakeSocket_, Poco::Net::PollSet::POLL_READ);
  Stopping_ = false;
  Thread_ = std::thread([this] { run(); });
}

void PeerLoop::stop() {
  if (!Thread_.joinable())
    return;
  Stopping_ = true;
  wake();
  Thread_.join();
  PollSet_.clear();
  Outbound_.clear();
  DialedPeers_.clear();
  Inbound_.clear();
  Listener_.close();
}

void PeerLoop::wake() {
  if (WakePending_.exchange(true))
    return;
  try {
    WakeSocket_.sendBytes("w", 1);
  } catch (const Poco::Exception &) {
    // Ignored: the loop checks the queues again after PollTimeout at the
    // latest.
  }
}

void PeerLoop::drainWakeSocket() {
  char Byte = 0;
  while (WakeSocket_.receiveBytes(&Byte, 1) > 0) {
  }
}

void PeerLoop::run() {
  while (!Stopping_) {
    try {
      runOnce();
    } catch (const Poco::Exception &E) {
      report(Error("peer.loop", "", E.displayText()), true);
    } catch (const Error &E) {
      report(E, true);
    }
  }
}

void PeerLoop::runOnce() {
  auto Ready = PollSet_.poll(Poco::Timespan(PollTimeout.count() * 1000));
  WakePending_ = false;
  for (const auto &[Socket, Mode] : Ready)
    onEvent(Socket, Mode);
  for (const VmId &Peer : Queues_.takeNewlyQueuedPeers())
    sendQueued(Peer);
  if (Clock_.now() >= NextMaintenance_)
    runMaintenance();
}

void PeerLoop::onEvent(const Poco::Net::Socket &Socket, int Mode) {
  if (Socket == Listener_)
    return accept();
  if (Socket == WakeSocket_)
    return drainWakeSocket();
  auto It = DialedPeers_.find(Socket);
  if (It != DialedPeers_.end())
    return serveOutbound(VmId(It->second), Mode);
  serveInbound(Socket, Mode);
}

void PeerLoop::accept() {
  Poco::Net::StreamSocket Socket = Listener_.acceptConnection();
  Socket.setNoDelay(true);
  if (Inbound_.size() >= Options_.Limits_.UnauthenticatedConnections_)
    closeOldestUnauthenticated();
  Handshake NewHandshake(Handshake::Role::Listener, Options_.Self_, VmId(),
                         Options_.Secret_, randomBytes(NonceBytes));
  auto Connection = std::make_unique<PeerConnection>(
      Socket, std::move(NewHandshake), Options_.Self_, Options_.Limits_,
      Clock_.now());
  PollSet_.add(Socket, Poco::Net::PollSet::POLL_READ);
  Connection->changePollMode(Poco::Net::PollSet::POLL_READ);
  Inbound_[Socket] = std::move(Connection);
  serveInbound(Socket, Poco::Net::PollSet::POLL_WRITE);
}

void PeerLoop::serveInbound(const Poco::Net::Socket &Socket, int Mode) {
  auto It = Inbound_.find(Socket);
  if (It == Inbound_.end())
    return;
  PeerConnection &Connection = *It->second;
  try {
    bool WasAuthenticated = Connection.authenticated();
    if (Mode & ~Poco::Net::PollSet::POLL_WRITE)
      readAndCount(Connection);
    if (!WasAuthenticated && Connection.authenticated())
      onInboundAuthenticated(Connection);
    if (Connection.receiver())
      deliver(Connection);
    writeAndCount(Connection);
    updatePollMode(Connection, true);
  } catch (const Error &E) {
    closeInbound(Socket, &E);
  } catch (const Poco::Exception &E) {
    Error Reason("peer.read", Connection.peer().str(), E.displayText());
    closeInbound(Socket, &Reason);
  }
}

void PeerLoop::onInboundAuthenticated(PeerConnection &Connection) {
  Counters_.add(&PeerCounters::Connects_);
  closeOlderConnections(Connection);
  redialUnanswered(Connection.peer());
}

void PeerLoop::deliver(PeerConnection &Connection) {
  for (Envelope &Message : Connection.receiver()->takeMessages()) {
    Counters_.add(&PeerCounters::MessagesReceived_);
    Inbox_.push(std::move(Message));
  }
}

void PeerLoop::serveOutbound(const VmId &Peer, int Mode) {
  OutboundConnection &Out = Outbound_[Peer];
  if (!Out.Connection_)
    return;
  PeerConnection &Connection = *Out.Connection_;
  try {
    if (!Out.Connected_) {
      if (int Code = Connection.socket().impl()->socketError())
        throw Error("peer.connect", Peer.str(),
                    "cannot connect: socket error " + std::to_string(Code));
      Out.Connected_ = true;
      Connection.socket().setNoDelay(true);
    }
    bool WasAuthenticated = Connection.authenticated();
    if (Mode & ~Poco::Net::PollSet::POLL_WRITE)
      readAndCount(Connection);
    if (!WasAuthenticated && Connection.authenticated()) {
      Counters_.add(&PeerCounters::Connects_);
      Out.Backoff_ = Options_.Limits_.MinBackoff_;
    }
    submitQueued(Peer, Connection);
    writeAndCount(Connection);
    updatePollMode(Connection, true);
  } catch (const Error &E) {
    closeOutbound(Peer, &E);
  } catch (const Poco::Exception &E) {
    Error Reason("peer.write", Peer.str(), E.displayText());
    closeOutbound(Peer, &Reason);
  }
}

void PeerLoop::sendQueued(const VmId &Peer) {
  std::optional<Address> PeerAddress = Queues_.address(Peer);
  if (!PeerAddress)
    return;
  OutboundConnection &Out = Outbound_[Peer];
  if (Out.Connection_ && Out.Connected_)
    return serveOutbound(Peer, Poco::Net::PollSet::POLL_WRITE);
  if (!Out.Connection_ && Clock_.now() >= Out.NextDialAt_ &&
      !Queues_.empty(Peer))
    dial(Peer, Out, *PeerAddress);
}

void PeerLoop::dial(const VmId &Peer, OutboundConnection &Out,
                    const Address &PeerAddress) {
  const PeerLimits &Limits = Options_.Limits_;
  Time Now = Clock_.now();
  Out.Address_ = PeerAddress;
  Out.Connected_ = false;
  Duration NextBackoff = std::min(Out.Backoff_ * 2, Limits.MaxBackoff_);
  Out.Backoff_ = std::max(NextBackoff, Limits.MinBackoff_);
  Out.NextDialAt_ = Now + Out.Backoff_;
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connectNB(socketAddress(PeerAddress));
    Handshake NewHandshake(Handshake::Role::Dialer, Options_.Self_, Peer,
                           Options_.Secret_, randomBytes(NonceBytes));
    Out.Connection_ = std::make_unique<PeerConnection>(
        Socket, std::move(NewHandshake), Options_.Self_, Limits, Now);
    DialedPeers_[Socket] = Peer;
    PollSet_.add(Socket, Poco::Net::PollSet::POLL_WRITE);
    Out.Connection_->changePollMode(Poco::Net::PollSet::POLL_WRITE);
  } catch (const Poco::Exception &E) {
    report(Error("peer.connect", Peer.str(), E.displayText()), true);
  }
}

void PeerLoop::submitQueued(const VmId &Peer, PeerConnection &Connection) {
  Http2Sender *Sender = Connection.sender();
  if (!Sender)
    return;
  while (Sender->unacknowledged() < Options_.Limits_.OpenStreams_) {
    std::optional<Envelope> Message = Queues_.pop(Peer);
    if (!Message)
      return;
    if (Sender->unacknowledged() == 0)
      Connection.restartReadTimer(Clock_.now());
    Sender->submit(std::move(*Message));
  }
}

void PeerLoop::writeAndCount(PeerConnection &Connection) {
  Counters_.add(&PeerCounters::BytesSent_, Connection.write(Clock_.now()));
}

void PeerLoop::readAndCount(PeerConnection &Connection) {
  std::size_t Count = Connection.read(Clock_.now());
  Counters_.add(&PeerCounters::BytesReceived_, Count);
  if (Http2Sender *Sender = Connection.sender()) {
    Counters_.add(&PeerCounters::MessagesSent_,
                  Sender->takeAcknowledgedCount());
    Counters_.add(&PeerCounters::FailedInFlight_, Sender->takeFailedCount());
  }
  if (Http2Receiver *Receiver = Connection.receiver())
    Counters_.add(&PeerCounters::DroppedTooLarge_,
                  Receiver->takeOversizedCount());
}

void PeerLoop::updatePollMode(PeerConnection &Connection, bool Connected) {
  int Mode = 0;
  bool IsInbound = Connection.receiver() != nullptr;
  if (Connected && !(IsInbound && ReadsPaused_))
    Mode |= Poco::Net::PollSet::POLL_READ;
  if (!Connected || Connection.wantsWrite())
    Mode |= Poco::Net::PollSet::POLL_WRITE;
  if (Connection.changePollMode(Mode))
    PollSet_.update(Connection.socket(), Mode);
}

} // namespace lagoonpoint::internal
