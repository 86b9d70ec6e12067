#include "lagoonpoint/src/Peer/Inbox.h"

#include <exception>
#include <utility>

namespace lagoonpoint::internal {

void Inbox::start() {
  Stopping_ = false;
  Thread_ = std::thread([this] { run(); });
}

void Inbox::stop() {
  {
    std::lock_guard Guard(Lock_);
    Stopping_ = true;
    Messages_.clear();
    Bytes_ = 0;
  }
  Changed_.notify_all();
  if (Thread_.joinable())
    Thread_.join();
}

void Inbox::push(Envelope Message) {
  std::lock_guard Guard(Lock_);
  if (Stopping_)
    return;
  Bytes_ += Message.Body_.size();
  Messages_.push_back(std::move(Message));
  Changed_.notify_one();
}

bool Inbox::full() const {
  std::lock_guard Guard(Lock_);
  return Bytes_ >= MaxBytes_;
}

std::uint64_t Inbox::failures() const {
  std::lock_guard Guard(Lock_);
  return Failures_;
}

void Inbox::run() {
  std::unique_lock Guard(Lock_);
  while (true) {
    Changed_.wait(Guard, [&] { return Stopping_ || !Messages_.empty(); });
    if (Stopping_)
      return;
    Envelope Message = std::move(Messages_.front());
    Messages_.pop_front();
    Bytes_ -= Message.Body_.size();
    Guard.unlock();
    handle(std::move(Message));
    Guard.lock();
  }
}

void Inbox::handle(Envelope Message) {
  try {
    Handler_(std::move(Message));
  } catch (const std::exception &) {
    // A message that its module rejects must not terminate the process.
    std::lock_guard Guard(Lock_);
    ++Failures_;
  }
}

} // namespace lagoonpoint::internal
