#pragma once

#include "fakes/FakeDisk.h"
#include "fakes/FakeNetwork.h"
#include "lagoonpoint/Replication"

namespace lagoonpoint::fakes {

/// A few replicas whose state machine is the list of the committed commands.
class ReplicaGroup {
public:
  struct Member {
    FakeDisk Disk_;
    std::unique_ptr<DiskStorage> Storage_;
    std::unique_ptr<Replica> Replica_;
    std::vector<std::string> Applied_;
  };

  ReplicaGroup(std::vector<VmId> First, const std::vector<VmId> &All)
      : InitialVoters_(std::move(First)) {
    Net_.setDelay(Duration::millis(30));
    for (const VmId &Vm : All)
      start(Vm);
  }

  FakeNetwork Net_;
  ReplicationLimits Limits_;
  Time Now_;

  Member &operator[](const char *Vm) { return Members_.at(VmId(Vm)); }

  void start(const VmId &Vm) {
    Member &M = Members_[Vm];
    M.Applied_.clear();
    M.Replica_.reset();
    M.Storage_ = std::make_unique<DiskStorage>(M.Disk_, DiskId(++LastDisk_));
    ReplicaOptions Options;
    Options.Self_ = Vm;
    Options.InitialVoters_ = InitialVoters_;
    Options.Limits_ = Limits_;
    Options.Seed_ = LastDisk_;
    M.Replica_ = std::make_unique<Replica>(Options, *M.Storage_, Now_);
  }

  void stop(const char *Vm) { (*this)[Vm].Replica_.reset(); }

  void run(Duration For) {
    constexpr Duration Step = Duration::millis(10);
    for (Time End = Now_ + For; Now_ < End; Now_ = Now_ + Step) {
      for (const Envelope &E : Net_.takeDue(Now_))
        if (Members_[E.To_].Replica_)
          Members_[E.To_].Replica_->receive(E, Now_);
      for (auto &Entry : Members_)
        if (Entry.second.Replica_)
          pump(Entry.second);
    }
  }

  /// \returns the leader that holds a valid lease; null if there is none.
  Replica *leader() {
    for (auto &[Vm, M] : Members_)
      if (M.Replica_ && M.Replica_->leaseValid(Now_))
        return M.Replica_.get();
    return nullptr;
  }

private:
  void pump(Member &M) {
    M.Replica_->tick(Now_);
    for (CommittedItem &Item : M.Replica_->takeCommitted()) {
      if (Item.IsSnapshot_)
        M.Applied_ = decode<std::vector<std::string>>(Item.Bytes_, "test", "");
      else
        M.Applied_.push_back(std::move(Item.Bytes_));
    }
    if (M.Replica_->wantsSnapshot())
      M.Replica_->snapshot(encode(M.Applied_), Now_);
    for (Envelope &E : M.Replica_->takeOutbox())
      Net_.send(Now_, std::move(E));
  }

  std::vector<VmId> InitialVoters_;
  std::map<VmId, Member> Members_;
  std::uint64_t LastDisk_ = 0;
};

} // namespace lagoonpoint::fakes
