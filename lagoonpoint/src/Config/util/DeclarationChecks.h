#pragma once

#include "lagoonpoint/src/Config/Declarations.h"
#include "lagoonpoint/src/Config/util/IniText.h"

namespace lagoonpoint::internal {

/// Reports references to undeclared ids.
void checkReferences(const Declarations &D, DiagnosticReporter &Report);

/// Reports declarations that are valid one by one but contradict each other.
void checkConsistency(const Declarations &D, DiagnosticReporter &Report);

} // namespace lagoonpoint::internal
