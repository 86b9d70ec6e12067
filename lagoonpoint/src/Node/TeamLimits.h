#pragma once

#include "lagoonpoint/Limits"
#include "lagoonpoint/src/Node/InForce.h"
#include "lagoonpoint/src/Node/ReplicaHost.h"

#include <array>
#include <condition_variable>
#include <memory>
#include <set>

namespace lagoonpoint {

/// \class TeamLimits
/// \ingroup Node
/// \brief The lease shards of this VM, each under its own lock, with calls
/// that wait on them.
class TeamLimits {
public:
  TeamLimits(const VmId &Self, Incarnation I, const Clock &C, Transport &T);

  /// Takes \p Cost units, waiting for a lease until \p Deadline if need be.
  /// \throws Refusal with OverRate
  void take(const QuantityId &Id, double Cost, Time Deadline);

  void setInForce(const InForce &F);
  /// Every VM that could use a revision before \p R has confirmed \p R.
  void settle(Revision R);
  void setLeader(const LeaderView &View);

  void receive(const Envelope &Message);
  void tick();
  /// Hands all leases back.
  void giveBackAll();

private:
  struct Slot {
    std::mutex Lock_;
    std::condition_variable Ended_;
    std::unique_ptr<LeaseShard> Shard_;
    std::map<std::uint64_t, TakeResult> Results_; ///< of ended waits
    std::set<std::uint64_t> Waiting_;
  };

  /// Collects ended waits and the outbox. The slot's lock is held.
  std::vector<Envelope> collect(Slot &S);
  void send(std::vector<Envelope> Messages);
  TakeResult awaitTicket(Slot &S, std::unique_lock<std::mutex> &Guard,
                         std::uint64_t Ticket, Time Deadline);

  const Clock &Clock_;
  Transport &Transport_;
  std::array<Slot, LeaseShard::Shards> Slots_;
};

} // namespace lagoonpoint
