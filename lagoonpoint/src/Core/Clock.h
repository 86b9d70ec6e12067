#pragma once

#include "lagoonpoint/src/Core/Time.h"

namespace lagoonpoint {

/// \class Clock
/// \ingroup Core
/// \brief Source of monotonic and wall-clock time.
///
/// Only adapters read a clock. The modules with the decision logic receive the
/// time with each input.
class Clock {
public:
  virtual ~Clock() = default;

  /// \returns the current monotonic time.
  virtual Time now() const = 0;

  /// \returns milliseconds since the Unix epoch, for logs and key prefixes.
  virtual std::int64_t unixMillis() const = 0;
};

/// \class SystemClock
/// \ingroup Core
/// \brief Clock that reads the operating system's clocks.
class SystemClock final : public Clock {
public:
  Time now() const override;
  std::int64_t unixMillis() const override;
};

} // namespace lagoonpoint
