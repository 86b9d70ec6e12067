#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Http/util/BufferedSocket.h"
#include "lagoonpoint/src/Http/util/HeadParser.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lagoonpoint::internal {

/// One accepted connection.
struct Connection {
  Connection(Poco::Net::StreamSocket Socket, std::size_t Capacity)
      : Socket_(std::move(Socket), Capacity) {}

  BufferedSocket Socket_;
  std::string ClientAddress_;         ///< IP address, without port
  Time WaitingSince_;                 ///< start of the current wait
  std::optional<Time> HeadStartedAt_; ///< first byte of the current head
  Time ArrivedAt_;                    ///< arrival of the current request
  bool Closing_ = false; ///< last response sent; input is discarded
};

/// Address, limits and metrics of a listener.
struct ListenerOptions {
  Address Listen_;
  unsigned Threads_ = 4;
  unsigned MaxConnections_ = 100;
  std::size_t MaxHeadBytes_ = 8192;
  Duration HeadTimeout_;
  Duration IdleTimeout_;
  Duration DrainLimit_;
  const char *Name_ = "";             ///< label in metrics
  MetricRegistry *Metrics_ = nullptr; ///< may be null
};

/// \class Listener
/// \ingroup Http
/// \brief Accepts connections, reads and checks request heads, and serves each
/// request on one of a bounded number of threads, which are started on demand.
///
/// A connection occupies a thread while arrived input is read and served, and
/// then briefly while the thread waits for the next request on it. Idle
/// connections and slow senders of a head wait in one poll set.
class Listener {
public:
  /// Serves one request.
  /// \returns true if the connection can be reused
  using Serve = std::function<bool(Connection &, RequestHead &)>;
  /// Responds to a request that was refused before it could be served.
  using Reject = std::function<void(Connection &, const Refusal &)>;

  Listener(ListenerOptions Options, const Clock &C, Serve OnRequest,
           Reject OnReject);
  ~Listener();

  /// \throws Error if the address can't be listened on
  void start();
  /// Serves what has arrived, waits up to DrainLimit_ for requests in flight,
  /// and closes the remaining connections.
  void stop() { stop(Options_.DrainLimit_); }
  void stop(Duration DrainLimit);
  /// \returns the bound port, also if port 0 was requested.
  unsigned short port() const { return Port_; }
  bool stopping() const { return Stopping_.load(); }
  /// \returns the number of threads started to serve requests.
  std::size_t threads();

private:
  using ConnectionPtr = std::unique_ptr<Connection>;

  /// What happens to a connection after a thread has handled it.
  enum class NextStep { Poll, Requeue, Close };

  void pollLoop();
  void workLoop();
  void acceptAll();
  void accept(Poco::Net::StreamSocket Socket);
  bool closeOldestIdle();
  std::vector<ConnectionPtr> pollOnce(Duration Timeout);
  ConnectionPtr takeFromPoll(const Poco::Net::Socket &Socket);
  void enqueue(ConnectionPtr C);
  void addWorker();
  void addToPoll(ConnectionPtr C);
  void handle(ConnectionPtr C);
  NextStep serveArrived(Connection &C);
  bool waitForNextRequest(Connection &C);
  NextStep discardInput(Connection &C);
  bool serveBuffered(Connection &C, std::size_t Length);
  void startLingeringClose(Connection &C);
  bool isOverdue(const Connection &C) const;
  NextStep endOverdue(Connection &C);
  void rejectLateHead(Connection &C);
  void sweep();
  bool expired(const Connection &C, Time Now) const;
  void waitForInFlight(Duration DrainLimit);
  void shutDownServing();
  void closePolled();
  void countConnections() const;

  ListenerOptions Options_;
  const Clock &Clock_;
  Serve Serve_;
  Reject Reject_;
  Poco::Net::ServerSocket Server_;
  unsigned short Port_ = 0;
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> Stopped_{false};
  std::thread Poller_;
  Poco::Net::PollSet PollSet_;

  std::mutex PolledLock_; ///< guards PolledConnections_
  std::map<Poco::Net::Socket, ConnectionPtr> PolledConnections_;

  std::mutex QueueLock_; ///< guards Workers_, IdleWorkers_, Queue_, Serving_
  std::vector<std::thread> Workers_;
  std::size_t IdleWorkers_ = 0; ///< workers that are idle or starting
  std::condition_variable QueueFilled_;
  std::deque<ConnectionPtr> Queue_;
  std::set<Connection *> Serving_;
  std::atomic<std::size_t> Queued_{0}; ///< size of Queue_
  /// Threads in waitForNextRequest().
  std::atomic<unsigned> NextRequestWaiters_{0};
  std::atomic<std::size_t> OpenConnections_{0}; ///< connections in any state
};

} // namespace lagoonpoint::internal
