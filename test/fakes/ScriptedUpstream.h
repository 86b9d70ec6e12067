#pragma once

#include "fakes/RawSocket.h"
#include "lagoonpoint/Config"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lagoonpoint::fakes {

/// An upstream that runs the test's script on each connection.
class ScriptedUpstream {
public:
  using Script = std::function<void(RawSocket &)>;

  explicit ScriptedUpstream(Script OnConnection)
      : Script_(std::move(OnConnection)),
        Server_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        Port_(Server_.address().port()), Acceptor_([this] { acceptLoop(); }) {}

  ~ScriptedUpstream() {
    Stopped_ = true;
    Acceptor_.join();
    for (std::thread &T : Threads_)
      T.join();
  }

  Address address() const { return {"127.0.0.1", Port_}; }
  int connections() const { return Connections_; }
  int requests() const { return Requests_; }

  /// Reads and records a request; empty once the peer has closed.
  std::string receive(RawSocket &S) {
    std::string Message = S.readMessage();
    if (Message.empty())
      return Message;
    ++Requests_;
    std::lock_guard Lock(ReceivedLock_);
    Received_ += Message;
    return Message;
  }
  /// \returns all bytes of the requests received so far.
  std::string receivedBytes() {
    std::lock_guard Lock(ReceivedLock_);
    return Received_;
  }

private:
  void acceptLoop() {
    while (!Stopped_) {
      if (!Server_.poll(Poco::Timespan(0, 10'000),
                        Poco::Net::Socket::SELECT_READ))
        continue;
      ++Connections_;
      // Owned only by the thread, as the last reference closes the socket.
      auto S = std::make_unique<RawSocket>(Server_.acceptConnection());
      Threads_.emplace_back([this, S = std::move(S)] { Script_(*S); });
    }
  }

  Script Script_;
  Poco::Net::ServerSocket Server_;
  unsigned short Port_;
  std::atomic<bool> Stopped_{false};
  std::atomic<int> Connections_{0};
  std::atomic<int> Requests_{0};
  std::mutex ReceivedLock_;
  std::string Received_;
  std::vector<std::thread> Threads_;
  std::thread Acceptor_;
};

} // namespace lagoonpoint::fakes
