#pragma once

namespace lagoonpoint {

/// How one try ended.
/// \ingroup Retry
enum class TryResult {
  Answered,     ///< whole answer received
  NotConnected, ///< connection refused or not made in time
  NothingSent,  ///< failed before any byte of the request was written
  Shed,         ///< upstream said that it didn't run the request
  TimedOut,     ///< deadline passed after bytes were sent
  Broken,       ///< connection failed or answer cut after bytes were sent
  CallerLeft,   ///< caller closed its connection
};

} // namespace lagoonpoint
