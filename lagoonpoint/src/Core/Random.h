#pragma once

#include <random>

namespace lagoonpoint {

/// The random generator of all modules. It is passed in by the caller and
/// seeded by the adapters, so that tests are reproducible.
using Random = std::mt19937_64;

} // namespace lagoonpoint
