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
/// \brief Holders and authorities of the quantities of one shard, with their
/// messages.
///
/// Not thread-safe: the caller keeps one lock a shard. Quantities are spread
/// over a fixed number of shards, the same on every VM. Call tick() at least
/// every 50 ms and after each take() that waits; send what takeOutbox() gives;
/// end the waits that takeCompleted() names.
class LeaseShard {
public:
  /// Number of shards on every VM; part of the protocol.
  static constexpr unsigned Shards = 16;

  static unsigned shardOf(const QuantityId &Id);
  /// \returns the shard a message is for.
  /// \throws CodecError if it names none
  static unsigned shardOf(const Envelope &Message);

  /// \param Restarted true unless no process of this VM ever ran before
  LeaseShard(unsigned Shard, VmId Self, Incarnation I, bool Restarted,
             Time Now);

  /// Takes in a newer revision. After a start, give the settled revision
  /// first, then the one in force.
  void setDeclarations(const Declarations &D, Revision R, Time Now);

  /// Every VM that could use a revision before \p R has confirmed \p R or
  /// later. Old floors are dropped once promises on them have run out.
  void setSettled(Revision R, Time Now);

  /// Names the authority of all quantities of a kind.
  void setAuthority(QuantityKind Kind, const VmId &Authority, Term T, Time Now);
  /// Names the authority of one quantity.
  void setAuthority(const QuantityId &Id, const VmId &Authority, Term T,
                    Time Now);

  /// This VM is the authority of all quantities of a kind until \p Until by
  /// its own clock; call again to prolong. Includes setAuthority().
  void lead(QuantityKind Kind, Term T, Time Until, Time Now);
  /// Same for one quantity.
  void lead(const QuantityId &Id, Term T, Time Until, Time Now);
  void stepDown(QuantityKind Kind, Time Now);

  /// Takes units of a quantity.
  /// \returns Taken, Dry, or Waiting with a ticket that takeCompleted() will
  /// name
  TakeResult take(const QuantityId &Id, double Cost, Time Deadline, Time Now);

  /// \returns the waits that ended since the last call, in order.
  std::vector<TakeResult> takeCompleted();

  void tick(Time Now);
  /// \throws CodecError if the message is malformed; nothing is changed then
  void receive(const Envelope &Message, Time Now);
  std::vector<Envelope> takeOutbox();

  /// Hands all leases back, as a VM does before it leaves.
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
  Time CededUntil_; ///< of what an earlier process may have set aside
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
