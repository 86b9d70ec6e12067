#include "lagoonpoint/src/Http/util/Listener.h"

#include "lagoonpoint/Log"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <chrono>
#include <poll.h>
#include <system_error>
#include <utility>

namespace lagoonpoint::internal {

namespace {

constexpr int Backlog = 1024;
constexpr Duration SweepEvery = Duration::millis(100);
constexpr Duration StopSweepEvery = Duration::millis(20);
constexpr Duration ClosingFor = Duration::seconds(1);
constexpr Duration LingerFor = Duration::millis(20);

/// Counts the threads that wait for a connection's next request.
class Lingering {
public:
  explicit Lingering(std::atomic<unsigned> &Count)
      : Count_(Count), Own_(Count.fetch_add(1) + 1) {}
  ~Lingering() { Count_.fetch_sub(1); }
  Lingering(const Lingering &) = delete;
  Lingering &operator=(const Lingering &) = delete;
  unsigned count() const { return Own_; }

private:
  std::atomic<unsigned> &Count_;
  unsigned Own_;
};

Poco::Timespan timespanOf(Duration D) {
  return Poco::Timespan(D.count() * Poco::Timespan::MILLISECONDS);
}

// A request may have arrived since the connection was found idle.
bool requestWaits(Connection &C) {
  return !C.HeadBegan_ && !C.Closing_ && C.Wire_.readable();
}

bool acceptable(const Poco::Net::ServerSocket &Server) {
  pollfd Polled{Server.impl()->sockfd(), POLLIN, 0};
  return ::poll(&Polled, 1, 0) > 0;
}

} // namespace

Listener::Listener(ListenerOptions Options, const Clock &C, Serve OnRequest,
                   Reject OnReject)
    : Options_(std::move(Options)), Clock_(C), Serve_(std::move(OnRequest)),
      Reject_(std::move(OnReject)) {}

Listener::~Listener() { stop(); }

void Listener::start() {
  try {
    Poco::Net::SocketAddress At(Options_.Listen_.Host_, Options_.Listen_.Port_);
    Server_.bind(At, true);
    Server_.listen(Backlog);
    Port_ = Server_.address().port();
  } catch (const Poco::Exception &E) {
    throw Error("http.listen", toString(Options_.Listen_), E.displayText());
  }
  Polled_.add(Server_, Poco::Net::PollSet::POLL_READ);
  Poller_ = std::thread([this] { pollLoop(); });
  std::lock_guard Lock(QueueLock_);
  addWorker();
}

std::size_t Listener::threads() {
  std::lock_guard Lock(QueueLock_);
  return Workers_.size();
}

/// Called with QueueLock_ held.
void Listener::addWorker() {
  try {
    Workers_.emplace_back([this] { workLoop(); });
    ++Idle_;
  } catch (const std::system_error &E) {
    if (Workers_.empty())
      throw Error("http.listen", Options_.Name_, E.what());
    logError(Error("http.listen", Options_.Name_, E.what()), LogLevel::Warning);
  }
}

void Listener::stop() {
  if (!Poller_.joinable() || Stopping_.exchange(true))
    return;
  waitForInFlight();
  cutServing();
  {
    std::lock_guard Lock(QueueLock_);
    Ended_ = true;
  }
  QueueFilled_.notify_all();
  Poller_.join();
  for (std::thread &Worker : Workers_) // no more are added
    Worker.join();
  closeParked();
}

// The poller takes what the backlog holds, and closes connections as they
// become idle; two quiet looks in a row show that nothing is left to serve.
void Listener::waitForInFlight() {
  Time Limit = Clock_.now() + Options_.DrainLimit_;
  unsigned Quiet = 0;
  while (Quiet < 2 && Clock_.now() < Limit) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(StopSweepEvery.count()));
    Quiet = Open_ == 0 ? Quiet + 1 : 0;
  }
}

void Listener::cutServing() {
  std::lock_guard Lock(QueueLock_);
  for (Connection *C : Serving_) {
    logError(Error("http.stop", C->ClientAddress_,
                   "drain limit reached, connection closed"),
             LogLevel::Warning);
    C->Wire_.shutdown();
  }
}

void Listener::closeParked() {
  std::lock_guard Lock(ParkedLock_);
  Parked_.clear();
  Polled_.clear();
  Server_.close();
}

void Listener::pollLoop() {
  Time NextSweep = Clock_.now() + SweepEvery;
  while (!Ended_) {
    Duration Every = stopping() ? StopSweepEvery : SweepEvery;
    for (Owned &C : pollOnce(Every))
      enqueue(std::move(C));
    if (Clock_.now() >= NextSweep) {
      sweep();
      countConnections();
      NextSweep = Clock_.now() + Every;
    }
  }
}

// No reference to a socket is left here once its connection is queued: the
// last one closes it.
std::vector<Listener::Owned> Listener::pollOnce(Duration Longest) {
  std::vector<Owned> Ready;
  for (auto &[Socket, Mode] : Polled_.poll(timespanOf(Longest))) {
    if (Socket == Server_)
      acceptAll();
    else if (Owned C = unpark(Socket))
      Ready.push_back(std::move(C));
  }
  return Ready;
}

void Listener::countConnections() const {
  if (Options_.Metrics_)
    Options_.Metrics_->set(Metric::Connections, {Options_.Name_},
                           static_cast<double>(Open_.load()));
}

void Listener::acceptAll() {
  while (acceptable(Server_)) {
    try {
      accept(Server_.acceptConnection());
    } catch (const Poco::Exception &E) {
      // Out of descriptors, or the peer has left again.
      logError(Error("http.accept", "", E.displayText()), LogLevel::Warning);
      return;
    }
  }
}

void Listener::accept(Poco::Net::StreamSocket Socket) {
  std::size_t Capacity =
      std::max(Wire::DefaultCapacity, 2 * Options_.MaxHeadBytes_);
  Socket.setNoDelay(true);
  auto C = std::make_unique<Connection>(Socket, Capacity);
  C->ClientAddress_ = Socket.peerAddress().host().toString();
  if (Open_ >= Options_.MaxConnections_ && !makeRoom()) {
    Reject_(*C, Refusal(RefusalReason::QueueFull, Ran::No, "http.accept",
                        "too many connections", Duration::seconds(1)));
    return;
  }
  ++Open_;
  park(std::move(C));
}

// Closes the connection that has been idle longest.
bool Listener::makeRoom() {
  std::lock_guard Lock(ParkedLock_);
  auto Oldest = Parked_.end();
  for (auto It = Parked_.begin(); It != Parked_.end(); ++It) {
    bool Idle = !It->second->HeadBegan_;
    if (Idle && (Oldest == Parked_.end() ||
                 It->second->Since_ < Oldest->second->Since_))
      Oldest = It;
  }
  if (Oldest == Parked_.end() || Oldest->second->Wire_.readable())
    return false;
  Polled_.remove(Oldest->first);
  Parked_.erase(Oldest);
  --Open_;
  return true;
}

void Listener::park(Owned C) {
  if (!C->Closing_)
    C->Since_ = Clock_.now();
  C->Wire_.release();
  std::lock_guard Lock(ParkedLock_);
  Poco::Net::Socket Socket = C->Wire_.socket();
  Parked_.emplace(Socket, std::move(C));
  Polled_.add(Socket, Poco::Net::PollSet::POLL_READ);
}

Listener::Owned Listener::unpark(const Poco::Net::Socket &Socket) {
  std::lock_guard Lock(ParkedLock_);
  auto It = Parked_.find(Socket);
  if (It == Parked_.end())
    return nullptr;
  Polled_.remove(Socket);
  Owned C = std::move(It->second);
  Parked_.erase(It);
  C->Arrived_ = Clock_.now();
  return C;
}

void Listener::enqueue(Owned C) {
  {
    std::lock_guard Lock(QueueLock_);
    Queue_.push_back(std::move(C));
    ++Queued_;
    bool Spare = Idle_ >= Queue_.size();
    if (!Spare && !Ended_ && Workers_.size() < Options_.Threads_)
      addWorker();
  }
  QueueFilled_.notify_one();
}

void Listener::workLoop() {
  for (;;) {
    Owned C;
    {
      std::unique_lock Lock(QueueLock_);
      QueueFilled_.wait(Lock, [this] { return Ended_ || !Queue_.empty(); });
      if (Queue_.empty())
        return;
      C = std::move(Queue_.front());
      Queue_.pop_front();
      --Queued_;
      --Idle_;
      Serving_.insert(C.get());
    }
    handle(std::move(C));
    std::lock_guard Lock(QueueLock_);
    ++Idle_;
  }
}

void Listener::handle(Owned C) {
  Next Then = Next::Close;
  try {
    Then = C->Closing_ ? discard(*C) : serveArrived(*C);
  } catch (const std::exception &E) {
    logError(Error("http.connection", C->ClientAddress_, E.what()));
  }
  {
    std::lock_guard Lock(QueueLock_);
    Serving_.erase(C.get());
  }
  if (Then == Next::Park)
    return park(std::move(C));
  if (Then == Next::Requeue)
    return enqueue(std::move(C));
  C.reset();
  --Open_;
}

// Reads and serves until nothing more arrives or others wait.
Listener::Next Listener::serveArrived(Connection &C) {
  bool Served = false;
  for (;;) {
    std::size_t Length = headLength(C.Wire_.buffered());
    bool TooLong = C.Wire_.buffered().size() > Options_.MaxHeadBytes_;
    if (Length != std::string_view::npos || TooLong) {
      if (Served && Queued_ > 0)
        return Next::Requeue;
      Served = true;
      if (!serveBuffered(C, Length)) {
        drop(C);
        return discard(C);
      }
      C.HeadBegan_.reset();
      C.Arrived_ = Clock_.now();
      continue;
    }
    WireEnd Read = C.Wire_.fillNow();
    if (Read == WireEnd::TimedOut && Served && linger(C))
      continue;
    if (Read == WireEnd::TimedOut)
      return Next::Park;
    if (Read == WireEnd::Closed)
      return Next::Close;
    if (!C.HeadBegan_)
      C.HeadBegan_ = C.Arrived_;
  }
}

// Waits a little for the next request, which saves handing the connection to
// the poller and on to another thread. Half of the threads never wait here.
bool Listener::linger(Connection &C) {
  Lingering Counted(Lingering_);
  bool Spare = Counted.count() <= Options_.Threads_ / 2 && Queued_ == 0;
  if (stopping() || !Spare)
    return false;
  WireEnd End = C.Wire_.waitReadable(Until(Clock_, Clock_.now() + LingerFor));
  C.Arrived_ = Clock_.now();
  return End == WireEnd::Ready;
}

Listener::Next Listener::discard(Connection &C) {
  C.Wire_.consume(C.Wire_.buffered().size());
  bool Closed = C.Wire_.fillNow() == WireEnd::Closed;
  return Closed ? Next::Close : Next::Park;
}

// Serves the request whose head is buffered, or refuses a head that is too
// long. Returns true if the connection can be used again.
bool Listener::serveBuffered(Connection &C, std::size_t Length) {
  try {
    if (Length > Options_.MaxHeadBytes_)
      throw Refusal(RefusalReason::TooLarge, Ran::No, "http.head",
                    "request head is longer than the limit");
    RequestHead Head;
    parseRequestHead(C.Wire_.buffered().substr(0, Length), Head);
    C.Wire_.consume(Length);
    return Serve_(C, Head);
  } catch (const Refusal &R) {
    Reject_(C, R);
    return false;
  }
}

// Closing at once could destroy an answer that the peer hasn't read yet.
void Listener::drop(Connection &C) {
  C.Closing_ = true;
  C.Since_ = Clock_.now();
  C.Wire_.shutdownSend();
}

bool Listener::expired(const Connection &C, Time Now) const {
  if (C.Closing_)
    return Now - C.Since_ >= ClosingFor;
  if (C.HeadBegan_)
    return Now - *C.HeadBegan_ >= Options_.HeadTimeout_;
  if (stopping())
    return Now - C.Since_ >= StopSweepEvery;
  return Now - C.Since_ >= Options_.IdleTimeout_;
}

void Listener::sweep() {
  Time Now = Clock_.now();
  std::vector<Owned> Late;
  {
    std::lock_guard Lock(ParkedLock_);
    for (auto It = Parked_.begin(); It != Parked_.end();) {
      if (!expired(*It->second, Now) || requestWaits(*It->second)) {
        ++It;
        continue;
      }
      Polled_.remove(It->first);
      Late.push_back(std::move(It->second));
      It = Parked_.erase(It);
    }
  }
  for (Owned &C : Late) {
    if (C->HeadBegan_ && !C->Closing_)
      Reject_(*C, Refusal(RefusalReason::BadRequest, Ran::No, "http.head",
                          "request head was not complete in time"));
    --Open_;
  }
}

} // namespace lagoonpoint::internal
