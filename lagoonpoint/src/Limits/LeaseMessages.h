#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <vector>

namespace lagoonpoint {

/// \class Lent
/// \ingroup Limits
/// \brief A leased amount by what backs it.
struct Lent {
  Amount Firm_; ///< from the part of the whole that is no VM's floor
  Amount Soft_; ///< from floors that other VMs have set aside

  Amount total() const { return Firm_ + Soft_; }
  MSGPACK_DEFINE(Firm_, Soft_)
};

/// Holder to authority: renews a lease and sets unused floor aside.
struct LeaseAsk {
  QuantityId Quantity_;
  Incarnation Incarnation_;       ///< of the holder's process
  std::uint64_t Sequence_ = 0;    ///< of this holder's asks and returns
  Term Term_;                     ///< of the authority asked
  std::uint64_t Accepted_ = 0;    ///< ask whose grant the holder lives on
  Lent Keep_;                     ///< what it still uses of that grant
  internal::WireNumber Returned_; ///< tokens that move to the authority
  internal::WireNumber Demand_;   ///< units a second that callers want here
  internal::WireNumber Need_;     ///< units that callers wait for now
  internal::WireNumber
      Room_;     ///< tokens it can take beyond its leased burst; may be < 0
  Amount Own_;   ///< floor not set aside
  Amount Aside_; ///< floor it won't use ...
  Duration AsideFor_;      ///< ... for this long from its sending
  std::int64_t Stamp_ = 0; ///< of the last grant received in this term
  MSGPACK_DEFINE(Quantity_, Incarnation_, Sequence_, Term_, Accepted_, Keep_,
                 Returned_, Demand_, Need_, Room_, Own_, Aside_, AsideFor_,
                 Stamp_)
};

/// Authority to holder: the answer to one ask.
struct LeaseGrant {
  QuantityId Quantity_;
  Incarnation Incarnation_; ///< of the holder asked by
  std::uint64_t Sequence_ = 0;
  Term Term_;
  Lent Lent_;                   ///< replaces the lease held so far
  Duration For_;                ///< from the sending of the ask
  internal::WireNumber Tokens_; ///< that move to the holder
  Amount Target_;    ///< what the VM should use, of its floor and by lease
  Duration RetryIn_; ///< when a dry holder may ask again
  std::int64_t Stamp_ = 0; ///< the authority's time; echoed, never compared
  MSGPACK_DEFINE(Quantity_, Incarnation_, Sequence_, Term_, Lent_, For_,
                 Tokens_, Target_, RetryIn_, Stamp_)
};

/// Holder to authority: ends a lease early and moves its tokens back.
struct LeaseReturn {
  QuantityId Quantity_;
  Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
  Term Term_;
  internal::WireNumber Tokens_;
  MSGPACK_DEFINE(Quantity_, Incarnation_, Sequence_, Term_, Tokens_)
};

/// Messages of one shard from one VM to another.
struct LeaseBatch {
  std::vector<LeaseAsk> Asks_;
  std::vector<LeaseGrant> Grants_;
  std::vector<LeaseReturn> Returns_;
  MSGPACK_DEFINE(Asks_, Grants_, Returns_)
};

} // namespace lagoonpoint
