#include "lagoonpoint/src/Fleet/FleetView.h"

#include "lagoonpoint/src/Fleet/NodeRegistry.h"

namespace lagoonpoint {

namespace {

/// VMs that are in contact may count as silent after a longer pause.
constexpr Duration MaxPause = Duration::seconds(1);

} // namespace

void updateView(FleetView &V, bool HasQuorum, Time Now) {
  bool WasSuspended = Now - V.UpdatedAt_ > MaxPause;
  if (!HasQuorum || WasSuspended)
    V.InContactSince_.reset();
  if (HasQuorum && !V.InContactSince_)
    V.InContactSince_ = Now;
  V.UpdatedAt_ = Now;
}

bool isComplete(const FleetView &V) {
  return V.InContactSince_ &&
         V.UpdatedAt_ - *V.InContactSince_ >= LivenessTimeout;
}

} // namespace lagoonpoint
