// Guards against a fault that lasts longer than its cause: a replica that was
// refused one write never wrote again, and three full disks, one after the
// other, ended the control plane.
#include "lagoonpoint/src/Node/ReplicaHost.h"
#include "fakes/FakeDisk.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <thread>

using namespace lagoonpoint;

namespace {

/// A disk that can be filled up by another thread. The write that meets the
/// limit may be cut short.
class LimitedFiles final : public Files {
public:
  std::atomic<bool> Full_{false};
  std::atomic<bool> CutsWrites_{false};

  std::vector<std::string> list() override { return Disk_.list(); }
  std::string read(const std::string &Name) override {
    return Disk_.read(Name);
  }
  void write(const std::string &Name, const std::string &Bytes) override {
    if (Full_ && CutsWrites_)
      Disk_.write(Name, Bytes.substr(0, Bytes.size() / 2));
    check(Name);
    Disk_.write(Name, Bytes);
  }
  void append(const std::string &Name, const std::string &Bytes) override {
    if (Full_ && CutsWrites_)
      Disk_.append(Name, Bytes.substr(0, Bytes.size() / 2));
    check(Name);
    Disk_.append(Name, Bytes);
  }
  void truncate(const std::string &Name, std::uint64_t Length) override {
    Disk_.truncate(Name, Length);
  }
  void sync(const std::string &Name) override { Disk_.sync(Name); }
  void rename(const std::string &From, const std::string &To) override {
    Disk_.rename(From, To);
  }
  void remove(const std::string &Name) override { Disk_.remove(Name); }
  void syncFolder() override { Disk_.syncFolder(); }

private:
  void check(const std::string &Name) const {
    if (Full_)
      throw DiskError("disk.write", Name, "No space left on device");
  }
  fakes::FakeDisk Disk_;
};

/// Replicas in one process that send each other messages directly.
class Cluster {
public:
  explicit Cluster(int Size) {
    for (int Number = 0; Number < Size; ++Number)
      Vms_.push_back(VmId("c" + std::to_string(Number)));
    for (const VmId &Vm : Vms_) {
      Node &N = Nodes_[Vm];
      N.Settings_.Vm_ = Vm;
      N.Settings_.InitialVoters_ = Vms_;
      N.Link_ = std::make_unique<Link>(*this);
      auto Folder = std::make_unique<LimitedFiles>();
      N.Disk_ = Folder.get();
      N.Host_ = std::make_unique<ReplicaHost>(
          N.Settings_, Clock_, *N.Link_,
          [&N](const Catalog &State, const Change *) {
            N.WentBack_ = N.WentBack_ || State.Revision_ < N.Revision_;
            N.Revision_ = State.Revision_;
          },
          std::move(Folder));
    }
    for (auto &[Vm, N] : Nodes_)
      N.Host_->start();
  }
  ~Cluster() {
    for (auto &[Vm, N] : Nodes_)
      N.Host_->stop();
  }

  LimitedFiles &disk(int Number) { return *Nodes_.at(Vms_[at(Number)]).Disk_; }
  bool runs(int Number) {
    return Nodes_.at(Vms_[at(Number)]).Host_->status().Fault_.empty();
  }
  bool wentBack() const {
    bool Any = false;
    for (const auto &[Vm, N] : Nodes_)
      Any = Any || N.WentBack_;
    return Any;
  }
  Revision revision(int Number) {
    return Nodes_.at(Vms_[at(Number)]).Host_->read([](const Catalog &State) {
      return State.Revision_;
    });
  }

  /// Sends a change to all replicas until one accepts it.
  bool accepts(const std::string &Key) {
    Change C;
    C.Id_ = ChangeId("change-" + Key);
    C.Kind_ = ChangeKind::WithdrawKey;
    C.Key_.Id_ = KeyId(Key);
    auto Accepted = std::make_shared<std::atomic<bool>>(false);
    return eventually([&] {
      for (auto &[Vm, N] : Nodes_)
        N.Host_->submit(C, [Accepted](const SubmitResult &Result) {
          *Accepted = *Accepted || Result.Decided_;
        });
      return Accepted->load();
    });
  }

  template <class Condition> static bool eventually(Condition Holds) {
    constexpr int MaxSteps = 1000; // of 10 ms
    for (int Step = 0; Step < MaxSteps; ++Step) {
      if (Holds())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

private:
  class Link final : public Transport {
  public:
    explicit Link(Cluster &Of) : Cluster_(Of) {}
    void send(Envelope Message) override {
      ReplicaHost &To = *Cluster_.Nodes_.at(Message.To_).Host_;
      To.receive(std::move(Message));
    }

  private:
    Cluster &Cluster_;
  };
  struct Node {
    Settings Settings_;
    std::unique_ptr<Link> Link_;
    LimitedFiles *Disk_ = nullptr;
    Revision Revision_; ///< used on the replica's thread
    std::atomic<bool> WentBack_{false};
    std::unique_ptr<ReplicaHost> Host_;
  };

  static std::size_t at(int Number) { return static_cast<std::size_t>(Number); }

  SystemClock Clock_;
  std::vector<VmId> Vms_;
  std::map<VmId, Node> Nodes_;
};

} // namespace

TEST_CASE("A replica whose disk was full writes again once it has room") {
  bool CutsWrites = GENERATE(false, true);
  INFO("the refused write is cut short: " << CutsWrites);
  Cluster C(1);
  REQUIRE(C.accepts("first"));
  REQUIRE(C.accepts("second"));
  Revision Before = C.revision(0);
  C.disk(0).CutsWrites_ = CutsWrites;
  C.disk(0).Full_ = true;
  auto Accepted =
      std::async(std::launch::async, [&] { return C.accepts("third"); });
  CHECK(Cluster::eventually([&] { return !C.runs(0); }));
  // Long enough for several attempts to open the folder.
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  CHECK_FALSE(C.runs(0));
  CHECK(C.revision(0) == Before);
  C.disk(0).Full_ = false;
  CHECK(Accepted.get());
  CHECK(C.runs(0));
  CHECK(C.revision(0) == Before.next());
  CHECK_FALSE(C.wentBack());
}

TEST_CASE("Disks that fill up one after the other leave a control plane") {
  Cluster C(3);
  REQUIRE(C.accepts("first"));
  for (int Number = 0; Number < 3; ++Number) {
    C.disk(Number).Full_ = true;
    CHECK(C.accepts("while-" + std::to_string(Number)));
    CHECK(Cluster::eventually([&] { return !C.runs(Number); }));
    C.disk(Number).Full_ = false;
    CHECK(Cluster::eventually([&] { return C.runs(Number); }));
  }
  CHECK(C.accepts("last"));
  CHECK(Cluster::eventually([&] {
    return C.revision(0) == C.revision(1) && C.revision(1) == C.revision(2);
  }));
  CHECK_FALSE(C.wentBack());
}
