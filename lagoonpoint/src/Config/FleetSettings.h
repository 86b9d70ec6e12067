#pragma once

#include "lagoonpoint/src/Config/Settings.h"

#include <map>

namespace lagoonpoint {

/// Whether the entry VMs of a region place calls with shared knowledge of the
/// upstreams' slots.
enum class PlacementMode {
  Off,
  Auto, ///< once upstreams state their pace, or another VM asks for a slot
  On
};

/// \class FleetSettings
/// \ingroup Config
/// \brief Settings of one process in a fleet that discovers its members: the
/// process learns the addresses of other VMs from the seeds.
struct FleetSettings {
  std::string Name_; ///< name of the VM in logs
  std::string Host_; ///< IP address of this VM; identifies it to its peers
  RegionId Region_;
  ZoneId Zone_;
  bool Core_ = false;      ///< replicates the configuration; needs DataFolder_
  bool Bootstrap_ = false; ///< first start of the whole deployment
  std::string DataFolder_;
  std::string Callers_;   ///< entry VM: listen address for callers
  std::string Readiness_; ///< entry VM: listen address for readiness checks
  std::string Control_;   ///< core VM: listen address for operators, upstreams
  std::string Directory_; ///< core VM: listen address for lookups
  unsigned short PeerPort_ = 0;    ///< must be the same on every VM
  unsigned short MetricsPort_ = 0; ///< 0: metrics are not served
  std::vector<std::string> Seeds_; ///< "host:port" of some core VMs
  std::map<ZoneId, RegionId> Zones_;
  /// Words that the platform's adapter interprets.
  std::vector<std::string> Terms_;
  std::string Secret_; ///< shared by all VMs; peers authenticate with it

  /// Interval at which an upstream announces itself.
  Duration AnnounceEvery_ = Duration::millis(1500);
  Duration Grace_ = Duration::seconds(6); ///< from SIGTERM to SIGKILL
  /// Longest time for which a key is still accepted after its withdrawal.
  Duration Revoke_ = Duration::seconds(5);
  bool StrictRevocation_ = true; ///< Revoke_ also holds on a VM that is cut off
  Duration LookupTtl_ = Duration::seconds(2);
  double RetryRatio_ = 0.2; ///< retries per request, fleet-wide
  Duration RetryWindow_ = Duration::seconds(10);
  double RetrySlack_ = 0; ///< additional retries per window, fleet-wide
  Duration QuotaWindow_ = Duration::seconds(5);
  double QuotaOverage_ = 0; ///< allowed excess as a fraction of a team's rate
  double QuotaSlack_ = 0;   ///< additional requests per window
  double MaxRegionShift_ = 0.15; ///< share of requests that may change region
  std::string LogLevel_ = "info";
  PlacementMode Placement_ = PlacementMode::Off;
  PlacementMode LoadSharing_ = PlacementMode::Off;
  PlacementMode ReturnTimes_ = PlacementMode::Off;
  PlacementMode ConcurrencyLimits_ = PlacementMode::Off;
  unsigned PoolSlots_ = 48; ///< slots that one VM grants as one pool
};

/// Parses the text of a settings file of such a process.
/// \ingroup Config
/// \param File file name for the diagnostics
/// \param[out] Errors all errors found; the result is valid only if empty
FleetSettings parseFleetSettings(const std::string &Text,
                                 const std::string &File, Diagnostics &Errors);

} // namespace lagoonpoint
