#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// \class MembershipOptions
/// \ingroup Membership
/// \brief Identity of this VM, and the timing of the membership protocol.
struct MembershipOptions {
  VmId Self_;
  ZoneId Zone_;
  Incarnation Incarnation_; ///< Unix time in milliseconds at process start

  Duration PingEvery_ = Duration::millis(500);
  Duration SuspectAfter_ = Duration::millis(1600); ///< time without an answer
  Duration DeadAfter_ = Duration::seconds(2);      ///< time as a suspect
  /// Maximum age of an answer that counts for contact().
  Duration ContactWindow_ = Duration::seconds(3);
  Duration ReportEvery_ = Duration::seconds(2); ///< to other zones
  /// Time without a report of a zone until its VMs are suspected.
  Duration ZoneSuspectAfter_ = Duration::seconds(7);
  /// Time without a report of a zone until its VMs are considered dead.
  Duration ZoneDeadAfter_ = Duration::seconds(11);
  Duration BatchEvery_ = Duration::seconds(1);         ///< batched updates
  Duration RefreshEvery_ = Duration::seconds(4);       ///< unchanged upstreams
  Duration UpstreamLease_ = Duration::seconds(15);     ///< unless renewed
  Duration UpstreamRetention_ = Duration::seconds(60); ///< of expired ones
};

} // namespace lagoonpoint
