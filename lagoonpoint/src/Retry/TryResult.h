#pragma once

namespace lagoonpoint {

/// Result of one try.
/// \ingroup Retry
enum class TryResult {
  Answered,     ///< complete response received
  NotConnected, ///< connection refused or timed out
  NothingSent,  ///< failed before any byte of the request was written
  Shed,         ///< upstream reported that it did not run the request
  TimedOut,     ///< deadline of call or try passed after bytes were sent
  Broken,     ///< connection failed or response truncated after bytes were sent
  CallerLeft, ///< caller closed its connection or did not complete its request
};

} // namespace lagoonpoint
