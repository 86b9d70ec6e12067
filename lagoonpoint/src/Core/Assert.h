#pragma once

#include "lagoonpoint/src/Core/Error.h"

#include <cstdint>

/// Asserts an invariant, in release builds too. A violation is counted and
/// throws InvariantViolation, so that the one decision is refused and the
/// process lives.
#define LAGOONPOINT_ASSERT(Condition, Step)                                    \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::lagoonpoint::internal::failInvariant(Step, #Condition);                \
  } while (false)

namespace lagoonpoint {

/// \class InvariantViolation
/// \ingroup Core
/// \brief Thrown by LAGOONPOINT_ASSERT when its condition doesn't hold.
class InvariantViolation : public Error {
public:
  using Error::Error;
};

/// \returns how many invariants were violated since the process started.
std::uint64_t invariantViolations();

namespace internal {
[[noreturn]] void failInvariant(const char *Step, const char *Condition);
} // namespace internal

} // namespace lagoonpoint
