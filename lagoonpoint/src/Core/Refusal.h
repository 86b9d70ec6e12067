#pragma once

#include "lagoonpoint/src/Core/Error.h"
#include "lagoonpoint/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace lagoonpoint {

/// Why a call was refused. The names on the wire are those of toString().
enum class RefusalReason : std::uint8_t {
  BadRequest,          ///< malformed or ambiguous request
  NoSuchRoute,         ///< no route matches the path
  KeyMissing,          ///< keyed route and no key
  KeyUnknown,          ///< key not known or not this team's
  KeyWithdrawn,        ///< key was withdrawn
  KeysNotCurrent,      ///< this VM can't prove that its keys are current
  OverRate,            ///< team is over its rate and burst
  QueueFull,           ///< team's queue at this VM is full
  DeadlinePassed,      ///< deadline passed before dispatch or answer
  NoUpstream,          ///< no healthy upstream
  NoCapacity,          ///< regions within reach have no headroom
  LinkFull,            ///< links towards the allowed regions are at their cap
  NotReady,            ///< this VM holds no current declarations yet
  Draining,            ///< this VM is shutting down
  UpstreamFailed,      ///< upstream failed after the request was sent
  OnceKeyMissing,      ///< once-route without idempotency key prefix
  OnceKeyExpired,      ///< idempotency key is older than results are kept
  OnceInProgress,      ///< first call with this key is still running
  OnceUnknown,         ///< memory of the key's epoch is lost
  OnceHomeUnreachable, ///< home zone of the key can't be reached
  TooLarge,            ///< headers or body over the limit
  Internal,            ///< an invariant was violated; see the log
};

/// Whether the refused request ran at an upstream.
enum class Ran : std::uint8_t { No, Unknown };

/// \returns the documented name of a reason, such as "over_rate".
const char *toString(RefusalReason Reason);
/// \returns "no" or "unknown".
const char *toString(Ran Ran);
/// \returns the HTTP status that goes with a reason.
int httpStatus(RefusalReason Reason);

/// \class Refusal
/// \ingroup Core
/// \brief Thrown where a call ends without an upstream's answer.
class Refusal : public Error {
public:
  Refusal(RefusalReason Reason, Ran Ran, std::string Step,
          const std::string &Message, Duration RetryAfter = Duration());

  RefusalReason reason() const { return Reason_; }
  Ran ran() const { return Ran_; }
  /// \returns how long the caller should wait; zero where waiting won't help.
  Duration retryAfter() const { return RetryAfter_; }

private:
  RefusalReason Reason_;
  Ran Ran_;
  Duration RetryAfter_;
};

} // namespace lagoonpoint
