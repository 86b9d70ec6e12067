#include "lagoonpoint/src/Http/util/BufferedSocket.h"

#include "lagoonpoint/src/Core/util/TrySend.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace lagoonpoint::internal {

namespace {

/// A peer that sends without end always has bytes to read, so that a wait alone
/// never times out.
constexpr std::size_t MaxLateBytes = 64 << 10;

} // namespace

int Deadline::remainingMillis() const {
  std::int64_t Remaining = (At_ - Clock_->now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(Remaining, 0, 1 << 30));
}

Deadline Deadline::min(Time Other) const {
  return Deadline(*Clock_, std::min(At_, Other));
}

BufferedSocket::BufferedSocket(Poco::Net::StreamSocket Socket,
                               std::size_t Capacity)
    : Socket_(std::move(Socket)), Capacity_(Capacity) {
  Socket_.setBlocking(false);
}

int BufferedSocket::fd() const { return Socket_.impl()->sockfd(); }

std::string_view BufferedSocket::buffered() const {
  return {Buffer_.get() + Begin_, End_ - Begin_};
}

void BufferedSocket::consume(std::size_t Bytes) {
  Begin_ += Bytes;
  if (Begin_ == End_)
    Begin_ = End_ = 0;
}

bool BufferedSocket::full() const { return End_ - Begin_ == Capacity_; }

IoStatus BufferedSocket::fillNow() {
  if (!Buffer_)
    Buffer_.reset(new char[Capacity_]);
  if (End_ == Capacity_) {
    std::memmove(Buffer_.get(), Buffer_.get() + Begin_, End_ - Begin_);
    End_ -= Begin_;
    Begin_ = 0;
  }
  try {
    int Count = Socket_.receiveBytes(Buffer_.get() + End_,
                                     static_cast<int>(Capacity_ - End_));
    if (Count < 0)
      return IoStatus::TimedOut;
    if (Count == 0)
      return IoStatus::Closed;
    End_ += static_cast<std::size_t>(Count);
    return IoStatus::Ready;
  } catch (const Poco::TimeoutException &) {
    return IoStatus::TimedOut;
  } catch (const Poco::Exception &) {
    Failed_ = true;
    return IoStatus::Closed;
  }
}

IoStatus BufferedSocket::waitReadable(const Deadline &Limit) const {
  return wait(POLLIN, Limit, {});
}

IoStatus BufferedSocket::fill(const Deadline &Limit, Watch Watched) {
  for (;;) {
    bool Late = Limit.remainingMillis() == 0;
    if (Late && LateBytes_ >= MaxLateBytes)
      return IoStatus::TimedOut;
    IoStatus Waited = wait(POLLIN, Limit, Watched);
    if (Waited != IoStatus::Ready)
      return Waited;
    std::size_t Before = buffered().size();
    IoStatus Read = fillNow();
    LateBytes_ = Late ? LateBytes_ + buffered().size() - Before : 0;
    if (Read != IoStatus::TimedOut)
      return Read;
  }
}

IoStatus BufferedSocket::write(std::string_view Bytes, const Deadline &Limit,
                               std::int64_t &Written, Watch Watched) {
  while (!Bytes.empty()) {
    int Count = sendSome(Bytes);
    if (Count < 0)
      return IoStatus::Closed;
    Written += Count;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
    if (Bytes.empty())
      break;
    IoStatus Waited = wait(POLLOUT, Limit, Watched);
    if (Waited != IoStatus::Ready)
      return Waited;
  }
  return IoStatus::Ready;
}

// Returns the number of bytes sent, 0 if the socket would block, -1 if the
// connection is lost.
int BufferedSocket::sendSome(std::string_view Bytes) {
  constexpr std::size_t MaxSend = 1 << 20;
  return trySend(fd(), Bytes.substr(0, MaxSend));
}

IoStatus BufferedSocket::wait(short Events, const Deadline &Limit,
                              Watch Watched) const {
  pollfd Polled[2] = {{fd(), Events, 0}, {-1, POLLRDHUP, 0}};
  if (Watched.Socket_)
    Polled[1].fd = Watched.Socket_->fd();
  if (Watched.OnData_)
    Polled[1].events |= POLLIN;
  for (;;) {
    int Remaining = Limit.remainingMillis();
    int Count = ::poll(Polled, 2, Remaining);
    if (Count > 0 && Polled[1].revents != 0)
      return IoStatus::Interrupted;
    if (Count > 0)
      return IoStatus::Ready;
    if (Count == 0 && Remaining == 0)
      return IoStatus::TimedOut;
  }
}

IoStatus BufferedSocket::waitConnected(const Deadline &Limit, Watch Watched) {
  IoStatus Waited = wait(POLLOUT, Limit, Watched);
  if (Waited != IoStatus::Ready)
    return Waited;
  return Socket_.impl()->socketError() == 0 ? IoStatus::Ready
                                            : IoStatus::Closed;
}

bool BufferedSocket::readable() const {
  pollfd Polled{fd(), POLLIN | POLLRDHUP, 0};
  return ::poll(&Polled, 1, 0) > 0;
}

bool BufferedSocket::peerClosed() const {
  pollfd Polled{fd(), POLLRDHUP, 0};
  return ::poll(&Polled, 1, 0) > 0;
}

void BufferedSocket::shutdownSend() {
  try {
    Socket_.shutdownSend();
  } catch (const Poco::Exception &) {
    // The peer has already closed.
  }
}

void BufferedSocket::shutdown() { ::shutdown(fd(), SHUT_RDWR); }

void BufferedSocket::reset() {
  try {
    Socket_.setLinger(true, 0);
    Socket_.close();
  } catch (const Poco::Exception &) {
    // The peer has already closed.
  }
}

void BufferedSocket::limitSendBuffer() {
  try {
    Socket_.setSendBufferSize(SystemBufferBytes);
  } catch (const Poco::Exception &) {
    // The peer has already closed.
  }
}

void BufferedSocket::releaseBuffer() {
  if (Begin_ == End_)
    Buffer_.reset();
}

} // namespace lagoonpoint::internal
