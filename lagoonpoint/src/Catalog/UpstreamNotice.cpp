#include "lagoonpoint/src/Catalog/UpstreamNotice.h"

namespace lagoonpoint {

bool isNewer(const UpstreamNotice &A, const UpstreamNotice &Known) {
  if (A.StartedAtMs_ != Known.StartedAtMs_)
    return A.StartedAtMs_ > Known.StartedAtMs_;
  if (A.Phase_ != Known.Phase_)
    return A.Phase_ > Known.Phase_;
  return A.Sequence_ > Known.Sequence_;
}

} // namespace lagoonpoint
