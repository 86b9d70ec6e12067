#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <vector>

namespace lagoonpoint {

/// \class LeasedAmount
/// \ingroup Limits
/// \brief A leased amount by what backs it.
struct LeasedAmount {
  Amount FromBase_;   ///< from the part of the whole that is no VM's floor
  Amount FromFloors_; ///< from floors that other VMs have set aside

  Amount total() const { return FromBase_ + FromFloors_; }
  MSGPACK_DEFINE(FromBase_, FromFloors_)
};

/// Holder to authority: renews a lease and sets unused floor aside.
struct LeaseRequest {
  QuantityId Quantity_;
  Incarnation Incarnation_;            ///< of the holder's process
  std::uint64_t Sequence_ = 0;         ///< of this holder's asks and returns
  Term Term_;                          ///< of the authority asked
  std::uint64_t AcceptedSequence_ = 0; ///< ask whose grant the holder lives on
  LeasedAmount Retained_;              ///< what it still uses of that grant
  internal::WireNumber Returned_;      ///< tokens that move to the authority
  internal::WireNumber Demand_;       ///< units a second that callers want here
  internal::WireNumber WaitingUnits_; ///< units that callers wait for now
  internal::WireNumber
      Headroom_; ///< tokens it can take beyond its leased burst; may be < 0
  Amount UsableFloor_;         ///< floor not set aside
  Amount CededFloor_;          ///< floor it won't use ...
  Duration CededFor_;          ///< ... for this long from its sending
  std::int64_t Timestamp_ = 0; ///< of the last grant received in this term
  MSGPACK_DEFINE(Quantity_, Incarnation_, Sequence_, Term_, AcceptedSequence_,
                 Retained_, Returned_, Demand_, WaitingUnits_, Headroom_,
                 UsableFloor_, CededFloor_, CededFor_, Timestamp_)
};

/// Authority to holder: the answer to one ask.
struct LeaseGrant {
  QuantityId Quantity_;
  Incarnation Incarnation_; ///< of the holder asked by
  std::uint64_t Sequence_ = 0;
  Term Term_;
  LeasedAmount Lease_;          ///< replaces the lease held so far
  Duration Length_;             ///< from the sending of the ask
  internal::WireNumber Tokens_; ///< that move to the holder
  Amount Target_;       ///< what the VM should use, of its floor and by lease
  Duration RetryAfter_; ///< when a dry holder may ask again
  std::int64_t Timestamp_ = 0; ///< the authority's time; echoed, never compared
  MSGPACK_DEFINE(Quantity_, Incarnation_, Sequence_, Term_, Lease_, Length_,
                 Tokens_, Target_, RetryAfter_, Timestamp_)
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
  std::vector<LeaseRequest> Requests_;
  std::vector<LeaseGrant> Grants_;
  std::vector<LeaseReturn> Returns_;
  MSGPACK_DEFINE(Requests_, Grants_, Returns_)
};

} // namespace lagoonpoint
