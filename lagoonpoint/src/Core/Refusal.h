#pragma once

#include "lagoonpoint/src/Core/Error.h"
#include "lagoonpoint/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace lagoonpoint {

/// Why a call was refused. toString() gives the names used on the wire.
enum class RefusalReason : std::uint8_t {
  BadRequest,          ///< malformed or ambiguous request
  NoSuchRoute,         ///< no route matches the path
  KeyMissing,          ///< route requires a key, none was sent
  KeyUnknown,          ///< key unknown, or its secret is wrong
  KeyWithdrawn,        ///< key was withdrawn
  KeysNotCurrent,      ///< this VM cannot prove that its keys are current
  OverRate,            ///< team exceeded its rate and burst
  QueueFull,           ///< queue of the team at this VM is full
  DeadlinePassed,      ///< deadline passed before dispatch or response
  NoUpstream,          ///< no healthy upstream
  NoCapacity,          ///< no reachable region has spare capacity
  NoRegionAllowed,     ///< no region may serve the call
  LinkFull,            ///< links to the allowed regions are at their cap
  NotReady,            ///< this VM has no current declarations yet
  Draining,            ///< this VM is shutting down
  UpstreamFailed,      ///< upstream failed after the request was sent
  OnceKeyMissing,      ///< once-route without idempotency key prefix
  OnceKeyExpired,      ///< idempotency key is older than the retention time
  OnceInProgress,      ///< first call with the key is still running
  OnceUnknown,         ///< outcome of the key's first call is unknown, for
                       ///< example as its epoch's records were lost
  OnceHomeUnreachable, ///< home zone of the key is unreachable
  TooLarge,            ///< headers or body exceed the limit
  Internal,            ///< an invariant was violated; see the log
};

/// Whether the refused request ran at an upstream.
enum class Ran : std::uint8_t { No, Unknown };

/// \returns the documented name of a reason, such as "over_rate".
const char *toString(RefusalReason Reason);
/// \returns "no" or "unknown".
const char *toString(Ran Ran);
/// \returns the HTTP status sent for a reason.
int httpStatus(RefusalReason Reason);

/// \class Refusal
/// \ingroup Core
/// \brief Thrown when a call ends without a response from an upstream.
class Refusal : public Error {
public:
  Refusal(RefusalReason Reason, Ran Ran, std::string Step,
          const std::string &Message, Duration RetryAfter = Duration());

  RefusalReason reason() const { return Reason_; }
  Ran ran() const { return Ran_; }
  /// \returns how long the caller should wait before it retries; zero if a
  /// retry would not help.
  Duration retryAfter() const { return RetryAfter_; }

private:
  RefusalReason Reason_;
  Ran Ran_;
  Duration RetryAfter_;
};

} // namespace lagoonpoint
