#pragma once

#include "lagoonpoint/src/Core/Time.h"

namespace lagoonpoint {

/// \class Clock
/// \ingroup Core
/// \brief Port to the time of this process.
///
/// Only adapters read it; decision modules are given the time of each input.
class Clock {
public:
  virtual ~Clock() = default;

  /// \returns the current point of the monotonic clock.
  virtual Time now() const = 0;

  /// \returns milliseconds since the Unix epoch, for logs and key prefixes.
  virtual std::int64_t unixMillis() const = 0;
};

/// \class SystemClock
/// \ingroup Core
/// \brief The operating system's clocks.
class SystemClock final : public Clock {
public:
  Time now() const override;
  std::int64_t unixMillis() const override;
};

} // namespace lagoonpoint
