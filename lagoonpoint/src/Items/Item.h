#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonpoint {

/// Version of one item. Versions of different items are not comparable.
using ItemVersion = Number<struct ItemVersionTag>;

/// The share of a route's requests that one service gets.
struct SplitPart {
  ServiceId Service_;
  double Weight_ = 0; ///< relative to the other parts
  friend bool operator==(const SplitPart &, const SplitPart &) = default;
  MSGPACK_DEFINE(Service_, Weight_)
};

/// \class RouteItem
/// \ingroup Items
/// \brief Which services serve the requests of a host and path prefix, and how.
struct RouteItem {
  std::string Host_;
  std::string Prefix_;           ///< begins and ends with a slash
  std::vector<SplitPart> Split_; ///< one part if the traffic is not split
  bool Idempotent_ = false;      ///< a request may run more than once
  bool Open_ = false;            ///< no key required
  bool SessionAffinity_ = false; ///< requests for one object go to one upstream
  Duration Timeout_;             ///< maximum wait of a caller
  Duration LatencyObjective_;    ///< target latency
  unsigned Priority_ = 0;        ///< 0 is the highest
  unsigned MaxAttempts_ = 1;     ///< upstreams that one request may be sent to
  std::vector<RegionId> Regions_; ///< that may serve it; empty: all
  MSGPACK_DEFINE(Host_, Prefix_, Split_, Idempotent_, Open_, SessionAffinity_,
                 Timeout_, LatencyObjective_, Priority_, MaxAttempts_, Regions_)
};

/// \class TeamItem
/// \ingroup Items
/// \brief Keys and rate limit of one team. The platform must be able to read
/// the keys back as they were set, so they are stored in plain text.
struct TeamItem {
  std::vector<std::string> Keys_;
  bool HasPriority_ = false;
  unsigned Priority_ = 0; ///< overrides the route's if set
  double Rate_ = 0;       ///< requests a second over all VMs; 0: no limit
  double Burst_ = 0;      ///< requests
  std::vector<RegionId> Regions_; ///< that may serve it; empty: all
  MSGPACK_DEFINE(Keys_, HasPriority_, Priority_, Rate_, Burst_, Regions_)
};

/// \class ServiceItem
/// \ingroup Items
/// \brief Settings for all upstreams of one service.
struct ServiceItem {
  std::string HealthPath_;
  unsigned MaxConnections_ =
      0;                  ///< to one upstream, from all callers; 0: no limit
  Duration Warmup_;       ///< time for which a started upstream is cold
  double WarmupRate_ = 0; ///< requests per second that a cold upstream can take
  MSGPACK_DEFINE(HealthPath_, MaxConnections_, Warmup_, WarmupRate_)
};

/// \class CallerLimitsItem
/// \ingroup Items
/// \brief Limits on the size and duration of callers' requests.
struct CallerLimitsItem {
  std::uint64_t MaxHeaderBytes_ = 0;
  std::uint64_t MaxBodyBytes_ = 0;
  Duration HeaderTimeout_;
  Duration IdleTimeout_;
  MSGPACK_DEFINE(MaxHeaderBytes_, MaxBodyBytes_, HeaderTimeout_, IdleTimeout_)
};

/// Name of the only item of kind CallerLimitsItem.
inline const std::string CallerLimitsName = "limits";

/// \class VersionedItem
/// \ingroup Items
/// \brief The newest version of an item, which may be a removal.
/// \tparam Item RouteItem, TeamItem, ServiceItem or CallerLimitsItem
template <class Item> struct VersionedItem {
  ItemVersion Version_;
  bool Removed_ = false;
  Item Value_;
  std::string SourceText_;   ///< as the operator wrote it, for reading it back
  Revision ChangedRevision_; ///< catalog revision that set it
  MSGPACK_DEFINE(Version_, Removed_, Value_, SourceText_, ChangedRevision_)
};

} // namespace lagoonpoint
