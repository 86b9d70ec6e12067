#include "lagoonpoint/src/Node/AnnounceFront.h"

namespace lagoonpoint {

namespace {

constexpr Duration RenewEvery = Duration::seconds(1);
constexpr const char *Step = "upstream.announce";

[[noreturn]] void refuse(RefusalReason Reason, const std::string &Message) {
  throw Refusal(Reason, Ran::No, Step, Message);
}

AnnouncedUpstream offerOf(const Announcement &A) {
  AnnouncedUpstream Offer;
  Offer.Key_ = {A.Service_, A.Upstream_};
  Offer.Host_ = A.Address_.Host_;
  Offer.Port_ = A.Address_.Port_;
  Offer.Slots_ = A.Slots_;
  Offer.Connections_ = A.Connections_;
  Offer.Load_ = A.Load_;
  Offer.LoadReported_ = A.LoadReported_;
  Offer.Leaving_ = A.Leaving_;
  return Offer;
}

} // namespace

AnnounceReply AnnounceFront::announce(const Announcement &A,
                                      const std::string &ServiceKey) {
  auto F = InForce_.get();
  if (F->Revision_ == Revision())
    refuse(RefusalReason::NotReady, "no declarations are in force yet");
  auto It = F->Declared_.Services_.find(A.Service_);
  if (It == F->Declared_.Services_.end())
    refuse(RefusalReason::BadRequest, "no such service");
  const ServiceDecl &Service = It->second;
  if (!secretMatches(Service.AnnounceSalt_, Service.AnnounceHash_, ServiceKey))
    refuse(RefusalReason::KeyUnknown, "wrong service key");
  Members_.announce(offerOf(A));
  return {MembershipOptions().UpstreamLease_, RenewEvery};
}

} // namespace lagoonpoint
