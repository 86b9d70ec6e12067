#include "lagoonpoint/src/Node/AnnounceFront.h"

namespace lagoonpoint {

namespace {

constexpr Duration AnnounceLease = Duration::seconds(3);
constexpr Duration RenewEvery = Duration::seconds(1);
constexpr unsigned MaxSlots = 10'000;
constexpr unsigned MaxConnections = 100'000;
constexpr const char *Step = "upstream.announce";

[[noreturn]] void refuse(RefusalReason Reason, const std::string &Message) {
  throw Refusal(Reason, Ran::No, Step, Message);
}

void checkFields(const Announcement &A) {
  if (A.Upstream_.empty())
    refuse(RefusalReason::BadRequest, "the upstream has no id");
  if (A.Address_.Port_ == 0)
    refuse(RefusalReason::BadRequest, "the upstream has no address");
  if (A.Slots_ == 0 || A.Slots_ > MaxSlots)
    refuse(RefusalReason::BadRequest, "slots must be 1 to 10000");
  if (A.Connections_ == 0 || A.Connections_ > MaxConnections)
    refuse(RefusalReason::BadRequest, "connections must be 1 to 100000");
  if (!(A.Load_ >= 0 && A.Load_ <= 1))
    refuse(RefusalReason::BadRequest, "load must be 0 to 1");
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
  checkFields(A);
  Upstreams_.announce(A, AnnounceLease);
  return {AnnounceLease, RenewEvery};
}

} // namespace lagoonpoint
