#pragma once

#include "lagoonpoint/Codec"

#include <cmath>
#include <limits>

namespace lagoonpoint::internal {

/// A number that is encoded in the smallest form that represents it exactly:
/// integer, float or double.
struct WireNumber {
  double Value_ = 0;

  WireNumber() = default;
  WireNumber(double Value) : Value_(Value) {}
  operator double() const { return Value_; }
};

/// \returns the largest float that is at most \p Value. It encodes in 5 bytes.
inline double roundedDown(double Value) {
  auto Near = static_cast<float>(Value);
  if (static_cast<double>(Near) > Value)
    Near = std::nextafter(Near, -std::numeric_limits<float>::infinity());
  return Near;
}

/// \returns the smallest float that is at least \p Value.
inline double roundedUp(double Value) { return -roundedDown(-Value); }

} // namespace lagoonpoint::internal

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <> struct pack<lagoonpoint::internal::WireNumber> {
    template <class Stream>
    msgpack::packer<Stream> &
    operator()(msgpack::packer<Stream> &Out,
               const lagoonpoint::internal::WireNumber &V) const {
      constexpr double MaxInteger = 1 << 30;
      double Value = V.Value_;
      if (std::abs(Value) < MaxInteger && std::trunc(Value) == Value)
        return Out.pack(static_cast<std::int32_t>(Value));
      auto Short = static_cast<float>(Value);
      if (static_cast<double>(Short) == Value)
        return Out.pack(Short);
      return Out.pack(Value);
    }
  };
  template <> struct convert<lagoonpoint::internal::WireNumber> {
    const msgpack::object &
    operator()(const msgpack::object &In,
               lagoonpoint::internal::WireNumber &V) const {
      V.Value_ = In.as<double>();
      return In;
    }
  };

  } // namespace adaptor
}
} // namespace msgpack
