#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// Evaluates the configuration in force, and evaluates again if another one
/// comes into force meanwhile. What \p Evaluate returns or refuses then holds
/// for a configuration that was in force for the whole evaluation, so that it
/// agrees with other state that follows the configuration, such as the proof
/// that keys are current.
/// \ingroup Gateway
/// \param Current returns a pointer to the configuration in force
/// \param Evaluate called with that pointer; may be called repeatedly
/// \throws Refusal what \p Evaluate throws
template <class Read, class Function>
auto evaluateInForce(const Read &Current, const Function &Evaluate) {
  for (;;) {
    auto Now = Current();
    try {
      auto Result = Evaluate(Now);
      if (Current() == Now)
        return Result;
    } catch (const Refusal &) {
      if (Current() == Now)
        throw;
    }
  }
}

} // namespace lagoonpoint
