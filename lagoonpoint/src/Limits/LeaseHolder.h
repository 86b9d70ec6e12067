#pragma once

#include "lagoonpoint/src/Limits/LeaseMessages.h"
#include "lagoonpoint/src/Limits/LeaseTiming.h"
#include "lagoonpoint/src/Limits/util/CededFloors.h"

#include <deque>
#include <optional>
#include <vector>

namespace lagoonpoint {

/// Result of taking units: taken, waiting for the authority, or none left.
enum class TakeStatus : std::uint8_t { Taken, Waiting, Exhausted };

/// \class TakeResult
/// \ingroup Limits
/// \brief Result of take(); the ticket identifies a waiting call.
struct TakeResult {
  TakeStatus Status_ = TakeStatus::Exhausted;
  std::uint64_t Ticket_ = 0;
  Duration RetryAfter_; ///< if exhausted: when units may be available again
};

/// \class LeaseHolder
/// \ingroup Limits
/// \brief One VM's share of one quantity: its floor, its lease, and the token
/// bucket that both refill.
///
/// A plain struct, modified by the functions below. The bucket has the rate and
/// the burst of (floor - ceded floor + unexpired lease).
struct LeaseHolder {
  struct RevisionFloor {
    Revision Revision_;
    Amount Floor_;
  };
  struct PendingRequest {
    std::uint64_t Sequence_ = 0;
    Time SentAt_;
    double Ceiling_ = 0; ///< bucket limit until the grant arrives
  };
  struct Waiter {
    std::uint64_t Ticket_ = 0;
    double Cost_ = 0;
    Time Until_;
    std::uint64_t AfterSequence_ =
        0; ///< refused if a later request finds the pool exhausted
  };

  QuantityId Id_;
  Incarnation Incarnation_;
  LeaseTiming Timing_;
  std::vector<RevisionFloor>
      Floors_;       ///< in revision order, from the settled one on
  Revision Settled_; ///< no VM uses an older revision
  internal::CededFloors Ceded_;

  VmId Authority_; ///< empty while none is known
  Term Term_;
  std::int64_t Timestamp_ = 0; ///< of the last grant in Term_, 0 if none
  LeasedAmount Lease_;
  Time LeaseUntil_;
  std::uint64_t AcceptedSequence_ = 0; ///< request that Lease_ was granted for
  Amount Target_;                      ///< set by the authority
  std::uint64_t Sequence_ = 0;
  std::optional<PendingRequest> Pending_;
  unsigned UnansweredRequests_ = 0; ///< consecutive requests that timed out
  Time NextRenewal_;
  Time ExhaustedUntil_; ///< earliest next request, set by the authority

  double Tokens_ = 0;
  Time UpdatedAt_;
  double Overflow_ = 0; ///< units lost to a full bucket since the last request
  double RequestedUnits_ = 0; ///< units requested since DemandUpdatedAt_
  double Demand_ = 0;         ///< units per second, smoothed
  Time DemandUpdatedAt_;
  std::deque<Waiter> Waiting_;
};

/// Creates a holder with an empty bucket and no floor.
/// \ingroup Limits
LeaseHolder makeHolder(const QuantityId &Id, Incarnation I, LeaseTiming Timing,
                       Time Now);

/// Adds the floor of a newer revision. A smaller floor takes effect at once, a
/// larger one when the older revisions have been dropped. There is no floor
/// until a settled revision is known.
/// \ingroup Limits
/// \param CededUntil time until which an earlier process of this VM may have
/// ceded the floor; Time() if there was none
void addFloor(LeaseHolder &H, Revision R, Amount Floor, Time CededUntil,
              Time Now);

/// Drops the floors of revisions before \p R, which no VM uses any more.
/// \ingroup Limits
void dropFloorsBefore(LeaseHolder &H, Revision R, Time Now);

/// Sets the VM that grants leases. A lower term is ignored.
/// \ingroup Limits
void setAuthority(LeaseHolder &H, const VmId &Authority, Term T, Time Now);

/// \returns the floor less what is ceded at \p Now.
Amount usableFloor(const LeaseHolder &H, Time Now);
/// \returns the leased amount, zero once the lease has expired.
Amount liveLease(const LeaseHolder &H, Time Now);

/// Takes \p Cost units, or queues the call until the authority grants more.
/// \ingroup Limits
/// \param Ticket identifies the call if it has to wait
/// \param Deadline of the call
TakeResult take(LeaseHolder &H, std::uint64_t Ticket, double Cost,
                Time Deadline, Time Now);

/// Completes the waiting calls that can be served or have to be refused. Calls
/// are served in order of arrival.
/// \ingroup Limits
/// \returns their tickets, each Taken or Exhausted
std::vector<TakeResult> completeWaits(LeaseHolder &H, Time Now);

/// \returns the lease request to send now, if one is due.
/// \ingroup Limits
std::optional<LeaseRequest> nextLeaseRequest(LeaseHolder &H, Time Now);

/// Applies a grant. One that doesn't answer the pending request is ignored.
/// \ingroup Limits
void acceptGrant(LeaseHolder &H, const LeaseGrant &G, Time Now);

/// Ends the lease before it expires and returns its tokens.
/// \ingroup Limits
/// \returns the message to send to the authority, nothing if there was no lease
std::optional<LeaseReturn> releaseLease(LeaseHolder &H, Time Now);

} // namespace lagoonpoint
