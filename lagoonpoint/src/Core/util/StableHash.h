#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonpoint::internal {

/// FNV-1a hash, with the same result on every VM and in every build.
constexpr std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t Hash = 14695981039346656037ULL;
  for (char C : Text)
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 1099511628211ULL;
  return Hash;
}

/// Bit mixer (the finalizer of MurmurHash3). It is needed because FNV-1a maps
/// similar strings to nearby values.
constexpr std::uint64_t mixBits(std::uint64_t H) {
  H = (H ^ (H >> 33)) * 0xff51afd7ed558ccdULL;
  H = (H ^ (H >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return H ^ (H >> 33);
}

} // namespace lagoonpoint::internal
