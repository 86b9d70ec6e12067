#pragma once

#include "lagoonpoint/src/Config/Declarations.h"
#include "lagoonpoint/src/Config/util/IniText.h"

namespace lagoonpoint::internal {

/// Reports references to what is not declared.
void checkReferences(const Declarations &D, DiagnosticReporter &Report);

/// Reports declarations that are well-formed one by one but can't hold
/// together.
void checkConsistency(const Declarations &D, DiagnosticReporter &Report);

} // namespace lagoonpoint::internal
