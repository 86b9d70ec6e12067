#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/src/Config/Diagnostics.h"
#include "lagoonpoint/src/Config/Settings.h"

#include <map>
#include <string>
#include <vector>

namespace lagoonpoint {

/// `[region.ID]`
struct RegionDecl {
  RegionId Id_;
  Rate Capacity_; ///< requests per second of all its upstreams together
  bool Drained_ = false;
};

/// `[zone.ID]`
struct ZoneDecl {
  ZoneId Id_;
  RegionId Region_;
  bool Drained_ = false;
};

/// `[vm.ID]`
struct VmDecl {
  VmId Id_;
  ZoneId Zone_;
  Address Callers_;
  Address Upstreams_;
  Address Operators_;
  Address Peers_;
  bool Entry_ = true; ///< false on a VM that only votes and relays
  bool Disk_ = false;
  bool Drained_ = false;
};

/// `[link.FROM.TO]`: the link from one region to another, in one direction.
struct LinkDecl {
  RegionId From_;
  RegionId To_;
  Bandwidth Cap_;
  Price Price_;
  Duration Latency_; ///< one way
};

/// `[service.ID]`
struct ServiceDecl {
  ServiceId Id_;
  ProfileId Profile_;
  std::string AnnounceSalt_; ///< salt of the service key in announcements
  std::string AnnounceHash_; ///< SHA-256 of salt and key, in hex
  Duration SlowStart_ = Duration::seconds(30);
};

/// How often a request of a route may be sent to an upstream.
enum class RouteKind { Plain, Repeatable, Once };

/// `[route.NAME]`: a path prefix and its service. The route with the longest
/// matching prefix applies.
struct RouteDecl {
  std::string Name_;
  std::string Prefix_;
  ServiceId Service_;
  bool Open_ = false; ///< accepts calls without a key
  RouteKind Kind_ = RouteKind::Plain;
  Duration Deadline_ = Duration::seconds(5); ///< if the caller gives none
  Duration MaxDeadline_ = Duration::seconds(30);
};

/// `[team.ID]`
struct TeamDecl {
  TeamId Id_;
  Rate Rate_;
  double Burst_ = 0;    ///< requests
  unsigned Weight_ = 1; ///< relative share while upstreams are saturated
  Duration CutOffKeysFor_ = Duration::seconds(3600);
};

/// `[key.ID]`: a caller's key; callers send "ID.SECRET".
struct KeyDecl {
  KeyId Id_;
  TeamId Team_;
  std::string Salt_;
  std::string Hash_; ///< SHA-256 of salt and secret, in hex
};

/// What a profile optimizes for.
enum class Objective { Nearest, Cheapest, Spread };

/// `[profile.ID]`
struct ProfileDecl {
  ProfileId Id_;
  Objective Objective_ = Objective::Nearest;
  std::vector<RegionId> Allowed_;  ///< empty: all
  std::vector<RegionId> Fallback_; ///< order if the objective's choice fails
  std::vector<RegionId> Avoid_;    ///< regions drained for this profile
  double ShiftCap_ = 0.1;          ///< share of a service's traffic moved ...
  Duration ShiftEvery_ = Duration::seconds(10); ///< ... per this interval
};

/// `[block.NAME]`: a block of client addresses and the zone nearest to it.
struct BlockDecl {
  std::string Name_;
  std::string Cidr_; ///< in canonical form, such as "10.1.0.0/16"
  ZoneId Zone_;
};

/// `[fleet]`: parameters of the whole deployment.
struct FleetDecl {
  Duration LookupTtl_ = Duration::seconds(5);
  Duration ResultsKept_ = Duration::seconds(600); ///< for once-requests
  Duration LeaseLength_ = Duration::seconds(3);
  double FloorShare_ = 0.3;  ///< fraction of each rate usable without a lease
  double RetryBudget_ = 0.1; ///< retries per request, per team and service
};

/// \class Declarations
/// \ingroup Config
/// \brief The operators' configuration of the whole deployment.
struct Declarations {
  FleetDecl Fleet_;
  std::map<RegionId, RegionDecl> Regions_;
  std::map<ZoneId, ZoneDecl> Zones_;
  std::map<VmId, VmDecl> Vms_;
  std::vector<LinkDecl> Links_;
  std::map<ServiceId, ServiceDecl> Services_;
  std::vector<RouteDecl> Routes_;
  std::map<TeamId, TeamDecl> Teams_;
  std::map<KeyId, KeyDecl> Keys_;
  std::map<ProfileId, ProfileDecl> Profiles_;
  std::vector<BlockDecl> Blocks_;
};

/// Parses the text of a declarations file. Reports unknown sections and keys,
/// repeated keys, malformed values, numbers out of range, references to
/// undeclared ids, and declarations that contradict each other.
/// \ingroup Config
/// \param File file name for the diagnostics
/// \param[out] Errors all errors found; the result is valid only if empty
Declarations parseDeclarations(const std::string &Text, const std::string &File,
                               Diagnostics &Errors);

} // namespace lagoonpoint
