#pragma once

#include "lagoonpoint/src/Peer/PeerCounters.h"

#include <mutex>

namespace lagoonpoint::internal {

/// \class SharedPeerCounters
/// \ingroup Peer
/// \brief Thread-safe PeerCounters.
class SharedPeerCounters {
public:
  void add(std::uint64_t PeerCounters::*Counter, std::uint64_t By = 1) {
    std::lock_guard Guard(Lock_);
    Counters_.*Counter += By;
  }
  PeerCounters read() const {
    std::lock_guard Guard(Lock_);
    return Counters_;
  }

private:
  mutable std::mutex Lock_;
  PeerCounters Counters_;
};

} // namespace lagoonpoint::internal
