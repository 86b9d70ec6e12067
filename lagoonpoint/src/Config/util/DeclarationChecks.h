#pragma once

#include "lagoonpoint/src/Config/Declarations.h"
#include "lagoonpoint/src/Config/util/IniText.h"

namespace lagoonpoint::internal {

/// Reports references to what is not declared.
void checkReferences(const Declarations &D, Reporter &Report);

/// Reports declarations that are well-formed one by one but can't hold
/// together.
void checkContradictions(const Declarations &D, Reporter &Report);

} // namespace lagoonpoint::internal
