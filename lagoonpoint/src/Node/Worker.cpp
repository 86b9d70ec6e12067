#include "lagoonpoint/src/Node/Worker.h"

#include "lagoonpoint/Log"

#include <chrono>

namespace lagoonpoint {

Worker::Worker(std::string Name, Duration TickInterval, Task Tick)
    : Name_(std::move(Name)), TickInterval_(TickInterval),
      Tick_(std::move(Tick)) {}

Worker::~Worker() { stop(); }

void Worker::start() {
  std::lock_guard Guard(Lock_);
  if (Running_)
    return;
  Running_ = true;
  Thread_ = std::thread([this] { run(); });
}

void Worker::stop() {
  {
    std::lock_guard Guard(Lock_);
    Running_ = false;
  }
  Changed_.notify_all();
  if (Thread_.joinable())
    Thread_.join();
}

bool Worker::post(Task T) {
  {
    std::lock_guard Guard(Lock_);
    if (!Running_ || Queue_.size() >= MaxQueued)
      return false;
    Queue_.push_back(std::move(T));
  }
  Changed_.notify_one();
  return true;
}

void Worker::runTask(const Task &T) {
  try {
    T();
  } catch (const Error &E) {
    logError(E);
  } catch (const std::exception &E) {
    log({.Level_ = LogLevel::Error, .Step_ = Name_, .Message_ = E.what()});
  }
}

void Worker::run() {
  using SteadyClock = std::chrono::steady_clock;
  const auto Interval = std::chrono::milliseconds(TickInterval_.count());
  auto NextTick = SteadyClock::now();
  std::unique_lock Guard(Lock_);
  while (Running_ || !Queue_.empty()) {
    if (SteadyClock::now() >= NextTick) {
      Guard.unlock();
      runTask(Tick_);
      NextTick = SteadyClock::now() + Interval;
      Guard.lock();
    }
    if (Queue_.empty()) {
      Changed_.wait_until(Guard, NextTick,
                          [this] { return !Running_ || !Queue_.empty(); });
      continue;
    }
    Task Next = std::move(Queue_.front());
    Queue_.pop_front();
    Guard.unlock();
    runTask(Next);
    Guard.lock();
  }
}

} // namespace lagoonpoint
