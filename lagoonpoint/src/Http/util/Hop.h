#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Http/CallerPort.h"

#include <string>

namespace lagoonpoint::internal {

/// Name of the field by which one entry VM shows another that it forwards.
constexpr const char *HopField = "X-Lagoonpoint-Hop";

/// \returns the value of HopField: sender, client address and a proof that
/// only a holder of the cluster secret can make for this very request.
/// \ingroup Http
std::string makeHop(const Settings &S, const Call &C);

/// Checks a hop and takes the client's address from it.
/// \ingroup Http
/// \param C call with request id, method, path and keys filled in
/// \returns false if the proof is not good
bool verifyHop(const Settings &S, const std::string &Value, Call &C);

} // namespace lagoonpoint::internal
