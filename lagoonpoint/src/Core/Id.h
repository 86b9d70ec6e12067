#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lagoonpoint {

/// \class Id
/// \ingroup Core
/// \brief Strongly typed string identifier.
/// \tparam Tag incomplete type that makes each kind of id a distinct type
template <class Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Text) : Text_(std::move(Text)) {}

  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }

  friend auto operator<=>(const Id &, const Id &) = default;
  friend std::ostream &operator<<(std::ostream &Out, const Id &I) {
    return Out << I.Text_;
  }

private:
  std::string Text_;
};

/// \class Number
/// \ingroup Core
/// \brief Strongly typed unsigned sequence number.
/// \tparam Tag incomplete type that makes each kind of number a distinct type
template <class Tag> class Number {
public:
  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t Value) : Value_(Value) {}

  constexpr std::uint64_t value() const { return Value_; }
  constexpr Number next() const { return Number(Value_ + 1); }

  friend constexpr auto operator<=>(Number, Number) = default;
  friend std::ostream &operator<<(std::ostream &Out, Number N) {
    return Out << N.Value_;
  }

private:
  std::uint64_t Value_ = 0;
};

using RegionId = Id<struct RegionTag>;
using ZoneId = Id<struct ZoneTag>;
using VmId = Id<struct VmTag>;
using TeamId = Id<struct TeamTag>;
using KeyId = Id<struct KeyTag>;
using ServiceId = Id<struct ServiceTag>;
using ProfileId = Id<struct ProfileTag>;
using UpstreamId = Id<struct UpstreamTag>;
using SiteId = Id<struct SiteTag>;
using ChangeId = Id<struct ChangeTag>;
using RequestId = Id<struct RequestTag>;

/// Position in the sequence of accepted changes; 0 before the first.
using Revision = Number<struct RevisionTag>;
/// Term of a replication leader.
using Term = Number<struct TermTag>;
/// Position in the replicated log; 0 before the first entry.
using LogIndex = Number<struct LogIndexTag>;
/// Identifies one run of a VM's process; increases with each restart.
using Incarnation = Number<struct IncarnationTag>;
/// Version of a zone's view for once-requests.
using Epoch = Number<struct EpochTag>;

} // namespace lagoonpoint

template <class Tag> struct std::hash<lagoonpoint::Id<Tag>> {
  std::size_t operator()(const lagoonpoint::Id<Tag> &I) const {
    return std::hash<std::string>()(I.str());
  }
};

template <class Tag> struct std::hash<lagoonpoint::Number<Tag>> {
  std::size_t operator()(lagoonpoint::Number<Tag> N) const {
    return std::hash<std::uint64_t>()(N.value());
  }
};
