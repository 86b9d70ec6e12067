#include "lagoonpoint/src/Core/Refusal.h"

#include <utility>

namespace lagoonpoint {

namespace {

struct ReasonRow {
  RefusalReason Reason_;
  const char *Name_;
  int Status_;
};

constexpr ReasonRow Rows[] = {
    {RefusalReason::BadRequest, "bad_request", 400},
    {RefusalReason::NoSuchRoute, "no_such_route", 404},
    {RefusalReason::KeyMissing, "key_missing", 401},
    {RefusalReason::KeyUnknown, "key_unknown", 401},
    {RefusalReason::KeyWithdrawn, "key_withdrawn", 401},
    {RefusalReason::KeysNotCurrent, "keys_not_current", 503},
    {RefusalReason::OverRate, "over_rate", 429},
    {RefusalReason::QueueFull, "queue_full", 503},
    {RefusalReason::DeadlinePassed, "deadline_passed", 504},
    {RefusalReason::NoUpstream, "no_upstream", 503},
    {RefusalReason::NoCapacity, "no_capacity", 503},
    {RefusalReason::NoRegionAllowed, "no_region_allowed", 503},
    {RefusalReason::LinkFull, "link_full", 503},
    {RefusalReason::NotReady, "not_ready", 503},
    {RefusalReason::Draining, "draining", 503},
    {RefusalReason::UpstreamFailed, "upstream_failed", 502},
    {RefusalReason::OnceKeyMissing, "once_key_missing", 400},
    {RefusalReason::OnceKeyExpired, "once_key_expired", 409},
    {RefusalReason::OnceInProgress, "once_in_progress", 409},
    {RefusalReason::OnceUnknown, "once_unknown", 409},
    {RefusalReason::OnceHomeUnreachable, "once_home_unreachable", 503},
    {RefusalReason::TooLarge, "too_large", 413},
    {RefusalReason::Internal, "internal", 500},
};

const ReasonRow &rowOf(RefusalReason Reason) {
  for (const ReasonRow &Row : Rows)
    if (Row.Reason_ == Reason)
      return Row;
  throw Error("refusal.name", "", "refusal reason without a name");
}

} // namespace

const char *toString(RefusalReason Reason) { return rowOf(Reason).Name_; }

const char *toString(Ran Ran) { return Ran == Ran::No ? "no" : "unknown"; }

int httpStatus(RefusalReason Reason) { return rowOf(Reason).Status_; }

Refusal::Refusal(RefusalReason Reason, lagoonpoint::Ran Ran, std::string Step,
                 const std::string &Message, Duration RetryAfter)
    : Error(std::move(Step), "", Message), Reason_(Reason), Ran_(Ran),
      RetryAfter_(RetryAfter) {}

} // namespace lagoonpoint
