#pragma once

#include "lagoonpoint/src/Once/OnceKey.h"
#include "lagoonpoint/src/Once/OnceMessages.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace lagoonpoint {

/// A call that waits for a claim or for the answer of the first call.
struct OnceWaiter {
  std::uint64_t Ticket_ = 0;
  Time Until_;
  bool MayForward_ = false;
};

/// \class OnceRecord
/// \ingroup Once
/// \brief What this VM remembers of one key.
struct OnceRecord {
  OnceKey Key_;
  OnceState State_ = OnceState::Claimed;
  OnceClaimId Claim_;
  std::string Digest_;
  std::optional<OnceResponse> Response_;

  // The rest is used by the claim's owner.
  std::set<std::pair<VmId, Incarnation>>
      ConfirmedBy_;                   ///< members that confirmed
  bool Contested_ = false;            ///< some member held another claim
  std::optional<OnceWaiter> Claimer_; ///< call that will run it
  std::vector<OnceWaiter> Waiters_;   ///< resends meanwhile
  std::set<VmId> UnackedMembers_; ///< members that don't have the outcome yet
  Time NextSendAt_;
  Time ResendUntil_;
};

} // namespace lagoonpoint
