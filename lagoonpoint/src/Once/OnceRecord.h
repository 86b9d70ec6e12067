#pragma once

#include "lagoonpoint/src/Once/OnceKey.h"
#include "lagoonpoint/src/Once/OnceMessages.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lagoonpoint {

/// A call that waits for a claim, or for the response to an earlier call.
struct OnceWaiter {
  std::uint64_t Ticket_ = 0;
  Time Until_;
  bool MayForward_ = false; ///< to the owner of another claim
};

/// \class OnceRecord
/// \ingroup Once
/// \brief State that a VM keeps for one key.
struct OnceRecord {
  OnceKey Key_;
  OnceState State_ = OnceState::Claimed;
  OnceClaimId Claim_;
  std::string Digest_;
  std::optional<OnceResponse> Response_;

  // The fields below are used by the claim's owner only.
  std::set<std::pair<VmId, Incarnation>>
      ConfirmedBy_;                   ///< members that confirmed
  bool Contested_ = false;            ///< a member holds another claim
  std::optional<OnceWaiter> Claimer_; ///< call that will be dispatched
  std::vector<OnceWaiter> Waiters_;   ///< resends that wait for its outcome
  std::set<VmId> UnackedMembers_;     ///< haven't acknowledged the outcome
  Time NextSendAt_;
  Time ResendUntil_;
};

} // namespace lagoonpoint
