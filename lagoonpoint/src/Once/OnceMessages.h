#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lagoonpoint {

/// State of a key on one VM.
enum class OnceState : std::uint8_t {
  Free = 1,       ///< the claim was released; the request did not run
  Claimed = 2,    ///< the owner may dispatch it once all members have confirmed
  Dispatched = 3, ///< the owner has sent it to an upstream or may have
  Answered = 4,   ///< it ran; the response may be stored
  Unknown = 5,    ///< it may have run; the result can't be determined
};

/// The stored response to a once-request.
struct OnceResponse {
  int Status_ = 0;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;

  friend bool operator==(const OnceResponse &, const OnceResponse &) = default;
  MSGPACK_DEFINE(Status_, Headers_, Body_)
};

/// Identifies one attempt of one process to claim a key.
struct OnceClaimId {
  VmId Owner_;
  Incarnation Incarnation_;
  std::uint64_t Attempt_ = 0; ///< increases over all claims of the process

  friend bool operator==(const OnceClaimId &, const OnceClaimId &) = default;
  MSGPACK_DEFINE(Owner_, Incarnation_, Attempt_)
};

/// Owner to members: requests the claim on a key.
struct OnceClaim {
  std::string Key_;
  std::string Digest_;
  OnceClaimId Claim_;
  MSGPACK_DEFINE(Key_, Digest_, Claim_)
};

/// A member's answer to a claim.
enum class OnceClaimStatus : std::uint8_t {
  Confirmed = 1,
  Taken = 2,   ///< another claim holds the key, or the request ran
  Expired = 3, ///< the key has expired by this member's clock
  Full = 4,    ///< the member's table is full
};

/// Member to owner: the answer to a claim.
struct OnceClaimAck {
  std::string Key_;
  OnceClaimId Claim_;
  Incarnation Incarnation_; ///< of the member's process
  OnceClaimStatus Status_ = OnceClaimStatus::Confirmed;
  VmId Holder_; ///< owner of the other claim, if Taken
  MSGPACK_DEFINE(Key_, Claim_, Incarnation_, Status_, Holder_)
};

/// Owner to members: a claim has ended as Free, Answered or Unknown.
struct OnceOutcome {
  std::string Key_;
  std::string Digest_;
  OnceClaimId Claim_;
  OnceState State_ = OnceState::Unknown;
  bool HasResponse_ = false; ///< Response_ is set
  OnceResponse Response_;
  MSGPACK_DEFINE(Key_, Digest_, Claim_, State_, HasResponse_, Response_)
};

/// Member to owner: acknowledges an outcome.
struct OnceOutcomeAck {
  std::string Key_;
  OnceClaimId Claim_;
  MSGPACK_DEFINE(Key_, Claim_)
};

/// Messages between two VMs.
struct OnceBatch {
  std::vector<OnceClaim> Claims_;
  std::vector<OnceClaimAck> ClaimAcks_;
  std::vector<OnceOutcome> Outcomes_;
  std::vector<OnceOutcomeAck> OutcomeAcks_;
  MSGPACK_DEFINE(Claims_, ClaimAcks_, Outcomes_, OutcomeAcks_)
};

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::OnceState)
MSGPACK_ADD_ENUM(lagoonpoint::OnceClaimStatus)
