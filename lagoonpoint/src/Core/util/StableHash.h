#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonpoint::internal {

/// FNV-1a: the same on every VM, whatever its build.
constexpr std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t Hash = 14695981039346656037ULL;
  for (char C : Text)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 1099511628211ULL;
  return Hash;
}

} // namespace lagoonpoint::internal
