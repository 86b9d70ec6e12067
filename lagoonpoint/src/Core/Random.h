#pragma once

#include <random>

namespace lagoonpoint {

/// The only random generator. Decisions are handed one; adapters seed it.
using Random = std::mt19937_64;

} // namespace lagoonpoint
