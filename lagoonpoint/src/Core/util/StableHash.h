#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonpoint::internal {

constexpr std::uint64_t StableHashOffset = 14695981039346656037ULL;

/// FNV-1a hash, with the same result on every VM and in every build.
/// \param Hash hash of the text that precedes \p Text
constexpr std::uint64_t stableHash(std::string_view Text,
                                   std::uint64_t Hash = StableHashOffset) {
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
