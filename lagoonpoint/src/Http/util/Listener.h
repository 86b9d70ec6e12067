#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Metrics"
#include "lagoonpoint/src/Http/util/HeadParser.h"
#include "lagoonpoint/src/Http/util/Wire.h"

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
      : Wire_(std::move(Socket), Capacity) {}

  Wire Wire_;
  std::string ClientAddress_;     ///< IP number, without port
  Time Since_;                    ///< since when it waits
  std::optional<Time> HeadBegan_; ///< when the first byte of a head was seen
  Time Arrived_;                  ///< when the current request was seen
  bool Closing_ = false; ///< answered for good; the rest is read and dropped
};

/// Limits of a listener.
struct ListenerOptions {
  Address Listen_;
  unsigned Threads_ = 4;
  unsigned MaxConnections_ = 100;
  std::size_t MaxHeadBytes_ = 8192;
  Duration HeadTimeout_;
  Duration IdleTimeout_;
  Duration DrainLimit_;
  const char *Name_ = "";             ///< label of its metrics
  MetricRegistry *Metrics_ = nullptr; ///< may be null
};

/// \class Listener
/// \ingroup Http
/// \brief Accepts connections, reads and checks heads, and has each request
/// served by one of a bounded number of threads, which are started as requests
/// need them.
///
/// A connection holds a thread only from a complete head to its answer: idle
/// connections and slow senders of a head wait in one poll set.
class Listener {
public:
  /// Serves one request. \returns true if the connection can be used again.
  using Serve = std::function<bool(Connection &, RequestHead &)>;
  /// Answers a request that was refused before it could be served.
  using Reject = std::function<void(Connection &, const Refusal &)>;

  Listener(ListenerOptions Options, const Clock &C, Serve OnRequest,
           Reject OnReject);
  ~Listener();

  /// \throws Error if the address can't be listened on
  void start();
  /// Stops accepting, serves what has arrived, and waits for what is in
  /// flight, at most DrainLimit_; what is left then is closed.
  void stop();
  /// \returns the port in use, also if port 0 was asked for.
  unsigned short port() const { return Port_; }
  bool stopping() const { return Stopping_.load(); }
  /// \returns threads started to serve requests.
  std::size_t threads();

private:
  using Owned = std::unique_ptr<Connection>;

  /// What becomes of a connection that a thread leaves.
  enum class Next { Park, Requeue, Close };

  void pollLoop();
  void workLoop();
  void acceptAll();
  void accept(Poco::Net::StreamSocket Socket);
  bool makeRoom();
  std::vector<Owned> pollOnce(Duration Longest);
  Owned unpark(const Poco::Net::Socket &Socket);
  void enqueue(Owned C);
  void addWorker();
  void park(Owned C);
  void handle(Owned C);
  Next serveArrived(Connection &C);
  bool linger(Connection &C);
  Next discard(Connection &C);
  bool serveBuffered(Connection &C, std::size_t Length);
  void drop(Connection &C);
  void sweep();
  bool expired(const Connection &C, Time Now) const;
  void waitForInFlight();
  void cutServing();
  void closeParked();
  void countConnections() const;

  ListenerOptions Options_;
  const Clock &Clock_;
  Serve Serve_;
  Reject Reject_;
  Poco::Net::ServerSocket Server_;
  unsigned short Port_ = 0;
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> Ended_{false};
  std::thread Poller_;
  Poco::Net::PollSet Polled_;

  std::mutex ParkedLock_; ///< guards Parked_
  std::map<Poco::Net::Socket, Owned> Parked_;

  std::mutex QueueLock_; ///< guards Workers_, Idle_, Queue_, Serving_
  std::vector<std::thread> Workers_;
  std::size_t Idle_ = 0; ///< workers that serve nothing, or are starting
  std::condition_variable QueueFilled_;
  std::deque<Owned> Queue_;
  std::set<Connection *> Serving_;
  std::atomic<std::size_t> Queued_{0}; ///< size of Queue_
  std::atomic<unsigned> Lingering_{0}; ///< threads waiting for one connection
  std::atomic<std::size_t> Open_{0};   ///< connections in whatever state
};

} // namespace lagoonpoint::internal
