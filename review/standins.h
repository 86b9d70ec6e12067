#pragma once

// Stand-ins for the users' platform, operator, instances and clients, and the
// means to start the project's own programs. Plain POSIX sockets on loopback
// addresses; no library besides the C++ standard library.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

/// Exit codes of a case.
inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int CouldNotRun = 2;

/// \returns a port that no address of this machine listens on, below the range
/// from which the operating system takes ports of outgoing connections.
inline int findFreePort() {
  static std::set<int> Chosen;
  static std::random_device Source;
  for (int Try = 0; Try < 1000; ++Try) {
    int Port = 10'000 + static_cast<int>(Source() % 20'000);
    int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(static_cast<std::uint16_t>(Port));
    At.sin_addr.s_addr = htonl(INADDR_ANY);
    int Result = ::bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At));
    ::close(Fd);
    if (Result == 0 && Chosen.insert(Port).second)
      return Port;
  }
  throw std::runtime_error("no free port");
}

// The same on all machines of a run, as on the platform.
inline const int FrontendPort = findFreePort();
inline const int ReadinessPort = findFreePort();
inline const int ControlPort = findFreePort();
inline const int DirectoryPort = findFreePort();
inline const int PeerPort = findFreePort();
inline const int MetricsPort = findFreePort();
inline const int InstancePort = findFreePort();

using Millis = std::chrono::milliseconds;

inline std::int64_t nowMs() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            Start)
      .count();
}

inline std::int64_t unixMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(std::int64_t Ms) {
  std::this_thread::sleep_for(Millis(Ms));
}

/// \returns false if the case is to run without its disruption.
inline bool withTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

/// Writes what was sent, answered and run to record.txt. Thread-safe.
class Record {
public:
  explicit Record(const std::string &Folder) : Out_(Folder + "/record.txt") {}

  void line(const std::string &Text) {
    std::lock_guard Guard(Lock_);
    Out_ << nowMs() << " ms  " << Text << std::endl;
  }

private:
  std::mutex Lock_;
  std::ofstream Out_;
};

/// One HTTP message.
struct Message {
  std::string First_; ///< request line or status line
  std::vector<std::pair<std::string, std::string>> Fields_;
  std::string Body_;

  int status() const {
    return First_.size() > 12 ? std::atoi(First_.c_str() + 9) : 0;
  }
  std::string method() const { return First_.substr(0, First_.find(' ')); }
  std::string path() const {
    std::size_t From = First_.find(' ') + 1;
    return First_.substr(From, First_.find(' ', From) - From);
  }
  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields_)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  std::size_t count(const std::string &Name) const {
    return static_cast<std::size_t>(
        std::count_if(Fields_.begin(), Fields_.end(), [&](const auto &Each) {
          return strcasecmp(Each.first.c_str(), Name.c_str()) == 0;
        }));
  }
};

/// A TCP connection with a read buffer. Closed on destruction.
class Connection {
public:
  explicit Connection(int Fd) : Fd_(Fd) {
    int On = 1;
    ::setsockopt(Fd_, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  ~Connection() {
    if (Fd_ >= 0)
      ::close(Fd_);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// \returns null if the connection was not established in time.
  static std::unique_ptr<Connection> open(const std::string &Ip, int Port,
                                          int TimeoutMs) {
    int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(static_cast<std::uint16_t>(Port));
    ::inet_pton(AF_INET, Ip.c_str(), &At.sin_addr);
    auto Out = std::make_unique<Connection>(Fd);
    int Result = ::connect(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At));
    pollfd Polled{Fd, POLLOUT, 0};
    if (Result != 0 &&
        (errno != EINPROGRESS || ::poll(&Polled, 1, TimeoutMs) <= 0))
      return nullptr;
    int Fault = 0;
    socklen_t Size = sizeof(Fault);
    ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Fault, &Size);
    if (Fault != 0)
      return nullptr;
    return Out;
  }

  bool send(const std::string &Text) {
    std::size_t Done = 0;
    while (Done < Text.size()) {
      ssize_t Count =
          ::send(Fd_, Text.data() + Done, Text.size() - Done, MSG_NOSIGNAL);
      if (Count < 0 && errno == EAGAIN) {
        pollfd Polled{Fd_, POLLOUT, 0};
        if (::poll(&Polled, 1, 10'000) <= 0)
          return false;
        continue;
      }
      if (Count <= 0)
        return false;
      Done += static_cast<std::size_t>(Count);
    }
    return true;
  }

  /// Reads one message.
  /// \returns nothing if the connection ended, the time passed or the bytes are
  /// no message
  std::optional<Message> read(int TimeoutMs) {
    std::int64_t Until = nowMs() + TimeoutMs;
    while (Buffer_.starts_with("\r\n")) // tolerated before a message
      Buffer_.erase(0, 2);
    std::size_t End = 0;
    while ((End = Buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Until))
        return {};
    Message Out;
    if (!parseHead(Buffer_.substr(0, End + 2), Out))
      return {};
    Buffer_.erase(0, End + 4);
    std::string Length = Out.field("Content-Length");
    if (Out.field("Transfer-Encoding") == "chunked")
      return readChunks(Out, Until) ? std::optional(Out) : std::nullopt;
    std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
    while (Buffer_.size() < Size)
      if (!fill(Until))
        return {};
    Out.Body_ = Buffer_.substr(0, Size);
    Buffer_.erase(0, Size);
    return Out;
  }

  /// \returns bytes that are left after the last message.
  const std::string &rest() const { return Buffer_; }

private:
  bool fill(std::int64_t Until) {
    pollfd Polled{Fd_, POLLIN, 0};
    std::int64_t Left = Until - nowMs();
    if (Left <= 0 || ::poll(&Polled, 1, static_cast<int>(Left)) <= 0)
      return false;
    char Bytes[65536];
    ssize_t Count = ::recv(Fd_, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer_.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  static bool parseHead(const std::string &Head, Message &Out) {
    std::istringstream In(Head);
    std::string Line;
    std::getline(In, Out.First_);
    if (!Out.First_.empty() && Out.First_.back() == '\r')
      Out.First_.pop_back();
    bool IsMessage = Out.First_.starts_with("HTTP/1.1 ") ||
                     Out.First_.ends_with(" HTTP/1.1");
    while (IsMessage && std::getline(In, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      std::size_t Colon = Line.find(':');
      if (Colon == std::string::npos || Colon == 0)
        return false;
      std::size_t From = Line.find_first_not_of(' ', Colon + 1);
      Out.Fields_.emplace_back(Line.substr(0, Colon), From == std::string::npos
                                                          ? ""
                                                          : Line.substr(From));
    }
    return IsMessage;
  }

  bool readLine(std::string &Line, std::int64_t Until) {
    std::size_t End = 0;
    while ((End = Buffer_.find("\r\n")) == std::string::npos)
      if (!fill(Until))
        return false;
    Line = Buffer_.substr(0, End);
    Buffer_.erase(0, End + 2);
    return true;
  }

  bool readChunks(Message &Out, std::int64_t Until) {
    for (;;) {
      std::string Line;
      if (!readLine(Line, Until))
        return false;
      std::size_t Size = std::strtoul(Line.c_str(), nullptr, 16);
      while (Buffer_.size() < Size + 2)
        if (!fill(Until))
          return false;
      Out.Body_ += Buffer_.substr(0, Size);
      Buffer_.erase(0, Size + 2);
      if (Size == 0)
        return true;
    }
  }

  int Fd_;
  std::string Buffer_;
};

/// A call to the platform's interfaces of the system.
/// \returns nothing without a complete response
inline std::optional<Message> call(const std::string &Ip, int Port,
                                   const std::string &Request,
                                   int TimeoutMs = 1000) {
  std::int64_t Until = nowMs() + TimeoutMs;
  auto To = Connection::open(Ip, Port, TimeoutMs);
  if (!To || !To->send(Request))
    return {};
  return To->read(static_cast<int>(std::max<std::int64_t>(Until - nowMs(), 1)));
}

inline std::string rpcText(const std::string &Call, const std::string &Of,
                           const std::string &Body) {
  std::string Target = "/-/rpc?call=" + Call;
  if (!Of.empty())
    Target += "&of=" + Of;
  return "POST " + Target +
         " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(Body.size()) + "\r\nConnection: close\r\n\r\n" + Body;
}

/// A machine of the deployment.
struct Machine {
  std::string Name_;
  std::string Ip_;
  std::string Zone_;
  bool Core_ = false;
  bool Gone_ = false; ///< for good
  pid_t Process_ = 0;
};

struct Zone {
  std::string Name_;
  std::string Region_;
};

/// Ends what a case has started; run before the program exits.
inline std::function<void()> &cleanup() {
  static std::function<void()> Hook = [] {};
  return Hook;
}

/// The project's processes on one block of loopback addresses, with their
/// settings and data in a temporary folder. It lives until the program exits,
/// because threads of the stand-ins refer to it; cleanup() ends the processes.
class Deployment {
public:
  Deployment(std::vector<Zone> Zones, Record &Out)
      : Zones_(std::move(Zones)), Record_(Out) {
    std::random_device Source;
    Block_ = "127." + std::to_string(20 + Source() % 200) + "." +
             std::to_string(1 + Source() % 250) + ".";
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(Pattern.data()))
      throw std::runtime_error("no temporary folder");
    Folder_ = Pattern;
    cleanup() = [this] { finish(); };
  }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  static Deployment &create(std::vector<Zone> Zones, Record &Out) {
    return *new Deployment(std::move(Zones), Out);
  }

  std::string nextIp() { return Block_ + std::to_string(++LastHost_); }

  void addMachines(const std::string &ZoneName, bool Core, int Count) {
    for (int Number = 1; Number <= Count; ++Number) {
      Machine M;
      M.Name_ =
          (Core ? "core-" : "edge-") + ZoneName + "-" + std::to_string(Number);
      M.Ip_ = nextIp();
      M.Zone_ = ZoneName;
      M.Core_ = Core;
      Machines_.push_back(M);
    }
  }

  std::vector<Machine *> cores() { return select(true); }
  std::vector<Machine *> edges() { return select(false); }

  void startAll() {
    for (Machine &M : Machines_)
      start(M, true);
  }

  /// Starts a process as the deploy file says.
  void start(Machine &M, bool Bootstrap) {
    std::string File = Folder_ + "/" + M.Name_ + ".ini";
    std::ofstream(File) << settingsOf(M, Bootstrap);
    std::string Log = Folder_ + "/" + M.Name_ + ".log";
    M.Process_ = ::fork();
    if (M.Process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      ::execl("target/lagoonpoint", "target/lagoonpoint", "platform",
              File.c_str(), static_cast<char *>(nullptr));
      ::_exit(127);
    }
    Record_.line("started " + M.Name_ + " at " + M.Ip_);
  }

  void signal(Machine &M, int Number) {
    Record_.line("signal " + std::to_string(Number) + " to " + M.Name_);
    ::kill(M.Process_, Number);
  }

  void end(Machine &M) {
    if (M.Process_ <= 0)
      return;
    ::kill(M.Process_, SIGKILL);
    ::waitpid(M.Process_, nullptr, 0);
    M.Process_ = 0;
  }

  /// Ends a machine for good.
  void remove(Machine &M) {
    Record_.line("machine " + M.Name_ + " is gone for good");
    end(M);
    M.Gone_ = true;
  }

  /// Starts an empty core machine in the zone of one that is gone.
  void replace(const Machine &Old) {
    Machine M;
    M.Name_ = Old.Name_ + "-new";
    M.Ip_ = nextIp();
    M.Zone_ = Old.Zone_;
    M.Core_ = true;
    Machines_.push_back(M);
    start(Machines_.back(), false);
  }

  /// \returns the names of processes that have ended by themselves.
  std::vector<std::string> ended() {
    std::vector<std::string> Out;
    for (Machine &M : Machines_)
      if (M.Process_ > 0 && ::waitpid(M.Process_, nullptr, WNOHANG) != 0) {
        M.Process_ = 0;
        Out.push_back(M.Name_);
      }
    return Out;
  }

  /// Sends an order as the operator does: to another core machine after each
  /// second without an answer, until it is acknowledged.
  /// \param First core machine that is asked first
  /// \returns whether it was acknowledged in time
  bool order(const std::string &Call, const std::string &Of,
             const std::string &Body, std::size_t First, int TimeoutMs) {
    std::vector<Machine *> Cores = cores();
    std::erase_if(Cores, [](const Machine *M) { return M->Gone_; });
    std::int64_t Until = nowMs() + TimeoutMs;
    for (std::size_t Try = First; nowMs() < Until; ++Try) {
      Machine &To = *Cores[Try % Cores.size()];
      auto Answer = call(To.Ip_, ControlPort, rpcText(Call, Of, Body));
      int Status = Answer ? Answer->status() : 0;
      Record_.line("operator: " + Call + " " + Of + " to " + To.Name_ + ": " +
                   (Status ? std::to_string(Status) : "no answer in 1 s"));
      if (Status == 200)
        return true;
      if (Status == 400)
        return false;
      sleepMs(200);
    }
    return false;
  }

  bool waitReady(int TimeoutMs) {
    std::int64_t Until = nowMs() + TimeoutMs;
    for (Machine *M : edges()) {
      for (;;) {
        auto Answer = call(M->Ip_, ReadinessPort,
                           "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n");
        if (Answer && Answer->status() == 200)
          break;
        if (nowMs() >= Until)
          return false;
        sleepMs(100);
      }
    }
    return true;
  }

private:
  void finish() {
    for (Machine &M : Machines_)
      end(M);
    std::error_code Ignored;
    std::filesystem::remove_all(Folder_, Ignored);
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
    std::size_t At = Text.find(From);
    if (At == std::string::npos)
      throw std::runtime_error("platform/settings.ini has no " + From);
    Text.replace(At, From.size(), To);
  }

  /// Fills in the project's template with the bounds of the site
  /// `tussock-tags`.
  std::string settingsOf(const Machine &M, bool Bootstrap) {
    std::ifstream In("platform/settings.ini");
    std::string Text((std::istreambuf_iterator<char>(In)),
                     std::istreambuf_iterator<char>());
    std::string Region;
    std::string ZoneList;
    for (const Zone &Z : Zones_) {
      ZoneList += (ZoneList.empty() ? "" : ",") + Z.Name_ + ":" + Z.Region_;
      if (Z.Name_ == M.Zone_)
        Region = Z.Region_;
    }
    std::string Seeds;
    for (Machine *Core : cores())
      if (!Core->Gone_ && std::count(Seeds.begin(), Seeds.end(), ':') < 3)
        Seeds += (Seeds.empty() ? "" : ",") + Core->Ip_ + ":" +
                 std::to_string(ControlPort);
    auto AddressAt = [&](bool Present, int Port) {
      return Present ? M.Ip_ + ":" + std::to_string(Port) : std::string();
    };
    std::string Data = M.Core_ ? Folder_ + "/data-" + M.Name_ : "";
    if (M.Core_)
      std::filesystem::create_directories(Data);
    replace(Text, "{{nodeName}}", M.Name_);
    replace(Text, "{{ip}}", M.Ip_);
    replace(Text, "{{region}}", Region);
    replace(Text, "{{zone}}", M.Zone_);
    replace(Text, "{{#dataDir}}true{{/dataDir}}{{^dataDir}}false{{/dataDir}}",
            M.Core_ ? "true" : "false");
    replace(Text, "{{bootstrap}}", Bootstrap ? "true" : "false");
    replace(Text, "{{dataDir}}", Data);
    replace(Text, "{{listen.frontend}}", AddressAt(!M.Core_, FrontendPort));
    replace(Text, "{{listen.readiness}}", AddressAt(!M.Core_, ReadinessPort));
    replace(Text, "{{listen.control}}", AddressAt(M.Core_, ControlPort));
    replace(Text, "{{listen.directory}}", AddressAt(M.Core_, DirectoryPort));
    replace(Text, "{{internalPorts.0}}", std::to_string(PeerPort));
    replace(Text, "metrics_port = 9100",
            "metrics_port = " + std::to_string(MetricsPort));
    replace(Text, "{{seeds}}", Seeds);
    replace(Text, "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", ZoneList);
    replace(Text, "{{heartbeat}}", "1500ms");
    replace(Text, "{{bounds.grace}}", "6s");
    replace(Text, "{{bounds.revoke}}", "5000ms");
    replace(Text, "{{bounds.strictRevocation}}", "true");
    replace(Text, "{{bounds.retryBudgetRatio}}", "0.2");
    replace(Text, "{{bounds.budgetWindow}}", "10s");
    replace(Text, "{{bounds.budgetSlack}}", "62");
    replace(Text, "{{bounds.quotaWindow}}", "5s");
    replace(Text, "{{bounds.quotaOverage}}", "0.1");
    replace(Text, "{{bounds.quotaSlack}}", "20");
    replace(Text, "{{bounds.maxRegionShift}}", "0.15");
    return Text;
  }

  std::vector<Zone> Zones_;
  Record &Record_;
  std::string Block_;
  std::string Folder_;
  int LastHost_ = 1;
  std::deque<Machine> Machines_; ///< its elements don't move
};

/// One run of a request at an instance.
struct Run {
  std::int64_t At_ = 0;
  std::string Instance_;
  std::string Zone_;
  Message Request_;
};

/// The runs at all instances. Thread-safe.
class Runs {
public:
  explicit Runs(Record &Out) : Record_(Out) {}

  void add(Run R) {
    Record_.line("instance " + R.Instance_ + " runs " + R.Request_.First_ +
                 ", attempt " + R.Request_.field("Lagoonpoint-Attempt-Id") +
                 ", tenant \"" + R.Request_.field("Lagoonpoint-Tenant") +
                 "\", body of " + std::to_string(R.Request_.Body_.size()) +
                 " bytes");
    std::lock_guard Guard(Lock_);
    All_.push_back(std::move(R));
  }
  std::vector<Run> all() {
    std::lock_guard Guard(Lock_);
    return All_;
  }

private:
  Record &Record_;
  std::mutex Lock_;
  std::vector<Run> All_;
};

/// An instance of a service: sends heartbeats and runs one request at a time on
/// each connection. It refuses what it can't read in full.
class Instance {
public:
  Instance(Deployment &D, Runs &Out, std::string Id, std::string Service,
           std::string ZoneName, int Slots = 16, int WorkMs = 0)
      : Deployment_(D), Runs_(Out), Id_(std::move(Id)),
        Service_(std::move(Service)), Zone_(std::move(ZoneName)),
        Ip_(D.nextIp()), Slots_(Slots), WorkMs_(WorkMs) {
    Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    ::setsockopt(Listener_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(InstancePort);
    ::inet_pton(AF_INET, Ip_.c_str(), &At.sin_addr);
    if (::bind(Listener_, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
        ::listen(Listener_, 128) != 0)
      throw std::runtime_error("an instance can't listen");
    std::thread([this] { acceptLoop(); }).detach();
    std::thread([this] { heartbeatLoop(); }).detach();
  }

  const std::string &ip() const { return Ip_; }
  const std::string &zone() const { return Zone_; }
  bool acknowledged() const { return Acknowledged_; }

private:
  void acceptLoop() {
    for (;;) {
      int Fd = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd >= 0)
        std::thread([this, Fd] { serve(Fd); }).detach();
    }
  }

  void serve(int Fd) {
    Connection From(Fd);
    while (auto Request = From.read(60'000))
      if (!From.send(answer(*Request)))
        return;
  }

  std::string answer(const Message &Request) {
    std::string Attempt = Request.field("Lagoonpoint-Attempt-Id");
    std::string Target = Request.field("Lagoonpoint-Target-Instance");
    std::string Echo = "Lagoonpoint-Attempt-Id: " + Attempt + "\r\n";
    if (Request.path() == "/health")
      return text(200, "Lagoonpoint-Instance-Id: " + Id_ + "\r\n", "");
    bool Repeated = false;
    for (const char *Name :
         {"Lagoonpoint-Attempt-Id", "Lagoonpoint-Target-Instance",
          "Lagoonpoint-Tenant", "Lagoonpoint-Deadline-Ms", "Host",
          "Content-Length"})
      Repeated = Repeated || Request.count(Name) > 1;
    if (Attempt.empty() || Repeated)
      return text(400, Echo + "Lagoonpoint-Not-Executed: 1\r\n", "");
    if (!Target.empty() && Target != Id_)
      return text(421, Echo + "Lagoonpoint-Not-Executed: 1\r\n", "");
    Runs_.add({nowMs(), Id_, Zone_, Request});
    sleepMs(WorkMs_);
    return text(200, Echo + "Lagoonpoint-Response-Seal: s-" + Attempt + "\r\n",
                "answer of " + Id_ + " to " + Attempt);
  }

  static std::string text(int Status, const std::string &Fields,
                          const std::string &Body) {
    return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Fields +
           "Keep-Alive: timeout=10\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

  void heartbeatLoop() {
    std::int64_t Born = unixMs();
    std::vector<Machine *> Cores = Deployment_.cores();
    std::size_t To = 0;
    for (int Sequence = 1;; ++Sequence) {
      std::string Body =
          "{\"service\":\"" + Service_ + "\",\"address\":\"" + Ip_ + ":" +
          std::to_string(InstancePort) + "\",\"zone\":\"" + Zone_ +
          "\",\"version\":\"v1\",\"slots\":" + std::to_string(Slots_) +
          ",\"state\":\"ready\","
          "\"warmupLeft\":\"0ms\",\"sequence\":" +
          std::to_string(Sequence) + ",\"born\":" + std::to_string(Born) + "}";
      auto Answer = call(Cores[To % Cores.size()]->Ip_, ControlPort,
                         rpcText("instances.heartbeat", Id_, Body));
      bool Accepted = Answer && Answer->status() == 200;
      Acknowledged_ = Acknowledged_ || Accepted;
      To += Accepted ? 0 : 1;
      sleepMs(Accepted ? 1500 : 200);
    }
  }

  Deployment &Deployment_;
  Runs &Runs_;
  const std::string Id_;
  const std::string Service_;
  const std::string Zone_;
  const std::string Ip_;
  const int Slots_;
  const int WorkMs_;
  int Listener_ = -1;
  std::atomic<bool> Acknowledged_{false};
};

/// A client's request.
struct Request {
  std::string Method_ = "GET";
  std::string Path_;
  std::string Attempt_;
  std::string Key_; ///< empty: none is sent
  std::string Fields_;
  std::string Body_;

  std::string head() const {
    std::string Text = Method_ + " " + Path_ +
                       " HTTP/1.1\r\nHost: review.example\r\n" + Fields_ +
                       "Lagoonpoint-Attempt-Id: " + Attempt_ +
                       "\r\nLagoonpoint-Deadline-Ms: 3000\r\n";
    if (!Key_.empty())
      Text += "Lagoonpoint-Credential: " + Key_ + "\r\n";
    if (Method_ != "GET")
      Text += "Content-Length: " + std::to_string(Body_.size()) + "\r\n";
    return Text + "\r\n";
  }
};

/// Sends a request until it is answered 200, to show that the deployment
/// serves.
inline bool waitServed(const Machine &Edge, Request R, int TimeoutMs,
                       Record &Out) {
  std::int64_t Until = nowMs() + TimeoutMs;
  for (int Try = 1; nowMs() < Until; ++Try) {
    Request Each = R;
    Each.Attempt_ = R.Attempt_ + std::to_string(Try);
    auto Answer = call(Edge.Ip_, FrontendPort, Each.head() + Each.Body_, 3500);
    Out.line("client: " + Each.Path_ + ", attempt " + Each.Attempt_ + ": " +
             (Answer ? std::to_string(Answer->status()) : "no answer"));
    if (Answer && Answer->status() == 200)
      return true;
    sleepMs(300);
  }
  return false;
}

/// Runs a case and ends the program at once, also with threads that still wait.
/// \param Body gets the record; returns the exit code
inline int runCase(int Count, char **Arguments,
                   const std::function<int(Record &)> &Body) {
  if (Count != 2)
    return CouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  nowMs();
  int Result = CouldNotRun;
  Record Out(Arguments[1]);
  try {
    Result = Body(Out);
  } catch (const std::exception &E) {
    Out.line(std::string("could not run: ") + E.what());
  }
  cleanup()();
  Out.line("exit code " + std::to_string(Result));
  std::cout << (Result == Held     ? "the rule held"
                : Result == Broken ? "the rule was broken"
                                   : "could not run")
            << ", see record.txt" << std::endl;
  ::_exit(Result);
}

} // namespace review
