#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// \class MembershipOptions
/// \ingroup Membership
/// \brief Who this VM is, and the pace of its messages.
struct MembershipOptions {
  VmId Self_;
  ZoneId Zone_;
  Incarnation Incarnation_; ///< Unix time in milliseconds at the start

  Duration PingEvery_ = Duration::millis(500);
  Duration SuspectAfter_ = Duration::millis(1600); ///< without an answer
  Duration DeadAfter_ = Duration::seconds(2);      ///< of being suspect
  Duration ContactWindow_ = Duration::seconds(3);  ///< answers that count
  Duration ReportEvery_ = Duration::seconds(2);    ///< between zones
  Duration ZoneSuspectAfter_ = Duration::seconds(7);
  Duration ZoneDeadAfter_ = Duration::seconds(11);
  Duration BatchEvery_ = Duration::seconds(1);     ///< news that can wait
  Duration RefreshEvery_ = Duration::seconds(4);   ///< of unchanged upstreams
  Duration UpstreamLease_ = Duration::seconds(15); ///< to be renewed
  Duration UpstreamRetention_ = Duration::seconds(60); ///< of those gone
};

} // namespace lagoonpoint
