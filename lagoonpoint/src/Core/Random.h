#pragma once

#include <random>

namespace lagoonpoint {

/// The random generator used by all modules. Decision logic receives it as an
/// argument; the adapters seed it.
using Random = std::mt19937_64;

} // namespace lagoonpoint
