#include "lagoonpoint/src/Node/AnnounceHandler.h"

namespace lagoonpoint {

namespace {

constexpr Duration RenewalInterval = Duration::seconds(1);
constexpr const char *Step = "upstream.announce";

[[noreturn]] void refuse(RefusalReason Reason, const std::string &Message) {
  throw Refusal(Reason, Ran::No, Step, Message);
}

AnnouncedUpstream announcedUpstreamOf(const Announcement &A) {
  AnnouncedUpstream Announced;
  Announced.Key_ = {A.Service_, A.Upstream_};
  Announced.Host_ = A.Address_.Host_;
  Announced.Port_ = A.Address_.Port_;
  Announced.Slots_ = A.Slots_;
  Announced.Connections_ = A.Connections_;
  Announced.Load_ = A.Load_;
  Announced.LoadReported_ = A.LoadReported_;
  Announced.Leaving_ = A.Leaving_;
  return Announced;
}

} // namespace

AnnounceReply AnnounceHandler::announce(const Announcement &A,
                                        const std::string &ServiceKey) {
  auto F = Active_.get();
  if (F->Revision_ == Revision())
    refuse(RefusalReason::NotReady, "no declarations are in force yet");
  auto It = F->Declarations_.Services_.find(A.Service_);
  if (It == F->Declarations_.Services_.end())
    refuse(RefusalReason::BadRequest, "no such service");
  const ServiceDecl &Service = It->second;
  if (!secretMatches(Service.AnnounceSalt_, Service.AnnounceHash_, ServiceKey))
    refuse(RefusalReason::KeyUnknown, "wrong service key");
  Members_.announce(announcedUpstreamOf(A));
  return {MembershipOptions().UpstreamLease_, RenewalInterval};
}

} // namespace lagoonpoint
