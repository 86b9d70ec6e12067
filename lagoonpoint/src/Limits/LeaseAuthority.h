#pragma once

#include "lagoonpoint/src/Limits/LeaseMessages.h"
#include "lagoonpoint/src/Limits/LeaseTiming.h"
#include "lagoonpoint/src/Limits/util/CededFloors.h"

#include <map>
#include <optional>
#include <vector>

namespace lagoonpoint {

/// \class LeaseAuthority
/// \ingroup Limits
/// \brief Lends what is no VM's floor, and floors set aside, to where demand
/// is.
///
/// A plain struct; the functions below change it. At every instant the leases
/// that holders may still use add up to at most the base plus the floors set
/// aside, and the pool of tokens is at most what is not lent.
struct LeaseAuthority {
  struct Lease {
    LeasedAmount Amount_;
    Time End_;
    std::uint64_t Sequence_ = 0; ///< of the ask it answers
  };
  struct HolderRecord {
    Incarnation Incarnation_;
    std::uint64_t Sequence_ = 0;
    Lease Current_; ///< known to be in use
    Lease Offered_; ///< sent, perhaps in use
    internal::CededFloors Ceded_;
    double Demand_ = 0;
    double WaitingUnits_ = 0;
    Amount UsableFloor_;
    Time LastRequestAt_;
  };

  QuantityId Id_;
  LeaseTiming Timing_;
  std::vector<Allotment> Allotments_; ///< of revisions not settled, in order
  Revision Settled_;                  ///< no VM uses an older one
  Amount Base_; ///< see baseOf(); follows from the two above
  Term Term_;
  Time PredecessorUntil_; ///< leases of predecessors have ended by then
  Time LeadershipUntil_;  ///< proof of leadership ends
  std::map<VmId, HolderRecord> Holders_;
  double Tokens_ = 0; ///< in the pool
  Time UpdatedAt_;
};

/// Starts with the lease length that the declarations give.
/// \ingroup Limits
LeaseAuthority makeAuthority(const QuantityId &Id, LeaseTiming Timing,
                             Time Now);

/// Starts leading in a term, or prolongs the proof of leading it. A new term
/// starts with an empty pool and, until the longest lease a predecessor can
/// have granted has ended, only renews what holders show that they hold.
/// \ingroup Limits
/// \param Until by this VM's clock, when the proof of leadership ends
void lead(LeaseAuthority &A, Term T, Time Until, Time Now);

/// Ends leading; nothing is lent any more.
/// \ingroup Limits
void stepDown(LeaseAuthority &A, Time Now);

/// Adds what a newer revision declares.
/// \ingroup Limits
void addAllotment(LeaseAuthority &A, const Allotment &New, Time Now);

/// Forgets allotments of revisions before \p R: no VM uses them any more.
/// \ingroup Limits
void dropAllotmentsBefore(LeaseAuthority &A, Revision R, Time Now);

/// Answers an ask; late, repeated and reordered ones get no answer. An ask of
/// a lower term is told the term and nothing else.
/// \ingroup Limits
std::optional<LeaseGrant> answer(LeaseAuthority &A, const VmId &From,
                                 const LeaseRequest &Request, Time Now);

/// Takes back a lease and its tokens.
/// \ingroup Limits
void handleLeaseReturn(LeaseAuthority &A, const VmId &From,
                       const LeaseReturn &Return, Time Now);

/// \returns the part of the whole that is no VM's floor, of any revision that
/// a VM may still use.
Amount baseOf(const LeaseAuthority &A);
/// \returns what holders may have on lease at \p Now.
LeasedAmount outstanding(const LeaseAuthority &A, Time Now);

} // namespace lagoonpoint
