#pragma once

#include "lagoonpoint/src/Fleet/FleetMessage.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoonpoint {

/// A core VM whose last reply is older is out of contact, and its report of
/// silent upstreams is ignored.
inline constexpr Duration CoreLivenessTimeout = Duration::seconds(3);

/// Contents of the last reply of a core VM.
struct CoreContact {
  Time RepliedAt_;
  Duration RoundTrip_;
  RegionId Region_;
  std::set<UpstreamId> Silent_;   ///< upstreams without recent announcements
  unsigned DigestMismatches_ = 0; ///< in consecutive replies
  bool Asked_ = false;            ///< gets this VM's heartbeats
  bool LoggedInContact_ = false;
};

/// \class CoreContacts
/// \ingroup Fleet
/// \brief The core VMs that have replied to an entry VM's heartbeats.
struct CoreContacts {
  RegionId OwnRegion_;
  std::map<VmId, CoreContact> Contacts_;
};

/// Records a reply.
/// \ingroup Fleet
CoreContact &recordReply(CoreContacts &C, const VmId &From,
                         const HeartbeatReply &Reply, Time Now);

/// \returns the core VMs in contact of this region or of all others, by
/// increasing round-trip time.
/// \ingroup Fleet
std::vector<VmId> coreVmsByDistance(const CoreContacts &C, bool OwnRegion,
                                    Time Now);

/// \returns the core VMs of this region that replied to one of the last
/// heartbeats. A shorter time than for those in contact: one that has just
/// failed is not among them.
/// \ingroup Fleet
std::vector<VmId> replyingCoreVms(const CoreContacts &C, Time Now);

/// \returns the nearest core VM in contact, of this region if possible; empty
/// if there is none.
/// \ingroup Fleet
VmId nearestCoreVm(const CoreContacts &C, Time Now);

/// \returns the core VMs of other regions that may answer, nearest first: those
/// in contact, and those that don't get heartbeats now.
/// \ingroup Fleet
std::vector<VmId> remoteCoreVms(const CoreContacts &C, Time Now);

/// Chooses the core VMs that get an entry VM's next heartbeats: those of its
/// region, and those that it doesn't know yet. They report this VM to the other
/// regions and relay the proof that its items are current, so that the traffic
/// between regions doesn't grow with the number of entry VMs. All core VMs get
/// the heartbeats while none of this region is in contact or their proofs are
/// old, as when the region's core VMs are cut off from a quorum.
/// \ingroup Fleet
/// \param[in,out] C marks the chosen core VMs as asked
/// \param CoreVms all known core VMs
/// \param ProvenAt time as of which this VM's items are proven to be current
std::vector<VmId> heartbeatTargets(CoreContacts &C,
                                   const std::vector<VmId> &CoreVms,
                                   std::optional<Time> ProvenAt,
                                   Duration MaxProofAge, Time Now);

} // namespace lagoonpoint
