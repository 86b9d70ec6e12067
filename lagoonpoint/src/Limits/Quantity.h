#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"
#include "lagoonpoint/src/Limits/util/WireNumber.h"

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace lagoonpoint {

/// What a quantity counts.
enum class QuantityKind : std::uint8_t {
  TeamRate = 1,       ///< requests of a team over all VMs
  RegionCapacity = 2, ///< requests that a region's upstreams take
  LinkBytes = 3,      ///< bytes over one direction of an inter-region link
};

/// \class QuantityId
/// \ingroup Limits
/// \brief Names a quantity that many VMs spend at once.
struct QuantityId {
  QuantityKind Kind_ = QuantityKind::TeamRate;
  std::string Name_; ///< team, region or "FROM>TO"

  friend auto operator<=>(const QuantityId &, const QuantityId &) = default;
  MSGPACK_DEFINE(Kind_, Name_)
};

/// \returns the quantity of a team's rate and burst.
inline QuantityId teamRate(const TeamId &Team) {
  return {QuantityKind::TeamRate, Team.str()};
}

/// \returns the quantity of what a region's upstreams take.
inline QuantityId regionCapacity(const RegionId &Region) {
  return {QuantityKind::RegionCapacity, Region.str()};
}

/// Bytes that one unit of a link's quantity stands for.
inline constexpr double LinkUnitBytes = 1024;

/// \returns the quantity of the bytes over a link's one direction, counted in
/// units of LinkUnitBytes.
inline QuantityId linkBytes(const RegionId &From, const RegionId &To) {
  return {QuantityKind::LinkBytes, From.str() + ">" + To.str()};
}

/// \class Amount
/// \ingroup Limits
/// \brief A part of a quantity: units a second, and the units that may be
/// stored for later.
struct Amount {
  double Rate_ = 0;  ///< units a second
  double Burst_ = 0; ///< units

  friend auto operator<=>(const Amount &, const Amount &) = default;
  friend Amount operator+(Amount A, Amount B) {
    return {A.Rate_ + B.Rate_, A.Burst_ + B.Burst_};
  }
  friend Amount operator-(Amount A, Amount B) {
    return {A.Rate_ - B.Rate_, A.Burst_ - B.Burst_};
  }

  template <class Packer> void msgpack_pack(Packer &Out) const {
    Out.pack_array(2);
    Out.pack(internal::WireNumber(Rate_));
    Out.pack(internal::WireNumber(Burst_));
  }
  void msgpack_unpack(const msgpack::object &In) {
    auto Parts = In.as<std::array<internal::WireNumber, 2>>();
    Rate_ = Parts[0];
    Burst_ = Parts[1];
  }
};

/// \returns the smaller of each part.
inline Amount componentMin(Amount A, Amount B) {
  return {std::min(A.Rate_, B.Rate_), std::min(A.Burst_, B.Burst_)};
}

/// \returns the larger of each part.
inline Amount componentMax(Amount A, Amount B) {
  return {std::max(A.Rate_, B.Rate_), std::max(A.Burst_, B.Burst_)};
}

/// \returns the amount in floats that are at most its parts.
inline Amount roundedDown(Amount A) {
  return {internal::roundedDown(A.Rate_), internal::roundedDown(A.Burst_)};
}

/// \returns the amount in floats that are at least its parts.
inline Amount roundedUp(Amount A) {
  return {internal::roundedUp(A.Rate_), internal::roundedUp(A.Burst_)};
}

/// \class Allotment
/// \ingroup Limits
/// \brief What one revision declares of a quantity: the whole, and the floors
/// that VMs have without asking.
struct Allotment {
  Revision Revision_;
  Amount Total_;
  std::map<VmId, Amount> Floors_;
};

/// \returns a VM's floor, nothing if it has none.
inline Amount floorOf(const Allotment &A, const VmId &Vm) {
  auto Found = A.Floors_.find(Vm);
  return Found == A.Floors_.end() ? Amount() : Found->second;
}

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::QuantityKind)
