#pragma once

#include "lagoonpoint/src/Limits/Quantity.h"

#include <vector>

namespace lagoonpoint {

/// \class LeasedAmount
/// \ingroup Limits
/// \brief A leased amount, split by its source.
struct LeasedAmount {
  Amount FromBase_;   ///< from the part of the total that is no VM's floor
  Amount FromFloors_; ///< from floors that other VMs have ceded

  Amount total() const { return FromBase_ + FromFloors_; }
  MSGPACK_DEFINE(FromBase_, FromFloors_)
};

/// Holder to authority: requests or renews a lease and cedes unused floor.
struct LeaseRequest {
  QuantityId Quantity_;
  Incarnation Incarnation_;    ///< of the holder's process
  std::uint64_t Sequence_ = 0; ///< of this holder's requests and returns
  Term Term_;                  ///< of the authority
  std::uint64_t AcceptedSequence_ = 0; ///< request whose grant the holder uses
  LeasedAmount Retained_;              ///< part of that grant still in use
  internal::WireNumber Returned_;      ///< tokens returned to the authority
  internal::WireNumber Demand_;       ///< units per second requested by callers
  internal::WireNumber WaitingUnits_; ///< units that calls are waiting for
  internal::WireNumber
      Headroom_;       ///< tokens that fit beyond the leased burst; may be < 0
  Amount UsableFloor_; ///< floor that is not ceded
  Amount CededFloor_;  ///< floor that the holder won't use ...
  Duration CededFor_;  ///< ... for this long after sending
  std::int64_t Timestamp_ =
      0; ///< of the last grant received in this term, 0 if none
  MSGPACK_DEFINE(Quantity_, Incarnation_, Sequence_, Term_, AcceptedSequence_,
                 Retained_, Returned_, Demand_, WaitingUnits_, Headroom_,
                 UsableFloor_, CededFloor_, CededFor_, Timestamp_)
};

/// Authority to holder: the answer to one request.
struct LeaseGrant {
  QuantityId Quantity_;
  Incarnation Incarnation_; ///< of the holder's process
  std::uint64_t Sequence_ = 0;
  Term Term_;
  LeasedAmount Lease_;          ///< replaces the previous lease
  Duration Length_;             ///< counted from when the request was sent
  internal::WireNumber Tokens_; ///< moved to the holder
  Amount Target_;       ///< that the VM should use, floor and lease together
  Duration RetryAfter_; ///< until a holder without tokens may request again
  std::int64_t Timestamp_ = 0; ///< authority's clock; echoed by the holder,
                               ///< which never compares it with its own
  MSGPACK_DEFINE(Quantity_, Incarnation_, Sequence_, Term_, Lease_, Length_,
                 Tokens_, Target_, RetryAfter_, Timestamp_)
};

/// Holder to authority: ends a lease early and returns its tokens.
struct LeaseReturn {
  QuantityId Quantity_;
  Incarnation Incarnation_;
  std::uint64_t Sequence_ = 0;
  Term Term_;
  internal::WireNumber Tokens_;
  MSGPACK_DEFINE(Quantity_, Incarnation_, Sequence_, Term_, Tokens_)
};

/// Messages of one shard between two VMs.
struct LeaseBatch {
  std::vector<LeaseRequest> Requests_;
  std::vector<LeaseGrant> Grants_;
  std::vector<LeaseReturn> Returns_;
  MSGPACK_DEFINE(Requests_, Grants_, Returns_)
};

} // namespace lagoonpoint
