#include "lagoonpoint/src/Fleet/FleetContact.h"

#include "lagoonpoint/src/Fleet/NodeRegistry.h"

namespace lagoonpoint {

namespace {

/// VMs that are in contact may count as silent after a longer pause.
constexpr Duration MaxPause = Duration::seconds(1);

} // namespace

void updateContact(FleetContact &C, bool HasQuorum, Time Now) {
  bool WasSuspended = Now - C.UpdatedAt_ > MaxPause;
  if (!HasQuorum || WasSuspended)
    C.InContactSince_.reset();
  if (HasQuorum && !C.InContactSince_)
    C.InContactSince_ = Now;
  C.UpdatedAt_ = Now;
}

bool knowsAll(const FleetContact &C) {
  return C.InContactSince_ &&
         C.UpdatedAt_ - *C.InContactSince_ >= LivenessTimeout;
}

} // namespace lagoonpoint
