#pragma once

#include "lagoonpoint/Core"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace lagoonpoint::internal {

/// \class Inbox
/// \ingroup Peer
/// \brief Queue of received messages. A separate thread passes them to the
/// handler, so that a slow handler does not block the connections.
class Inbox {
public:
  Inbox(EnvelopeHandler Handler, std::size_t MaxBytes)
      : Handler_(std::move(Handler)), MaxBytes_(MaxBytes) {}
  ~Inbox() { stop(); }

  void start();
  /// Stops the thread; queued messages are dropped.
  void stop();

  void push(Envelope Message);
  /// \returns whether the byte limit is reached. Reading from connections
  /// should then pause.
  bool full() const;
  /// \returns the number of handler calls that threw an exception.
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
