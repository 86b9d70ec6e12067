#pragma once

#include "lagoonpoint/Core"

#include <string>

namespace lagoonpoint {

/// \class Dialect
/// \ingroup Http
/// \brief Names and conventions of the header fields that callers, this VM and
/// upstreams exchange. The defaults are the native interface; an adapter to
/// another platform supplies its own.
struct Dialect {
  std::string RequestId_ = "X-Request-Id";
  std::string Deadline_ = "X-Deadline-Ms"; ///< remaining milliseconds
  std::string Key_ = "X-Api-Key";          ///< key of the caller's team
  std::string NotRun_ = "X-Not-Run";       ///< marks a request that has not run
  std::string IdempotencyKey_ = "Idempotency-Key";
  std::string Target_;   ///< intended upstream; empty: not sent
  std::string Team_;     ///< caller's team; empty: not sent
  std::string Affinity_; ///< affinity key of the call; empty: not read
  std::string Load_;     ///< load in an upstream's response; empty: not read
  /// Rate that an upstream accepts from all VMs together, in its response;
  /// empty: not read.
  std::string RequestLimit_;
  /// Set to 1 in the responses of an upstream that leaves; empty: not read.
  std::string Leaving_;
  /// An upstream's `Retry-After` with status 503 applies to this VM.
  bool UpstreamsPause_ = false;
  /// The caller sets the request id. It is forwarded, and an upstream's
  /// response must carry it. Otherwise this VM generates the id.
  bool CallerSetsRequestId_ = false;
  /// The native interface is used: `Authorization` is also read as a key, and
  /// `/v1/` is reserved for this VM.
  bool NativeInterface_ = true;
  /// A response without a length may end when its connection closes.
  bool AllowsCloseDelimited_ = false;
  /// The seconds of Retry-After may have a fraction.
  bool FractionalRetryAfter_ = false;
  /// The status of a refusal reflects whether the request ran: if it has not
  /// run, the status is never a gateway error; if it may have run, the status
  /// never invites a retry.
  bool StatusReflectsRan_ = false;
};

/// \returns the HTTP status of a refusal in a dialect.
/// \ingroup Http
int statusOf(const Refusal &R, const Dialect &D);

} // namespace lagoonpoint
