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
/// \brief Grants leases on one quantity, according to demand. Leasable are the
/// base (the part that is no VM's floor) and the floors that VMs have ceded.
///
/// A plain struct, modified by the functions below. Invariants at any time: the
/// leases that holders may still use add up to at most the base plus the ceded
/// floors, and the token pool holds at most the burst that is not leased.
struct LeaseAuthority {
  struct Lease {
    LeasedAmount Amount_;
    Time End_;
    std::uint64_t Sequence_ = 0; ///< of the request it answers
  };
  struct HolderRecord {
    Incarnation Incarnation_;
    std::uint64_t Sequence_ = 0;
    Lease Current_; ///< lease that the holder has confirmed
    Lease Offered_; ///< granted, possibly in use
    internal::CededFloors Ceded_;
    double Demand_ = 0;
    double WaitingUnits_ = 0;
    Amount UsableFloor_;
    Time LastRequestAt_;
  };

  QuantityId Id_;
  LeaseTiming Timing_;
  std::vector<Allotment>
      Allotments_;   ///< in revision order, from the settled one on
  Revision Settled_; ///< no VM uses an older revision
  Amount Base_;      ///< see baseOf(); derived from the two above
  Term Term_;
  Time PredecessorUntil_; ///< predecessors' leases have expired by then
  Time LeadershipUntil_;  ///< end of the proof of leadership
  std::map<VmId, HolderRecord> Holders_;
  double Tokens_ = 0; ///< in the pool
  Time UpdatedAt_;
};

/// Creates an authority that does not lead yet.
/// \ingroup Limits
LeaseAuthority makeAuthority(const QuantityId &Id, LeaseTiming Timing,
                             Time Now);

/// Starts leading in a term, or extends the proof of leadership. A new term
/// starts with an empty token pool. Until the longest lease that a predecessor
/// can have granted has expired, only leases that holders report are renewed.
/// \ingroup Limits
/// \param Until end of the proof of leadership, by this VM's clock
void lead(LeaseAuthority &A, Term T, Time Until, Time Now);

/// Ends leadership; no more leases are granted.
/// \ingroup Limits
void stepDown(LeaseAuthority &A, Time Now);

/// Adds the allotment of a newer revision. Until older revisions are dropped,
/// the larger floor of each VM is kept back.
/// \ingroup Limits
void addAllotment(LeaseAuthority &A, const Allotment &New, Time Now);

/// Drops the allotments of revisions before \p R, which no VM uses any more.
/// \ingroup Limits
void dropAllotmentsBefore(LeaseAuthority &A, Revision R, Time Now);

/// Answers a lease request. Late, duplicate and reordered requests are ignored.
/// A request of a lower term is answered with the current term only.
/// \ingroup Limits
std::optional<LeaseGrant> handleLeaseRequest(LeaseAuthority &A,
                                             const VmId &From,
                                             const LeaseRequest &Request,
                                             Time Now);

/// Ends a lease that its holder returns, and puts its tokens back into the
/// pool.
/// \ingroup Limits
void handleLeaseReturn(LeaseAuthority &A, const VmId &From,
                       const LeaseReturn &Return, Time Now);

/// \returns the part of the total that is no VM's floor in any revision that a
/// VM may still use.
Amount baseOf(const LeaseAuthority &A);
/// \returns the sum of the leases that holders may be using at \p Now.
LeasedAmount outstanding(const LeaseAuthority &A, Time Now);

} // namespace lagoonpoint
