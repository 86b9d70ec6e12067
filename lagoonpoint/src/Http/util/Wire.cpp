#include "lagoonpoint/src/Http/util/Wire.h"

#include "lagoonpoint/src/Core/util/TrySend.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace lagoonpoint::internal {

int Until::millisLeft() const {
  std::int64_t Left = (At_ - Clock_->now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(Left, 0, 1 << 30));
}

Until Until::min(Time Other) const {
  return Until(*Clock_, std::min(At_, Other));
}

Wire::Wire(Poco::Net::StreamSocket Socket, std::size_t Capacity)
    : Socket_(std::move(Socket)), Capacity_(Capacity) {
  Socket_.setBlocking(false);
}

int Wire::fd() const { return Socket_.impl()->sockfd(); }

std::string_view Wire::buffered() const {
  return {Buffer_.get() + Begin_, End_ - Begin_};
}

void Wire::consume(std::size_t Bytes) {
  Begin_ += Bytes;
  if (Begin_ == End_)
    Begin_ = End_ = 0;
}

bool Wire::full() const { return End_ - Begin_ == Capacity_; }

WireEnd Wire::fillNow() {
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
      return WireEnd::TimedOut;
    if (Count == 0)
      return WireEnd::Closed;
    End_ += static_cast<std::size_t>(Count);
    return WireEnd::Ready;
  } catch (const Poco::TimeoutException &) {
    return WireEnd::TimedOut;
  } catch (const Poco::Exception &) {
    Failed_ = true;
    return WireEnd::Closed;
  }
}

WireEnd Wire::waitReadable(const Until &Limit) const {
  return wait(POLLIN, Limit, {});
}

WireEnd Wire::fill(const Until &Limit, Watch Other) {
  for (;;) {
    WireEnd Waited = wait(POLLIN, Limit, Other);
    if (Waited != WireEnd::Ready)
      return Waited;
    WireEnd Read = fillNow();
    if (Read != WireEnd::TimedOut)
      return Read;
  }
}

WireEnd Wire::write(std::string_view Bytes, const Until &Limit,
                    std::int64_t &Written, Watch Other) {
  while (!Bytes.empty()) {
    int Count = sendSome(Bytes);
    if (Count < 0)
      return WireEnd::Closed;
    Written += Count;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
    if (Bytes.empty())
      break;
    WireEnd Waited = wait(POLLOUT, Limit, Other);
    if (Waited != WireEnd::Ready)
      return Waited;
  }
  return WireEnd::Ready;
}

// Returns the bytes taken, 0 if none fit now, -1 if the connection is lost.
int Wire::sendSome(std::string_view Bytes) {
  constexpr std::size_t MaxSend = 1 << 20;
  return trySend(fd(), Bytes.substr(0, MaxSend));
}

WireEnd Wire::wait(short Events, const Until &Limit, Watch Other) const {
  pollfd Polled[2] = {{fd(), Events, 0}, {-1, POLLRDHUP, 0}};
  if (Other.Wire_)
    Polled[1].fd = Other.Wire_->fd();
  if (Other.ForBytes_)
    Polled[1].events |= POLLIN;
  for (;;) {
    int Left = Limit.millisLeft();
    int Count = ::poll(Polled, 2, Left);
    if (Count > 0 && Polled[1].revents != 0)
      return WireEnd::Watched;
    if (Count > 0)
      return WireEnd::Ready;
    if (Count == 0 && Left == 0)
      return WireEnd::TimedOut;
  }
}

WireEnd Wire::waitConnected(const Until &Limit, Watch Other) {
  WireEnd Waited = wait(POLLOUT, Limit, Other);
  if (Waited != WireEnd::Ready)
    return Waited;
  return Socket_.impl()->socketError() == 0 ? WireEnd::Ready : WireEnd::Closed;
}

bool Wire::readable() const {
  pollfd Polled{fd(), POLLIN | POLLRDHUP, 0};
  return ::poll(&Polled, 1, 0) > 0;
}

bool Wire::peerLeft() const {
  pollfd Polled{fd(), POLLRDHUP, 0};
  return ::poll(&Polled, 1, 0) > 0;
}

void Wire::shutdownSend() {
  try {
    Socket_.shutdownSend();
  } catch (const Poco::Exception &) {
    // The peer has closed already.
  }
}

void Wire::shutdown() { ::shutdown(fd(), SHUT_RDWR); }

void Wire::reset() {
  try {
    Socket_.setLinger(true, 0);
    Socket_.close();
  } catch (const Poco::Exception &) {
    // The peer has closed already.
  }
}

void Wire::release() {
  if (Begin_ == End_)
    Buffer_.reset();
}

} // namespace lagoonpoint::internal
