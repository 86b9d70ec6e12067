#pragma once

#include "lagoonpoint/Core"

#include <string>

namespace lagoonpoint {

/// \class Dialect
/// \ingroup Http
/// \brief Names of the header fields that callers, this VM and upstreams
/// exchange, and what is said with them. The default is the product's own
/// interface; an adapter to another platform supplies its own.
struct Dialect {
  std::string RequestId_ = "X-Request-Id";
  std::string Deadline_ = "X-Deadline-Ms"; ///< milliseconds that are left
  std::string Key_ = "X-Api-Key";          ///< of the caller's team
  std::string NotRun_ = "X-Not-Run";       ///< says that a request has not run
  std::string IdempotencyKey_ = "Idempotency-Key";
  std::string Target_;   ///< names the upstream meant; empty: not sent
  std::string Team_;     ///< names the caller's team; empty: not sent
  std::string Affinity_; ///< names the object concerned; empty: not read
  std::string Load_;     ///< of an upstream's answer; empty: not read
  /// Callers name their requests, the name is passed on, and an upstream's
  /// answer has to bear it. Otherwise this VM makes the name.
  bool CallerSetsRequestId_ = false;
  /// `Authorization` is read as a key too, and `/v1/` is this VM's own.
  bool NativeInterface_ = true;
  /// An answer without a length may end with its connection.
  bool AllowsCloseDelimited_ = false;
  /// Seconds of Retry-After may have a fraction.
  bool FractionalRetryAfter_ = false;
  /// A refusal of what has not run is never a gateway error, and one of what
  /// may have run never says that waiting helps.
  bool StatusReflectsRan_ = false;
};

/// \returns the status of a refusal in a dialect.
/// \ingroup Http
int statusOf(const Refusal &R, const Dialect &D);

} // namespace lagoonpoint
