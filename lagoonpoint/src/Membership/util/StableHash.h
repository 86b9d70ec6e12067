#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonpoint {

/// \class StableHash
/// \ingroup Membership
/// \brief FNV-1a hash over the fields of a record. The result is the same in
/// every build, so that VMs of different versions can compare digests.
class StableHash {
public:
  StableHash &add(std::string_view Text) {
    for (char Byte : Text)
      mix(static_cast<unsigned char>(Byte));
    mix(0);
    return *this;
  }
  StableHash &add(std::uint64_t Number) {
    for (int Shift = 0; Shift < 64; Shift += 8)
      mix(static_cast<unsigned char>(Number >> Shift));
    return *this;
  }
  std::uint64_t value() const { return Value_; }

private:
  void mix(unsigned char Byte) {
    Value_ ^= Byte;
    Value_ *= Prime;
  }

  static constexpr std::uint64_t Offset = 14695981039346656037u;
  static constexpr std::uint64_t Prime = 1099511628211u;
  std::uint64_t Value_ = Offset;
};

} // namespace lagoonpoint
