#pragma once

#include "lagoonpoint/src/Limits/LeaseMessages.h"
#include "lagoonpoint/src/Limits/LeaseTiming.h"
#include "lagoonpoint/src/Limits/util/CededFloors.h"

#include <deque>
#include <optional>
#include <vector>

namespace lagoonpoint {

/// How a take ended, or that it waits for the authority's answer.
enum class TakeStatus : std::uint8_t { Taken, Waiting, Exhausted };

/// \class TakeResult
/// \ingroup Limits
/// \brief Result of take(); the ticket names a waiting call.
struct TakeResult {
  TakeStatus Status_ = TakeStatus::Exhausted;
  std::uint64_t Ticket_ = 0;
  Duration RetryAfter_; ///< of a dry one: when tokens may be there again
};

/// \class LeaseHolder
/// \ingroup Limits
/// \brief One VM's part of one quantity: its floor, its lease and the bucket
/// that both fill.
///
/// A plain struct; the functions below change it. The VM may spend at the rate
/// and store up to the burst of (floor - what it set aside + live lease).
struct LeaseHolder {
  struct RevisionFloor {
    Revision Revision_;
    Amount Floor_;
  };
  struct PendingRequest {
    std::uint64_t Sequence_ = 0;
    Time SentAt_;
    double Ceiling_ = 0; ///< bucket limit until the answer
  };
  struct Waiter {
    std::uint64_t Ticket_ = 0;
    double Cost_ = 0;
    Time Until_;
    std::uint64_t AfterSequence_ =
        0; ///< refused once a later ask was answered dry
  };

  QuantityId Id_;
  Incarnation Incarnation_;
  LeaseTiming Timing_;
  std::vector<RevisionFloor> Floors_; ///< of revisions not settled, in order
  Revision Settled_;                  ///< no VM uses an older one
  internal::CededFloors Ceded_;

  VmId Authority_; ///< empty while none is known
  Term Term_;
  std::int64_t Timestamp_ = 0; ///< of the last grant of Term_; 0 before it
  LeasedAmount Lease_;
  Time LeaseUntil_;
  std::uint64_t AcceptedSequence_ = 0; ///< ask that Lent_ answers
  Amount Target_;                      ///< what the authority would have it use
  std::uint64_t Sequence_ = 0;
  std::optional<PendingRequest> Pending_;
  unsigned UnansweredRequests_ = 0; ///< asks in a row without an answer
  Time NextRenewal_;
  Time ExhaustedUntil_; ///< the authority said that asking sooner is of no use

  double Tokens_ = 0;
  Time UpdatedAt_;
  double Overflow_ = 0; ///< units lost to a full bucket since the last ask
  double RequestedUnits_ = 0; ///< units wanted since DemandUpdatedAt_
  double Demand_ = 0;         ///< units a second, smoothed
  Time DemandUpdatedAt_;
  std::deque<Waiter> Waiting_;
};

/// Starts a holder with an empty bucket and no floor yet.
/// \ingroup Limits
LeaseHolder makeHolder(const QuantityId &Id, Incarnation I, LeaseTiming Timing,
                       Time Now);

/// Adds the floor of a newer revision. It shrinks at once and grows only when
/// the older revisions are settled; before any settled revision is known there
/// is no floor.
/// \ingroup Limits
/// \param CededUntil end of what an earlier process of this VM may have set
/// aside; Time() if there was none
void addFloor(LeaseHolder &H, Revision R, Amount Floor, Time CededUntil,
              Time Now);

/// Forgets floors of revisions before \p R: no VM uses them any more.
/// \ingroup Limits
void dropFloorsBefore(LeaseHolder &H, Revision R, Time Now);

/// Names whom to ask. A lower term is ignored.
/// \ingroup Limits
void setAuthority(LeaseHolder &H, const VmId &Authority, Term T, Time Now);

/// \returns the floor this VM may use now.
Amount usableFloor(const LeaseHolder &H, Time Now);
/// \returns the lease, nothing once it has ended.
Amount liveLease(const LeaseHolder &H, Time Now);

/// Takes \p Cost units, or has the call wait for the authority's answer.
/// \ingroup Limits
/// \param Ticket names the call if it has to wait
/// \param Deadline of the caller
TakeResult take(LeaseHolder &H, std::uint64_t Ticket, double Cost,
                Time Deadline, Time Now);

/// Ends the waits that can end, oldest first.
/// \ingroup Limits
/// \returns the tickets that ended, each Taken or Dry
std::vector<TakeResult> completeWaits(LeaseHolder &H, Time Now);

/// \returns the ask to send now, if one is due.
/// \ingroup Limits
std::optional<LeaseRequest> nextLeaseRequest(LeaseHolder &H, Time Now);

/// Takes in a grant; one that answers no pending ask changes nothing.
/// \ingroup Limits
void acceptGrant(LeaseHolder &H, const LeaseGrant &G, Time Now);

/// Ends the lease and moves its tokens back.
/// \ingroup Limits
/// \returns the message to send, if there was a lease
std::optional<LeaseReturn> releaseLease(LeaseHolder &H, Time Now);

} // namespace lagoonpoint
