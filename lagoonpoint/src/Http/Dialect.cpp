#include "lagoonpoint/src/Http/Dialect.h"

namespace lagoonpoint {

namespace {

constexpr int Unavailable = 503;
constexpr int BadGateway = 502;
constexpr int GatewayTimeout = 504;
constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;

} // namespace

int statusOf(const Refusal &R, const Dialect &D) {
  int Status = httpStatus(R.reason());
  if (!D.StatusReflectsRan_)
    return Status;
  if (R.ran() == Ran::No)
    return Status >= FirstServerError ? Unavailable : Status;
  bool InvitesRetry = Status == Unavailable || Status == TooManyRequests;
  if (!InvitesRetry)
    return Status;
  return R.reason() == RefusalReason::DeadlinePassed ? GatewayTimeout
                                                     : BadGateway;
}

} // namespace lagoonpoint
