#pragma once

#include "lagoonpoint/Http"
#include "lagoonpoint/src/Node/ActiveDeclarations.h"
#include "lagoonpoint/src/Node/MembershipHost.h"

namespace lagoonpoint {

/// \class AnnounceHandler
/// \ingroup Node
/// \brief Checks announcements of upstreams and passes them to membership.
class AnnounceHandler final : public UpstreamPort {
public:
  AnnounceHandler(const ActiveDeclarationsHolder &Active, MembershipHost &M)
      : Active_(Active), Members_(M) {}

  AnnounceReply announce(const Announcement &A,
                         const std::string &ServiceKey) override;

private:
  const ActiveDeclarationsHolder &Active_;
  MembershipHost &Members_;
};

} // namespace lagoonpoint
