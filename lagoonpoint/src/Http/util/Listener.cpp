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
constexpr Duration SweepInterval = Duration::millis(100);
constexpr Duration StopSweepInterval = Duration::millis(20);
constexpr Duration LingeringCloseTimeout = Duration::seconds(1);
constexpr Duration NextRequestWait = Duration::millis(20);

/// Counts the threads that wait for a connection's next request.
class NextRequestWaiter {
public:
  explicit NextRequestWaiter(std::atomic<unsigned> &Count)
      : Count_(Count), OwnCount_(Count.fetch_add(1) + 1) {}
  ~NextRequestWaiter() { Count_.fetch_sub(1); }
  NextRequestWaiter(const NextRequestWaiter &) = delete;
  NextRequestWaiter &operator=(const NextRequestWaiter &) = delete;
  unsigned count() const { return OwnCount_; }

private:
  std::atomic<unsigned> &Count_;
  unsigned OwnCount_;
};

Poco::Timespan timespanOf(Duration D) {
  return Poco::Timespan(D.count() * Poco::Timespan::MILLISECONDS);
}

// A request may have arrived since the connection was found idle.
bool hasPendingInput(Connection &C) {
  return !C.HeadStartedAt_ && !C.Closing_ && C.Socket_.readable();
}

bool hasPendingConnection(const Poco::Net::ServerSocket &Server) {
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
  PollSet_.add(Server_, Poco::Net::PollSet::POLL_READ);
  Poller_ = std::thread([this] { pollLoop(); });
  std::lock_guard Lock(QueueLock_);
  addWorker();
}

std::size_t Listener::threads() {
  std::lock_guard Lock(QueueLock_);
  return Workers_.size();
}

/// QueueLock_ must be held.
void Listener::addWorker() {
  try {
    Workers_.emplace_back([this] { workLoop(); });
    ++IdleWorkers_;
  } catch (const std::system_error &E) {
    if (Workers_.empty())
      throw Error("http.listen", Options_.Name_, E.what());
    logError(Error("http.listen", Options_.Name_, E.what()), LogLevel::Warning);
  }
}

void Listener::stop(Duration DrainLimit) {
  if (!Poller_.joinable() || Stopping_.exchange(true))
    return;
  waitForInFlight(DrainLimit);
  shutDownServing();
  {
    std::lock_guard Lock(QueueLock_);
    Stopped_ = true;
  }
  QueueFilled_.notify_all();
  Poller_.join();
  for (std::thread &Worker : Workers_) // no more are added
    Worker.join();
  closePolled();
}

// While this waits, the poller accepts the connections in the backlog and
// closes those that become idle. Two checks in a row without an open connection
// show that nothing is left to serve.
void Listener::waitForInFlight(Duration DrainLimit) {
  Time Limit = Clock_.now() + DrainLimit;
  unsigned IdleChecks = 0;
  while (IdleChecks < 2 && Clock_.now() < Limit) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(StopSweepInterval.count()));
    IdleChecks = OpenConnections_ == 0 ? IdleChecks + 1 : 0;
  }
}

void Listener::shutDownServing() {
  std::lock_guard Lock(QueueLock_);
  for (Connection *C : Serving_) {
    logError(Error("http.stop", C->ClientAddress_,
                   "drain limit reached, connection closed"),
             LogLevel::Warning);
    C->Socket_.shutdown();
  }
}

void Listener::closePolled() {
  std::lock_guard Lock(PolledLock_);
  PolledConnections_.clear();
  PollSet_.clear();
  Server_.close();
}

void Listener::pollLoop() {
  Time NextSweep = Clock_.now() + SweepInterval;
  while (!Stopped_) {
    Duration Interval = stopping() ? StopSweepInterval : SweepInterval;
    for (ConnectionPtr &C : pollOnce(Interval))
      enqueue(std::move(C));
    if (Clock_.now() >= NextSweep) {
      sweep();
      countConnections();
      NextSweep = Clock_.now() + Interval;
    }
  }
}

// Leaves queueing to the caller: the poll result refers to the sockets and must
// be destroyed first, as a socket closes only with its last reference.
std::vector<Listener::ConnectionPtr> Listener::pollOnce(Duration Timeout) {
  std::vector<ConnectionPtr> Ready;
  for (auto &[Socket, Mode] : PollSet_.poll(timespanOf(Timeout))) {
    if (Socket == Server_)
      acceptAll();
    else if (ConnectionPtr C = takeFromPoll(Socket))
      Ready.push_back(std::move(C));
  }
  return Ready;
}

void Listener::countConnections() const {
  if (Options_.Metrics_)
    Options_.Metrics_->set(Metric::Connections, {Options_.Name_},
                           static_cast<double>(OpenConnections_.load()));
}

void Listener::acceptAll() {
  while (hasPendingConnection(Server_)) {
    try {
      accept(Server_.acceptConnection());
    } catch (const Poco::Exception &E) {
      // No descriptors are left, or the peer has already disconnected.
      logError(Error("http.accept", "", E.displayText()), LogLevel::Warning);
      return;
    }
  }
}

void Listener::accept(Poco::Net::StreamSocket Socket) {
  std::size_t Capacity =
      std::max(BufferedSocket::DefaultCapacity, 2 * Options_.MaxHeadBytes_);
  Socket.setNoDelay(true);
  auto C = std::make_unique<Connection>(Socket, Capacity);
  C->ClientAddress_ = Socket.peerAddress().host().toString();
  if (OpenConnections_ >= Options_.MaxConnections_ && !closeOldestIdle()) {
    Reject_(*C, Refusal(RefusalReason::QueueFull, Ran::No, "http.accept",
                        "too many connections", Duration::seconds(1)));
    return;
  }
  ++OpenConnections_;
  addToPoll(std::move(C));
}

// Closes the connection that has been idle longest. Returns false if there is
// none or input has arrived on it.
bool Listener::closeOldestIdle() {
  std::lock_guard Lock(PolledLock_);
  auto Oldest = PolledConnections_.end();
  for (auto It = PolledConnections_.begin(); It != PolledConnections_.end();
       ++It) {
    bool Idle = !It->second->HeadStartedAt_;
    if (Idle && (Oldest == PolledConnections_.end() ||
                 It->second->WaitingSince_ < Oldest->second->WaitingSince_))
      Oldest = It;
  }
  if (Oldest == PolledConnections_.end() || Oldest->second->Socket_.readable())
    return false;
  PollSet_.remove(Oldest->first);
  PolledConnections_.erase(Oldest);
  --OpenConnections_;
  return true;
}

void Listener::addToPoll(ConnectionPtr C) {
  if (!C->Closing_)
    C->WaitingSince_ = Clock_.now();
  C->Socket_.releaseBuffer();
  std::lock_guard Lock(PolledLock_);
  Poco::Net::Socket Socket = C->Socket_.streamSocket();
  PolledConnections_.emplace(Socket, std::move(C));
  PollSet_.add(Socket, Poco::Net::PollSet::POLL_READ);
}

Listener::ConnectionPtr
Listener::takeFromPoll(const Poco::Net::Socket &Socket) {
  std::lock_guard Lock(PolledLock_);
  auto It = PolledConnections_.find(Socket);
  if (It == PolledConnections_.end())
    return nullptr;
  PollSet_.remove(Socket);
  ConnectionPtr C = std::move(It->second);
  PolledConnections_.erase(It);
  C->ArrivedAt_ = Clock_.now();
  return C;
}

void Listener::enqueue(ConnectionPtr C) {
  {
    std::lock_guard Lock(QueueLock_);
    Queue_.push_back(std::move(C));
    ++Queued_;
    bool HasIdleWorker = IdleWorkers_ >= Queue_.size();
    if (!HasIdleWorker && !Stopped_ && Workers_.size() < Options_.Threads_)
      addWorker();
  }
  QueueFilled_.notify_one();
}

void Listener::workLoop() {
  for (;;) {
    ConnectionPtr C;
    {
      std::unique_lock Lock(QueueLock_);
      QueueFilled_.wait(Lock, [this] { return Stopped_ || !Queue_.empty(); });
      if (Queue_.empty())
        return;
      C = std::move(Queue_.front());
      Queue_.pop_front();
      --Queued_;
      --IdleWorkers_;
      Serving_.insert(C.get());
    }
    handle(std::move(C));
    std::lock_guard Lock(QueueLock_);
    ++IdleWorkers_;
  }
}

void Listener::handle(ConnectionPtr C) {
  NextStep Step = NextStep::Close;
  try {
    Step = C->Closing_ ? discardInput(*C) : serveArrived(*C);
    if (Step == NextStep::Poll && isOverdue(*C))
      Step = endOverdue(*C);
  } catch (const std::exception &E) {
    logError(Error("http.connection", C->ClientAddress_, E.what()));
  }
  {
    std::lock_guard Lock(QueueLock_);
    Serving_.erase(C.get());
  }
  if (Step == NextStep::Poll)
    return addToPoll(std::move(C));
  if (Step == NextStep::Requeue)
    return enqueue(std::move(C));
  C.reset();
  --OpenConnections_;
}

// Serves requests until no more input arrives or other connections wait.
Listener::NextStep Listener::serveArrived(Connection &C) {
  bool Served = false;
  for (;;) {
    std::size_t Length = headLength(C.Socket_.buffered());
    bool TooLong = C.Socket_.buffered().size() > Options_.MaxHeadBytes_;
    if (Length != std::string_view::npos || TooLong) {
      if (Served && Queued_ > 0)
        return NextStep::Requeue;
      Served = true;
      if (!serveBuffered(C, Length)) {
        startLingeringClose(C);
        return discardInput(C);
      }
      C.HeadStartedAt_.reset();
      C.ArrivedAt_ = Clock_.now();
      continue;
    }
    IoStatus Read = C.Socket_.fillNow();
    // An incomplete head is not waited for here, as its limit is checked
    // elsewhere.
    bool MayWait = Served && !C.HeadStartedAt_;
    if (Read == IoStatus::TimedOut && MayWait && waitForNextRequest(C))
      continue;
    if (Read == IoStatus::TimedOut)
      return NextStep::Poll;
    if (Read == IoStatus::Closed)
      return NextStep::Close;
    if (!C.HeadStartedAt_)
      C.HeadStartedAt_ = C.ArrivedAt_;
  }
}

// Waits briefly for the next request, which avoids handing the connection to
// the poller and on to another thread. At most half of the threads wait here.
bool Listener::waitForNextRequest(Connection &C) {
  NextRequestWaiter Waiter(NextRequestWaiters_);
  bool MayWait = Waiter.count() <= Options_.Threads_ / 2 && Queued_ == 0;
  if (stopping() || !MayWait)
    return false;
  IoStatus Status =
      C.Socket_.waitReadable(Deadline(Clock_, Clock_.now() + NextRequestWait));
  C.ArrivedAt_ = Clock_.now();
  return Status == IoStatus::Ready;
}

Listener::NextStep Listener::discardInput(Connection &C) {
  C.Socket_.consume(C.Socket_.buffered().size());
  bool Closed = C.Socket_.fillNow() == IoStatus::Closed;
  return Closed ? NextStep::Close : NextStep::Poll;
}

// Serves the request whose head is buffered, or refuses a head that is too
// long. Returns true if the connection can be reused.
bool Listener::serveBuffered(Connection &C, std::size_t Length) {
  try {
    if (Length > Options_.MaxHeadBytes_)
      throw Refusal(RefusalReason::TooLarge, Ran::No, "http.head",
                    "request head is longer than the limit");
    RequestHead Head;
    parseRequestHead(C.Socket_.buffered().substr(0, Length), Head);
    C.Socket_.consume(Length);
    return Serve_(C, Head);
  } catch (const Refusal &R) {
    Reject_(C, R);
    return false;
  }
}

// Closing at once could discard a response that the peer hasn't read yet.
void Listener::startLingeringClose(Connection &C) {
  C.Closing_ = true;
  C.WaitingSince_ = Clock_.now();
  C.Socket_.shutdownSend();
}

bool Listener::expired(const Connection &C, Time Now) const {
  if (C.Closing_)
    return Now - C.WaitingSince_ >= LingeringCloseTimeout;
  if (C.HeadStartedAt_)
    return Now - *C.HeadStartedAt_ >= Options_.HeadTimeout_;
  if (stopping())
    return Now - C.WaitingSince_ >= StopSweepInterval;
  return Now - C.WaitingSince_ >= Options_.IdleTimeout_;
}

// The sweep misses a connection whose peer keeps sending: its input is read as
// soon as it is back in the poll set. Such a connection is checked here.
bool Listener::isOverdue(const Connection &C) const {
  bool HasLimit = C.Closing_ || C.HeadStartedAt_;
  return HasLimit && expired(C, Clock_.now());
}

Listener::NextStep Listener::endOverdue(Connection &C) {
  if (C.Closing_)
    return NextStep::Close;
  rejectLateHead(C);
  startLingeringClose(C);
  return NextStep::Poll;
}

void Listener::rejectLateHead(Connection &C) {
  if (C.HeadStartedAt_ && !C.Closing_)
    Reject_(C, Refusal(RefusalReason::BadRequest, Ran::No, "http.head",
                       "request head was not received within the time-out"));
}

void Listener::sweep() {
  Time Now = Clock_.now();
  std::vector<ConnectionPtr> Expired;
  {
    std::lock_guard Lock(PolledLock_);
    for (auto It = PolledConnections_.begin();
         It != PolledConnections_.end();) {
      if (!expired(*It->second, Now) || hasPendingInput(*It->second)) {
        ++It;
        continue;
      }
      PollSet_.remove(It->first);
      Expired.push_back(std::move(It->second));
      It = PolledConnections_.erase(It);
    }
  }
  for (ConnectionPtr &C : Expired) {
    rejectLateHead(*C);
    --OpenConnections_;
  }
}

} // namespace lagoonpoint::internal
