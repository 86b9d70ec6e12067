#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/src/Http/CallerPort.h"

#include <string>

namespace lagoonpoint::internal {

/// Header field that authenticates a call forwarded between entry VMs.
constexpr const char *HopField = "X-Lagoonpoint-Hop";

/// \returns the value of HopField: sender, client address, and a MAC of this
/// request under the cluster secret.
/// \ingroup Http
std::string makeHop(const Settings &S, const Call &C);

/// Verifies a value of HopField and takes the client's address from it.
/// \ingroup Http
/// \param C call with request id, method, path and keys filled in
/// \returns false if the value is malformed or its MAC is wrong
bool verifyHop(const Settings &S, const std::string &Value, Call &C);

} // namespace lagoonpoint::internal
