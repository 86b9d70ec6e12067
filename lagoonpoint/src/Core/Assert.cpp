#include "lagoonpoint/src/Core/Assert.h"

#include <atomic>
#include <string>

namespace lagoonpoint {

namespace {
std::atomic<std::uint64_t> Violations{0};
} // namespace

std::uint64_t invariantViolations() { return Violations.load(); }

void internal::failInvariant(const char *Step, const char *Condition) {
  Violations.fetch_add(1);
  throw InvariantViolation(Step, "",
                           std::string("invariant violated: ") + Condition);
}

} // namespace lagoonpoint
