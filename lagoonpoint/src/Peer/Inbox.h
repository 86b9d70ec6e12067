#pragma once

#include "lagoonpoint/Core"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace lagoonpoint::internal {

/// \class Inbox
/// \ingroup Peer
/// \brief Hands received messages to the handler on a thread of its own, so
/// that a slow handler doesn't hold up connections.
class Inbox {
public:
  Inbox(EnvelopeHandler Handler, std::size_t MaxBytes)
      : Handler_(std::move(Handler)), MaxBytes_(MaxBytes) {}
  ~Inbox() { stop(); }

  void start();
  /// Ends the thread; messages not yet handled are dropped.
  void stop();

  void push(Envelope Message);
  /// \returns whether reading from connections should pause.
  bool full() const;
  /// \returns how many calls of the handler ended with an exception.
  std::uint64_t failures() const;

private:
  void run();
  void handle(Envelope Message);

  EnvelopeHandler Handler_;
  const std::size_t MaxBytes_;
  mutable std::mutex Lock_;
  std::condition_variable Changed_;
  std::deque<Envelope> Messages_;
  std::size_t Bytes_ = 0;
  std::uint64_t Failures_ = 0;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace lagoonpoint::internal
