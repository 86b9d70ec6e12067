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

/// Kind of a quantity.
enum class QuantityKind : std::uint8_t {
  TeamRate = 1,       ///< requests of a team on all VMs
  RegionCapacity = 2, ///< requests that a region's upstreams can handle
  LinkBytes = 3,      ///< bytes over an inter-region link in one direction
};

/// \class QuantityId
/// \ingroup Limits
/// \brief Identifies a quantity that many VMs consume concurrently.
struct QuantityId {
  QuantityKind Kind_ = QuantityKind::TeamRate;
  std::string Name_; ///< team, region or "FROM>TO"

  friend auto operator<=>(const QuantityId &, const QuantityId &) = default;
  MSGPACK_DEFINE(Kind_, Name_)
};

/// \returns the identifier of a team's rate and burst.
inline QuantityId teamRate(const TeamId &Team) {
  return {QuantityKind::TeamRate, Team.str()};
}

/// \returns the identifier of a region's upstream capacity.
inline QuantityId regionCapacity(const RegionId &Region) {
  return {QuantityKind::RegionCapacity, Region.str()};
}

/// Bytes in one unit of a link's quantity.
inline constexpr double LinkUnitBytes = 1024;

/// \returns the identifier of the bytes over a link in one direction, counted
/// in units of LinkUnitBytes.
inline QuantityId linkBytes(const RegionId &From, const RegionId &To) {
  return {QuantityKind::LinkBytes, From.str() + ">" + To.str()};
}

/// \class Amount
/// \ingroup Limits
/// \brief Parameters of a token bucket on a quantity: refill rate and burst.
struct Amount {
  double Rate_ = 0;  ///< units per second
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

/// \returns the component-wise minimum.
inline Amount componentMin(Amount A, Amount B) {
  return {std::min(A.Rate_, B.Rate_), std::min(A.Burst_, B.Burst_)};
}

/// \returns the component-wise maximum.
inline Amount componentMax(Amount A, Amount B) {
  return {std::max(A.Rate_, B.Rate_), std::max(A.Burst_, B.Burst_)};
}

/// \returns the amount with each component rounded down to a float.
inline Amount roundedDown(Amount A) {
  return {internal::roundedDown(A.Rate_), internal::roundedDown(A.Burst_)};
}

/// \returns the amount with each component rounded up to a float.
inline Amount roundedUp(Amount A) {
  return {internal::roundedUp(A.Rate_), internal::roundedUp(A.Burst_)};
}

/// \class Allotment
/// \ingroup Limits
/// \brief What one revision declares of a quantity: the total, and each VM's
/// floor, which it may use without a lease.
struct Allotment {
  Revision Revision_;
  Amount Total_;
  std::map<VmId, Amount> Floors_;
};

/// \returns a VM's floor, zero if it has none.
inline Amount floorOf(const Allotment &A, const VmId &Vm) {
  auto Found = A.Floors_.find(Vm);
  return Found == A.Floors_.end() ? Amount() : Found->second;
}

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::QuantityKind)
