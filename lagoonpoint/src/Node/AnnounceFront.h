#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/src/Node/InForce.h"
#include "lagoonpoint/src/Node/Upstreams.h"

namespace lagoonpoint {

/// \class AnnounceFront
/// \ingroup Node
/// \brief Checks announcements of upstreams and takes them in.
class AnnounceFront final : public UpstreamPort {
public:
  AnnounceFront(const InForceCell &Cell, Upstreams &Ups)
      : InForce_(Cell), Upstreams_(Ups) {}

  AnnounceReply announce(const Announcement &A,
                         const std::string &ServiceKey) override;

private:
  const InForceCell &InForce_;
  Upstreams &Upstreams_;
};

} // namespace lagoonpoint
