#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/src/Node/InForce.h"
#include "lagoonpoint/src/Node/MemberHost.h"

namespace lagoonpoint {

/// \class AnnounceFront
/// \ingroup Node
/// \brief Checks announcements of upstreams and takes them in.
class AnnounceFront final : public UpstreamPort {
public:
  AnnounceFront(const InForceCell &Cell, MemberHost &M)
      : InForce_(Cell), Members_(M) {}

  AnnounceReply announce(const Announcement &A,
                         const std::string &ServiceKey) override;

private:
  const InForceCell &InForce_;
  MemberHost &Members_;
};

} // namespace lagoonpoint
