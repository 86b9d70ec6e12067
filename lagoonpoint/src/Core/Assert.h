#pragma once

#include "lagoonpoint/src/Core/Error.h"

#include <cstdint>

/// Checks an invariant in all builds, release builds included. A violation is
/// counted and throws InvariantViolation: the current operation fails and the
/// process keeps running.
#define LAGOONPOINT_ASSERT(Condition, Step)                                    \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::lagoonpoint::internal::failInvariant(Step, #Condition);                \
  } while (false)

namespace lagoonpoint {

/// \class InvariantViolation
/// \ingroup Core
/// \brief Thrown by LAGOONPOINT_ASSERT when its condition is false.
class InvariantViolation : public Error {
public:
  using Error::Error;
};

/// \returns the number of invariant violations since the process started.
std::uint64_t invariantViolations();

namespace internal {
[[noreturn]] void failInvariant(const char *Step, const char *Condition);
} // namespace internal

} // namespace lagoonpoint
