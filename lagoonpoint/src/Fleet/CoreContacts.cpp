#include "lagoonpoint/src/Fleet/CoreContacts.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

/// One heartbeat a second, and time for the reply.
constexpr Duration ReplyingTimeout = Duration::millis(1600);

bool inContact(const CoreContact &Contact, Time Now) {
  return Now - Contact.RepliedAt_ <= CoreLivenessTimeout;
}

template <class Accept>
std::vector<VmId> sortByDistance(const CoreContacts &C, const Accept &Accepts) {
  std::vector<std::pair<Duration, VmId>> Found;
  for (const auto &[Core, Contact] : C.Contacts_)
    if (Accepts(Contact))
      Found.push_back({Contact.RoundTrip_, Core});
  std::sort(Found.begin(), Found.end());
  std::vector<VmId> Out;
  for (const auto &[RoundTrip, Core] : Found)
    Out.push_back(Core);
  return Out;
}

} // namespace

CoreContact &recordReply(CoreContacts &C, const VmId &From,
                         const HeartbeatReply &Reply, Time Now) {
  CoreContact &Contact = C.Contacts_[From];
  Contact.RepliedAt_ = Now;
  Contact.Region_ = Reply.Region_;
  Contact.RoundTrip_ = Now - Time(Reply.EchoedSentAt_);
  Contact.Silent_ = {Reply.SilentUpstreams_.begin(),
                     Reply.SilentUpstreams_.end()};
  return Contact;
}

std::vector<VmId> coreVmsByDistance(const CoreContacts &C, bool OwnRegion,
                                    Time Now) {
  return sortByDistance(C, [&](const CoreContact &Contact) {
    return inContact(Contact, Now) &&
           (Contact.Region_ == C.OwnRegion_) == OwnRegion;
  });
}

std::vector<VmId> remoteCoreVms(const CoreContacts &C, Time Now) {
  return sortByDistance(C, [&](const CoreContact &Contact) {
    return Contact.Region_ != C.OwnRegion_ &&
           (inContact(Contact, Now) || !Contact.Asked_);
  });
}

std::vector<VmId> replyingCoreVms(const CoreContacts &C, Time Now) {
  return sortByDistance(C, [&](const CoreContact &Contact) {
    return Contact.Region_ == C.OwnRegion_ &&
           Now - Contact.RepliedAt_ <= ReplyingTimeout;
  });
}

VmId nearestCoreVm(const CoreContacts &C, Time Now) {
  for (bool OwnRegion : {true, false})
    for (const VmId &Core : coreVmsByDistance(C, OwnRegion, Now))
      return Core;
  return VmId();
}

std::vector<VmId> heartbeatTargets(CoreContacts &C,
                                   const std::vector<VmId> &CoreVms,
                                   std::optional<Time> ProvenAt,
                                   Duration MaxProofAge, Time Now) {
  bool ProofIsRecent = ProvenAt && Now - *ProvenAt <= MaxProofAge;
  bool RegionSuffices =
      ProofIsRecent && !coreVmsByDistance(C, true, Now).empty();
  std::vector<VmId> Out;
  for (const VmId &Core : CoreVms) {
    auto Found = C.Contacts_.find(Core);
    bool IsKnown = Found != C.Contacts_.end();
    bool IsRemote = IsKnown && Found->second.Region_ != C.OwnRegion_;
    bool Ask = !RegionSuffices || !IsRemote;
    if (IsKnown)
      Found->second.Asked_ = Ask;
    if (Ask)
      Out.push_back(Core);
  }
  return Out;
}

} // namespace lagoonpoint
