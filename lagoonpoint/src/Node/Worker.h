#pragma once

#include "lagoonpoint/Core"

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>

namespace lagoonpoint {

/// \class Worker
/// \ingroup Node
/// \brief A thread that runs posted tasks in order and a tick function at a
/// fixed interval. Exceptions of a task or tick are logged.
class Worker {
public:
  using Task = std::function<void()>;

  /// \param Name step under which errors are logged
  Worker(std::string Name, Duration TickInterval, Task Tick);
  ~Worker();
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  void start();
  /// Finishes the posted tasks and joins the thread.
  void stop();

  /// Queues a task.
  /// \returns false if the queue is full or the worker is not running
  bool post(Task T);

  /// Runs a function on the thread and waits for its result.
  /// \throws Error if the worker is not running or its queue is full; whatever
  /// \p F throws
  template <class Function> auto call(Function F) {
    using Result = decltype(F());
    auto Promise = std::make_shared<std::promise<Result>>();
    std::future<Result> Future = Promise->get_future();
    bool Posted = post([Promise, F = std::move(F)]() mutable {
      try {
        if constexpr (std::is_void_v<Result>) {
          F();
          Promise->set_value();
        } else {
          Promise->set_value(F());
        }
      } catch (...) {
        Promise->set_exception(std::current_exception());
      }
    });
    if (!Posted)
      throw Error(Name_, "", "worker is stopped or its queue is full");
    return Future.get();
  }

private:
  void run();
  void runTask(const Task &T);

  static constexpr std::size_t MaxQueued = 65'536;

  std::string Name_;
  Duration TickInterval_;
  Task Tick_;
  std::mutex Lock_;
  std::condition_variable Changed_;
  std::deque<Task> Queue_;
  bool Running_ = false;
  std::thread Thread_;
};

} // namespace lagoonpoint
