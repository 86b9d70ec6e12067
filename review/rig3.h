/// \file
/// Deployment of real processes and small stand-ins (instances, clients, the
/// operator) on loopback addresses, for the scenes under review/.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

inline double now() {
  using Seconds = std::chrono::duration<double>;
  static const auto Start = std::chrono::steady_clock::now();
  return Seconds(std::chrono::steady_clock::now() - Start).count();
}

inline void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

inline void sleepUntil(double At) { sleepFor(At - now()); }

inline bool troubled() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// The record of what was sent, answered and run; one line an event.
class Record {
public:
  explicit Record(const std::string &Path)
      : Out_(std::fopen(Path.c_str(), "w")) {}
  ~Record() {
    if (Out_)
      std::fclose(Out_);
  }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void note(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard Guard(Lock_);
    if (!Out_)
      return;
    std::fprintf(Out_, "%9.3f ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(Out_, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', Out_);
    std::fflush(Out_);
  }

private:
  std::mutex Lock_;
  std::FILE *Out_;
};

struct Address {
  std::string Ip_;
  int Port_ = 0;
  std::string text() const { return Ip_ + ":" + std::to_string(Port_); }
};

inline Address parseAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  return {Text.substr(0, Colon), std::atoi(Text.c_str() + Colon + 1)};
}

inline sockaddr_in socketAddress(const Address &At) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<std::uint16_t>(At.Port_));
  inet_pton(AF_INET, At.Ip_.c_str(), &Out.sin_addr);
  return Out;
}

/// A header field of an HTTP message, by lower-case name.
using Fields = std::map<std::string, std::string>;

struct Message {
  std::string FirstLine_; ///< empty: no message arrived
  Fields Fields_;
  std::string Body_;
  bool Complete_ = false;

  int status() const {
    return FirstLine_.size() > 12 ? std::atoi(FirstLine_.c_str() + 9) : 0;
  }
  std::string field(const std::string &Name) const {
    auto Found = Fields_.find(Name);
    return Found == Fields_.end() ? "" : Found->second;
  }
};

/// A stream socket with a read buffer.
class Stream {
public:
  explicit Stream(int Fd = -1) : Fd_(Fd) {}
  ~Stream() { close(); }
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  bool connect(const Address &To, double Timeout) {
    Fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in At = socketAddress(To);
    if (::connect(Fd_, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0) {
      pollfd Polled{Fd_, POLLOUT, 0};
      if (errno != EINPROGRESS ||
          ::poll(&Polled, 1, static_cast<int>(Timeout * 1000)) <= 0)
        return false;
    }
    int Code = 0;
    socklen_t Size = sizeof(Code);
    ::getsockopt(Fd_, SOL_SOCKET, SO_ERROR, &Code, &Size);
    int On = 1;
    ::setsockopt(Fd_, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    return Code == 0;
  }

  bool send(std::string_view Bytes) {
    while (!Bytes.empty()) {
      ssize_t Count = ::send(Fd_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count > 0) {
        Bytes.remove_prefix(static_cast<std::size_t>(Count));
        continue;
      }
      pollfd Polled{Fd_, POLLOUT, 0};
      if (Count < 0 && errno != EAGAIN)
        return false;
      if (::poll(&Polled, 1, 10'000) <= 0)
        return false;
    }
    return true;
  }

  /// \returns false at the end of the stream, on an error or after \p Until
  bool fill(double Until) {
    for (;;) {
      char Bytes[16 << 10];
      ssize_t Count = ::recv(Fd_, Bytes, sizeof(Bytes), MSG_DONTWAIT);
      if (Count > 0) {
        Buffer_.append(Bytes, static_cast<std::size_t>(Count));
        return true;
      }
      if (Count == 0 || errno != EAGAIN)
        return false;
      double Left = Until - now();
      pollfd Polled{Fd_, POLLIN, 0};
      if (Left <= 0 ||
          ::poll(&Polled, 1, static_cast<int>(Left * 1000) + 1) <= 0)
        return false;
    }
  }

  Message read(double Until, bool IsResponse) {
    Message Out;
    std::size_t End = 0;
    while ((End = Buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Until))
        return Out;
    std::istringstream Head(Buffer_.substr(0, End));
    Buffer_.erase(0, End + 4);
    std::string Line;
    while (std::getline(Head, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      std::size_t Colon = Line.find(':');
      if (Out.FirstLine_.empty()) {
        Out.FirstLine_ = Line;
      } else if (Colon != std::string::npos) {
        std::string Name = Line.substr(0, Colon);
        std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
        std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
        Out.Fields_[Name] =
            Value == std::string::npos ? "" : Line.substr(Value);
      }
    }
    readBody(Out, Until, IsResponse);
    return Out;
  }

  void close() {
    if (Fd_ >= 0)
      ::close(Fd_);
    Fd_ = -1;
  }
  int fd() const { return Fd_; }

private:
  bool take(std::size_t Count, std::string &Out, double Until) {
    while (Buffer_.size() < Count)
      if (!fill(Until))
        return false;
    Out += Buffer_.substr(0, Count);
    Buffer_.erase(0, Count);
    return true;
  }

  void readBody(Message &Out, double Until, bool IsResponse) {
    if (Out.field("transfer-encoding") == "chunked") {
      for (;;) {
        std::size_t End = 0;
        while ((End = Buffer_.find("\r\n")) == std::string::npos)
          if (!fill(Until))
            return;
        std::size_t Size = std::stoul(Buffer_.substr(0, End), nullptr, 16);
        Buffer_.erase(0, End + 2);
        std::string Ending;
        if (!take(Size, Out.Body_, Until) || !take(2, Ending, Until))
          return;
        if (Size == 0)
          break;
      }
      Out.Complete_ = true;
    } else if (!Out.field("content-length").empty()) {
      std::size_t Size = std::stoul(Out.field("content-length"));
      Out.Complete_ = take(Size, Out.Body_, Until);
    } else if (IsResponse) {
      while (fill(Until)) {
      }
      Out.Body_ = std::move(Buffer_);
      Out.Complete_ = true;
    } else {
      Out.Complete_ = true;
    }
  }

  int Fd_;
  std::string Buffer_;
};

/// Sends one request on a connection of its own.
inline Message call(const Address &To, const std::string &Head,
                    const std::string &Body, double Timeout) {
  Stream Out;
  double Until = now() + Timeout;
  if (!Out.connect(To, std::min(Timeout, 1.0)))
    return {};
  std::string Text = Head;
  if (!Body.empty() || Head.starts_with("POST"))
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  if (!Out.send(Text + "\r\n" + Body))
    return {};
  return Out.read(Until, true);
}

/// Accepts connections and gives each to a thread of its own.
class Listener {
public:
  using Serve = std::function<void(Stream &)>;

  Listener(const Address &At, Serve OnConnection)
      : Serve_(std::move(OnConnection)) {
    Fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    ::setsockopt(Fd_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in To = socketAddress(At);
    Listens_ =
        ::bind(Fd_, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0 &&
        ::listen(Fd_, 1024) == 0;
    if (Listens_)
      Thread_ = std::thread([this] { run(); });
  }
  ~Listener() { stop(); }
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  bool listens() const { return Listens_; }

  /// Ends with all connections.
  void stop() {
    if (Stopping_.exchange(true))
      return;
    ::shutdown(Fd_, SHUT_RDWR);
    if (Thread_.joinable())
      Thread_.join();
    ::close(Fd_);
    std::unique_lock Guard(Lock_);
    for (int Fd : Open_)
      ::shutdown(Fd, SHUT_RDWR);
    Ended_.wait(Guard, [this] { return Open_.empty(); });
  }

private:
  void run() {
    while (!Stopping_) {
      int Fd = ::accept4(Fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      int On = 1;
      ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::lock_guard Guard(Lock_);
      Open_.insert(Fd);
      std::thread([this, Fd] {
        Stream Connection(Fd);
        Serve_(Connection);
        std::lock_guard Closing(Lock_);
        Open_.erase(Fd);
        Connection.close();
        Ended_.notify_all();
      }).detach();
    }
  }

  Serve Serve_;
  int Fd_ = -1;
  bool Listens_ = false;
  std::atomic<bool> Stopping_{false};
  std::thread Thread_;
  std::mutex Lock_;
  std::condition_variable Ended_;
  std::set<int> Open_;
};

/// A machine of the deployment with its one process.
struct Machine {
  std::string Name_;
  std::string Ip_;
  std::string Zone_;
  bool Core_ = false;
  bool Bootstrap_ = true;
  pid_t Pid_ = -1;
};

/// The deployment: one core machine a zone, some edge machines, started with
/// the command of deploy/system.toml.
class Deployment {
public:
  static constexpr int Control = 18381;
  static constexpr int Directory = 18383;
  static constexpr int Frontend = 18388;
  static constexpr int Readiness = 18384;
  static constexpr int Peer = 17560;

  /// \param Zones region by zone
  /// \param FurtherContracts contracts beside those of all deployments
  Deployment(std::map<std::string, std::string> Zones, int EdgesPerZone,
             const std::string &FurtherContracts = "")
      : Zones_(std::move(Zones)),
        Contracts_("base,drain,config,cost,retry,recover,places,tenants,quota" +
                   FurtherContracts) {
    std::random_device Source;
    Block_ = "127." + std::to_string(40 + Source() % 180) + "." +
             std::to_string(1 + Source() % 250) + ".";
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "scene-XXXXXX").string();
    Folder_ = ::mkdtemp(Pattern.data());
    for (const auto &[Zone, Region] : Zones_)
      add(Zone, true);
    for (const auto &[Zone, Region] : Zones_)
      for (int N = 0; N < EdgesPerZone; ++N)
        add(Zone, false);
  }
  ~Deployment() {
    for (Machine &M : Machines_)
      signal(M, SIGKILL);
    std::error_code Ignored;
    std::filesystem::remove_all(Folder_, Ignored);
  }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  std::string nextIp() { return Block_ + std::to_string(++LastHost_); }
  const std::string &folder() const { return Folder_; }

  std::vector<Machine *> cores() { return select(true); }
  std::vector<Machine *> edges() { return select(false); }

  void startAll() {
    for (Machine &M : Machines_)
      start(M);
  }

  void start(Machine &M) {
    std::string File = Folder_ + "/" + M.Name_ + ".ini";
    std::ofstream(File) << settings(M);
    std::string LogFile = Folder_ + "/" + M.Name_ + ".log";
    M.Bootstrap_ = false;
    M.Pid_ = ::fork();
    if (M.Pid_ != 0)
      return;
    int Log = ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(Log, 1);
    ::dup2(Log, 2);
    ::execl("target/lagoonpoint", "target/lagoonpoint", "platform",
            File.c_str(), static_cast<char *>(nullptr));
    ::_exit(127);
  }

  /// Sends a signal to the machine's process; waits for its end if it is one
  /// that ends it.
  void signal(Machine &M, int Number) {
    if (M.Pid_ <= 0)
      return;
    ::kill(M.Pid_, Number);
    if (Number != SIGKILL && Number != SIGTERM)
      return;
    ::waitpid(M.Pid_, nullptr, 0);
    M.Pid_ = -1;
  }

  /// \returns whether the machine's process has ended by itself
  static bool hasEnded(Machine &M) {
    if (M.Pid_ <= 0 || ::waitpid(M.Pid_, nullptr, WNOHANG) != M.Pid_)
      return false;
    M.Pid_ = -1;
    return true;
  }

  /// Waits until each edge machine says that it is ready.
  bool awaitReady(double Timeout) {
    double Until = now() + Timeout;
    for (Machine *M : edges())
      while (call({M->Ip_, Readiness}, "GET /-/ready HTTP/1.1\r\nHost: x\r\n",
                  "", 1)
                 .status() != 200) {
        if (now() > Until)
          return false;
        sleepFor(0.1);
      }
    return true;
  }

private:
  void add(const std::string &Zone, bool Core) {
    Machine M;
    M.Ip_ = nextIp();
    M.Name_ =
        (Core ? "core-" : "edge-") + Zone + "-" + std::to_string(LastHost_);
    M.Zone_ = Zone;
    M.Core_ = Core;
    Machines_.push_back(M);
  }

  std::vector<Machine *> select(bool Core) {
    std::vector<Machine *> Out;
    for (Machine &M : Machines_)
      if (M.Core_ == Core)
        Out.push_back(&M);
    return Out;
  }

  static void replace(std::string &Text, const std::string &From,
                      const std::string &To) {
    for (std::size_t At = 0; (At = Text.find(From, At)) != std::string::npos;
         At += To.size())
      Text.replace(At, From.size(), To);
  }

  static void replaceSpan(std::string &Text, const std::string &Begin,
                          const std::string &End, const std::string &To) {
    std::size_t From = Text.find(Begin);
    std::size_t Upto = Text.find(End, From);
    if (From != std::string::npos && Upto != std::string::npos)
      Text.replace(From, Upto + End.size() - From, To);
  }

  /// Fills in platform/settings.ini as the platform does.
  std::string settings(const Machine &M) {
    std::ifstream In("platform/settings.ini");
    std::stringstream Read;
    Read << In.rdbuf();
    std::string Text = Read.str();
    replaceSpan(Text, "{{#dataDir}}", "{{/dataDir}}", M.Core_ ? "true" : "");
    replaceSpan(Text, "{{^dataDir}}", "{{/dataDir}}", M.Core_ ? "" : "false");
    std::string Zones;
    for (const auto &[Zone, Region] : Zones_)
      Zones += (Zones.empty() ? "" : ",") + Zone + ":" + Region;
    replaceSpan(Text, "{{#zones}}", "{{/zones}}", Zones);
    std::string Seeds;
    for (Machine *Core : cores())
      Seeds += (Seeds.empty() ? "" : ",") + Address{Core->Ip_, Control}.text();
    std::string Data = Folder_ + "/data-" + M.Name_;
    if (M.Core_)
      std::filesystem::create_directories(Data);
    auto At = [&](bool Present, int Port) {
      return Present ? Address{M.Ip_, Port}.text() : std::string();
    };
    const std::map<std::string, std::string> Values = {
        {"nodeName", M.Name_},
        {"ip", M.Ip_},
        {"zone", M.Zone_},
        {"region", Zones_[M.Zone_]},
        {"bootstrap", M.Bootstrap_ ? "true" : "false"},
        {"dataDir", M.Core_ ? Data : ""},
        {"listen.frontend", At(!M.Core_, Frontend)},
        {"listen.readiness", At(!M.Core_, Readiness)},
        {"listen.control", At(M.Core_, Control)},
        {"listen.directory", At(M.Core_, Directory)},
        {"internalPorts.0", std::to_string(Peer)},
        {"seeds", Seeds},
        {"contracts", Contracts_},
        {"heartbeat", "1500ms"},
        {"bounds.grace", "6s"},
        {"bounds.revoke", "5000ms"},
        {"bounds.strictRevocation", "true"},
        {"bounds.retryBudgetRatio", "0.2"},
        {"bounds.budgetWindow", "10s"},
        {"bounds.budgetSlack", "62"},
        {"bounds.quotaWindow", "5s"},
        {"bounds.quotaOverage", "0.1"},
        {"bounds.quotaSlack", "20"},
        {"bounds.maxRegionShift", "0.15"}};
    for (const auto &[Name, Value] : Values)
      replace(Text, "{{" + Name + "}}", Value);
    return Text;
  }

  std::map<std::string, std::string> Zones_;
  std::string Contracts_;
  std::string Block_;
  std::string Folder_;
  int LastHost_ = 1;
  std::vector<Machine> Machines_;
};

/// Sends a call to the core machines in turn until one answers with success, as
/// the operator and the instances do.
/// \returns the machine that answered, null if none did in time
inline Machine *callControl(const std::vector<Machine *> &Cores,
                            const std::string &Target, const std::string &Body,
                            double Timeout, int *Status = nullptr) {
  double Until = now() + Timeout;
  for (std::size_t N = 0; now() < Until; ++N) {
    Machine *M = Cores[N % Cores.size()];
    std::string Head = "POST " + Target +
                       " HTTP/1.1\r\nHost: control\r\n"
                       "Content-Type: application/json\r\n";
    Message Reply = call({M->Ip_, Deployment::Control}, Head, Body, 1);
    if (Status)
      *Status = Reply.status();
    if (Reply.status() / 100 == 2)
      return M;
    if (Reply.status() / 100 == 4)
      return nullptr;
    sleepFor(0.1);
  }
  return nullptr;
}

/// What an instance does with a request, after it has read it.
struct Work {
  double Seconds_ = 0;
  std::string Fields_; ///< further fields of the answer, each with CRLF
};

/// An instance of a service: serves requests and sends heartbeats.
class Instance {
public:
  struct Options {
    std::string Id_;
    std::string Service_;
    std::string Zone_;
    Address At_;
    unsigned Slots_ = 8;
  };
  /// Called when a request begins to run, with its arrival.
  using OnRun = std::function<Work(const Message &, double)>;

  Instance(Options O, std::vector<Machine *> Cores, OnRun Run)
      : Options_(std::move(O)), Cores_(std::move(Cores)), Run_(std::move(Run)),
        Born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        Listener_(Options_.At_, [this](Stream &S) { serve(S); }) {}
  ~Instance() { stop(); }

  bool listens() const { return Listener_.listens(); }

  void startHeartbeats(double Phase) {
    Beats_ = std::thread([this, Phase] {
      for (double At = now() + Phase; !Silent_; At += 1.5) {
        while (!Silent_ && now() < At)
          sleepFor(0.02);
        if (!Silent_)
          beat();
      }
    });
  }

  void stopHeartbeats() {
    Silent_ = true;
    if (Beats_.joinable())
      Beats_.join();
  }

  void stop() {
    if (Stopping_.exchange(true))
      return;
    stopHeartbeats();
    Listener_.stop();
  }

  const Options &options() const { return Options_; }
  std::string state() const { return Draining_ ? "draining" : "ready"; }
  /// Says in heartbeats from now on that it is draining.
  /// \returns the machine that acknowledged it
  Machine *drain(double Timeout) {
    Draining_ = true;
    return beat(Timeout);
  }
  void setWarmupEnd(double At) { WarmupEndsAt_ = At; }

  Machine *beat(double Timeout = 3) {
    std::lock_guard Guard(BeatLock_);
    std::string Body = heartbeat();
    return callControl(Cores_,
                       "/-/rpc?call=instances.heartbeat&of=" + Options_.Id_,
                       Body, Timeout);
  }

  /// \returns the body of the next heartbeat
  std::string heartbeat() {
    double Cold = std::max(0.0, WarmupEndsAt_ - now());
    return "{\"service\":\"" + Options_.Service_ + "\",\"address\":\"" +
           Options_.At_.text() + "\",\"zone\":\"" + Options_.Zone_ +
           "\",\"version\":\"v1\",\"slots\":" +
           std::to_string(Options_.Slots_) + ",\"state\":\"" + state() +
           "\",\"warmupLeft\":\"" +
           std::to_string(static_cast<long>(Cold * 1000)) +
           "ms\",\"sequence\":" + std::to_string(++Sequence_) +
           ",\"born\":" + std::to_string(Born_) + "}";
  }

private:
  void serve(Stream &S) {
    while (!Stopping_) {
      Message Request = S.read(now() + 10, false);
      if (Request.FirstLine_.empty() || !Request.Complete_)
        return;
      if (!answer(S, Request))
        return;
    }
  }

  std::string load() {
    std::lock_guard Guard(SlotLock_);
    return "Lagoonpoint-Instance-Load: " + std::to_string(Running_) + "," +
           std::to_string(Waiting_) + "," + std::to_string(Options_.Slots_) +
           "\r\n";
  }

  /// \returns false if the queue is full
  bool takeSlot() {
    std::unique_lock Guard(SlotLock_);
    if (Running_ >= Options_.Slots_) {
      if (Waiting_ >= MaxWaiting)
        return false;
      ++Waiting_;
      SlotFree_.wait(Guard, [this] { return Running_ < Options_.Slots_; });
      --Waiting_;
    }
    ++Running_;
    return true;
  }

  void releaseSlot() {
    std::lock_guard Guard(SlotLock_);
    --Running_;
    SlotFree_.notify_one();
  }

  bool answerHealth(Stream &S) {
    double Cold = std::max(0.0, WarmupEndsAt_ - now());
    return S.send(std::string("HTTP/1.1 ") +
                  (Draining_ ? "503 Leaving" : "200 OK") +
                  "\r\nLagoonpoint-Instance-Id: " + Options_.Id_ + "\r\n" +
                  load() + "Lagoonpoint-Warmup-Ms: " +
                  std::to_string(static_cast<long>(Cold * 1000)) +
                  "\r\nContent-Length: 0\r\n\r\n");
  }

  bool answer(Stream &S, const Message &Request) {
    double Arrived = now();
    std::string Id = Request.field("lagoonpoint-attempt-id");
    std::string Common = "Lagoonpoint-Attempt-Id: " + Id + "\r\n";
    if (Request.FirstLine_.starts_with("GET /health "))
      return answerHealth(S);
    std::string Target = Request.field("lagoonpoint-target-instance");
    if (!Target.empty() && Target != Options_.Id_)
      return S.send("HTTP/1.1 421 Misdirected\r\n" + Common +
                    "Lagoonpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    if (!takeSlot())
      return S.send("HTTP/1.1 503 Full\r\n" + Common + load() +
                    "Lagoonpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    Work Done = Run_(Request, Arrived);
    sleepFor(Done.Seconds_);
    std::string Load = load();
    releaseSlot();
    std::string Body = "done " + Id;
    return S.send("HTTP/1.1 200 OK\r\n" + Common + Load + Done.Fields_ +
                  "Lagoonpoint-Response-Seal: " + Options_.Id_ + "." + Id +
                  "\r\nContent-Length: " + std::to_string(Body.size()) +
                  "\r\n\r\n" + Body);
  }

  const Options Options_;
  const std::vector<Machine *> Cores_;
  const OnRun Run_;
  const long Born_;
  std::mutex BeatLock_;
  std::atomic<unsigned long> Sequence_{0};
  static constexpr unsigned MaxWaiting = 9;
  std::mutex SlotLock_;
  std::condition_variable SlotFree_;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  std::atomic<bool> Draining_{false};
  std::atomic<double> WarmupEndsAt_{0};
  std::atomic<bool> Silent_{false};
  std::atomic<bool> Stopping_{false};
  std::thread Beats_;
  Listener Listener_;
};

} // namespace rig
