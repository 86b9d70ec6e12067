// Guards against a fault that lasts longer than its cause: a replica that was
// refused one write never wrote again, and three full disks, one after the
// other, ended the control plane.
#include "lagoonpoint/src/Node/ReplicaHost.h"
#include "fakes/FakeDisk.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
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

  /// Sends changes to all replicas, one right after the other, until the leader
  /// has decided all of them.
  std::vector<ChangeVerdict> verdicts(const std::vector<Change> &Changes) {
    struct Results {
      std::mutex Lock_;
      std::map<ChangeId, ChangeVerdict> All_;
    };
    auto Decided = std::make_shared<Results>();
    REQUIRE(eventually([&] {
      for (auto &[Vm, N] : Nodes_)
        for (const Change &C : Changes)
          N.Host_->submit(C, [Decided, Id = C.Id_](const SubmitResult &R) {
            std::lock_guard Guard(Decided->Lock_);
            if (R.Decided_)
              Decided->All_.emplace(Id, R.Reply_.Verdict_);
          });
      std::lock_guard Guard(Decided->Lock_);
      return Decided->All_.size() == Changes.size();
    }));
    std::vector<ChangeVerdict> Out;
    for (const Change &C : Changes)
      Out.push_back(Decided->All_.at(C.Id_));
    return Out;
  }
  ItemSet items() {
    return Nodes_.begin()->second.Host_->read(
        [](const Catalog &State) { return State.Items_; });
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

Change patch(const std::string &Id, ItemSet Items) {
  Change C;
  C.Id_ = ChangeId(Id);
  C.Kind_ = ChangeKind::PatchItems;
  C.Items_ = std::move(Items);
  return C;
}

void setService(ItemSet &Items, const char *Name, std::uint64_t Version) {
  Items.Services_[Name].Version_ = ItemVersion(Version);
  Items.Services_[Name].Value_.HealthPath_ = "/health";
}

void removeService(ItemSet &Items, const char *Name, std::uint64_t Version) {
  Items.Services_[Name].Version_ = ItemVersion(Version);
  Items.Services_[Name].Removed_ = true;
}

void setRoute(ItemSet &Items, const char *Service, std::uint64_t Version) {
  VersionedItem<RouteItem> &R = Items.Routes_["lookup"];
  R.Version_ = ItemVersion(Version);
  R.Value_.Prefix_ = "/lookup/";
  R.Value_.Split_ = {{ServiceId(Service), 1}};
  R.Value_.Timeout_ = Duration::seconds(1);
}

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

TEST_CASE("Patches that are under way together are checked one by one") {
  Cluster C(3);
  ItemSet First;
  setService(First, "register", 1);
  setService(First, "ledger", 1);
  setRoute(First, "ledger", 1);
  REQUIRE(C.verdicts({patch("first", First)}) ==
          std::vector{ChangeVerdict::Accepted});

  SECTION("so that no route is left without its service") {
    ItemSet Move;
    setRoute(Move, "register", 2);
    ItemSet Remove;
    removeService(Remove, "register", 2);
    auto Verdicts = C.verdicts({patch("move", Move), patch("remove", Remove)});
    // Whichever the leader met first is in force.
    CHECK(Verdicts[0] != Verdicts[1]);
    ItemSet Left = C.items();
    const RouteItem *Route = findItem(Left.Routes_, "lookup");
    REQUIRE(Route);
    CHECK(findItem(Left.Services_, Route->Split_.front().Service_.str()));
  }
  SECTION("and a resend that is overtaken meanwhile is accepted") {
    ItemSet Overtaking;
    setRoute(Overtaking, "ledger", 5);
    removeService(Overtaking, "register", 6);
    ItemSet Late;
    setRoute(Late, "register", 2);
    setService(Late, "more", 2);
    CHECK(C.verdicts({patch("overtaking", Overtaking), patch("late", Late)}) ==
          std::vector{ChangeVerdict::Accepted, ChangeVerdict::Accepted});
    ItemSet Left = C.items();
    CHECK(findItem(Left.Services_, "more"));
    CHECK_FALSE(findItem(Left.Services_, "register"));
  }
}
