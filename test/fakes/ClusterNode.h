#pragma once

#include "fakes/FakeDisk.h"
#include "lagoonpoint/Catalog"
#include "lagoonpoint/Replication"

#include <deque>

namespace lagoonpoint::fakes {

/// One VM with its disk, replica and state machine.
struct ClusterNode {
  VmId Id_;
  FakeDisk Disk_;
  std::uint64_t Starts_ = 0;
  double ClockRate_ = 1; ///< clock rate relative to true time
  std::unique_ptr<DiskStorage> Storage_;
  std::unique_ptr<Replica> Replica_;
  Catalog Catalog_;
  std::deque<Envelope> Queue_;
  std::map<LogIndex, std::pair<Term, std::size_t>> PendingProposals_;
  Time BusyUntil_;
  Time RestartAt_;
  bool PermanentlyDown_ = false; ///< never restarts

  bool isUp() const { return Replica_ != nullptr; }
  bool isLeader() const { return isUp() && Replica_->isLeader(); }
};

} // namespace lagoonpoint::fakes
