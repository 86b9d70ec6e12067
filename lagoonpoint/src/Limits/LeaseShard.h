#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Limits/LeaseAuthority.h"
#include "lagoonpoint/src/Limits/LeaseHolder.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonpoint {

/// \class LeaseShard
/// \ingroup Limits
/// \brief Holders and authorities of the quantities of one shard, and their
/// messages.
///
/// Not thread-safe: the caller holds one lock per shard. Quantities are
/// distributed over a fixed number of shards, the same on every VM. Call tick()
/// at least every 50 ms and after each take() that waits, send the messages of
/// takeOutbox(), and resume the waiting calls of takeCompleted().
class LeaseShard {
public:
  /// Number of shards on every VM; part of the protocol.
  static constexpr unsigned Shards = 16;

  static unsigned shardOf(const QuantityId &Id);
  /// \returns the shard that a message is addressed to.
  /// \throws CodecError if there is no such shard
  static unsigned shardOf(const Envelope &Message);

  /// \param Restarted true if a process of this VM may have run before
  LeaseShard(unsigned Shard, VmId Self, Incarnation I, bool Restarted,
             Time Now);

  /// Applies a newer revision. After a start, pass the settled revision first,
  /// then the one in force.
  void setDeclarations(const Declarations &D, Revision R, Time Now);

  /// Marks \p R as settled: every VM that could use an older revision has
  /// confirmed \p R or a later one. Old floors are dropped after all cessions
  /// of them have expired.
  void setSettled(Revision R, Time Now);

  /// Sets the authority of all quantities of a kind.
  void setAuthority(QuantityKind Kind, const VmId &Authority, Term T, Time Now);
  /// Sets the authority of one quantity.
  void setAuthority(const QuantityId &Id, const VmId &Authority, Term T,
                    Time Now);

  /// Makes this VM the authority of all quantities of a kind until \p Until by
  /// its own clock. Call again to extend. Includes setAuthority().
  void lead(QuantityKind Kind, Term T, Time Until, Time Now);
  /// Makes this VM the authority of one quantity.
  void lead(const QuantityId &Id, Term T, Time Until, Time Now);
  void stepDown(QuantityKind Kind, Time Now);

  /// Takes units of a quantity.
  /// \returns Taken, Exhausted, or Waiting with a ticket that takeCompleted()
  /// will return
  TakeResult take(const QuantityId &Id, double Cost, Time Deadline, Time Now);

  /// \returns the waits that completed since the last call, in order.
  std::vector<TakeResult> takeCompleted();

  void tick(Time Now);
  /// \throws CodecError if the message is malformed; nothing is changed then
  void receive(const Envelope &Message, Time Now);
  std::vector<Envelope> takeOutbox();

  /// Returns all leases, as a VM does before it leaves the fleet.
  void releaseAll(Time Now);

  const LeaseHolder *holder(const QuantityId &Id) const;
  const LeaseAuthority *authority(const QuantityId &Id) const;

private:
  struct Settling {
    Revision Revision_;
    Time At_;
  };

  void declare(const QuantityId &Id, const Allotment &A, Time Now);
  void applySettled(Time Now);
  void advance(LeaseHolder &H, Time Now);
  void sendRequest(const VmId &To, LeaseRequest Request, Time Now);
  void onRequest(const VmId &From, const LeaseRequest &Request, Time Now);
  void onGrant(const LeaseGrant &G, Time Now);

  unsigned Shard_;
  VmId Self_;
  Incarnation Incarnation_;
  Time CededUntil_; ///< cessions of an earlier process have ended by then
  bool Restarted_;
  Time Started_;
  LeaseTiming Timing_;
  Revision Revision_;
  std::optional<Settling> Settling_;
  Revision Settled_;
  std::map<QuantityId, LeaseHolder> Holders_;
  std::map<QuantityId, LeaseAuthority> Authorities_;
  std::map<VmId, LeaseBatch> Outbox_;
  std::vector<TakeResult> Completed_;
  std::uint64_t NextTicket_ = 0;
};

} // namespace lagoonpoint
