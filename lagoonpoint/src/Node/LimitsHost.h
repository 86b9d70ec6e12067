#pragma once

#include "lagoonpoint/Limits"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"
#include "lagoonpoint/src/Node/ReplicaHost.h"

#include <array>
#include <condition_variable>
#include <memory>
#include <set>

namespace lagoonpoint {

/// \class LimitsHost
/// \ingroup Node
/// \brief The lease shards of this VM, each with its own lock, and the calls
/// that wait for leases. Thread-safe.
class LimitsHost {
public:
  LimitsHost(const VmId &Self, Incarnation I, const Clock &C, Transport &T);

  /// Takes \p Cost units. Waits until \p Deadline for a lease if none covers
  /// them.
  /// \throws Refusal with OverRate
  void take(const QuantityId &Id, double Cost, Time Deadline);

  void setDeclarations(const ActiveDeclarations &F);
  /// To be called once every VM that could use a revision before \p R has
  /// confirmed \p R.
  void setSettled(Revision R);
  void setLeader(const LeaderView &View);

  void receive(const Envelope &Message);
  void tick();
  /// Returns all leases to their authority.
  void releaseAll();

private:
  struct LockedShard {
    std::mutex Lock_;
    std::condition_variable Completed_;
    std::unique_ptr<LeaseShard> Shard_;
    std::map<std::uint64_t, TakeResult> Results_; ///< of completed waits
    std::set<std::uint64_t> Waiting_;
  };

  /// Stores the results of completed waits and returns the shard's outgoing
  /// messages. The shard's lock must be held.
  std::vector<Envelope> collectResults(LockedShard &S);
  void send(std::vector<Envelope> Messages);
  TakeResult awaitTicket(LockedShard &S, std::unique_lock<std::mutex> &Guard,
                         std::uint64_t Ticket, Time Deadline);

  const Clock &Clock_;
  Transport &Transport_;
  std::array<LockedShard, LeaseShard::Shards> Shards_;
};

} // namespace lagoonpoint
