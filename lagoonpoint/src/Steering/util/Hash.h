#pragma once

#include <cstdint>
#include <string>

namespace lagoonpoint::internal {

/// FNV-1a with a final mix: the same on every VM and in every build.
inline std::uint64_t stableHash(const std::string &Text) {
  std::uint64_t Hash = 0xcbf29ce484222325;
  for (unsigned char C : Text)
    Hash = (Hash ^ C) * 0x100000001b3;
  Hash ^= Hash >> 32;
  Hash *= 0xd6e8feb86659fd93;
  return Hash ^ Hash >> 32;
}

} // namespace lagoonpoint::internal
