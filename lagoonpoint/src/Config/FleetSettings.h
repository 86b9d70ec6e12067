#pragma once

#include "lagoonpoint/src/Config/Settings.h"

#include <map>

namespace lagoonpoint {

/// \class FleetSettings
/// \ingroup Config
/// \brief What one process of a fleet with learned membership is told at its
/// start. Addresses of other VMs are learned from the seeds.
struct FleetSettings {
  std::string Name_; ///< of the VM, for logs
  std::string Host_; ///< IP number of this VM; its identity towards peers
  RegionId Region_;
  ZoneId Zone_;
  bool Core_ = false;      ///< replicates the configuration; needs a folder
  bool Bootstrap_ = false; ///< first start of the whole deployment
  std::string DataFolder_;
  std::string Callers_;   ///< entry VM: listen address for callers
  std::string Readiness_; ///< entry VM: listen address for readiness checks
  std::string Control_;   ///< core VM: listen address for operators, upstreams
  std::string Directory_; ///< core VM: listen address for look-ups
  unsigned short PeerPort_ = 0;    ///< the same on every VM
  unsigned short MetricsPort_ = 0; ///< 0: metrics are not served
  std::vector<std::string> Seeds_; ///< "host:port" of some core VMs
  std::map<ZoneId, RegionId> Zones_;
  std::string Secret_; ///< peers prove that they hold it

  Duration AnnounceEvery_ = Duration::millis(1500); ///< of an upstream
  Duration Grace_ = Duration::seconds(6);           ///< from SIGTERM to SIGKILL
  Duration Revoke_ = Duration::seconds(5); ///< a withdrawn key still works
  bool StrictRevocation_ = true;           ///< also at a VM that is cut off
  Duration LookupTtl_ = Duration::seconds(2);
  double RetryRatio_ = 0.2; ///< further sends per request, fleet-wide
  Duration RetryWindow_ = Duration::seconds(10);
  double RetrySlack_ = 0; ///< further sends a window, fleet-wide
  Duration QuotaWindow_ = Duration::seconds(5);
  double QuotaOverage_ = 0;      ///< part that teams may get beyond their rate
  double QuotaSlack_ = 0;        ///< requests a window beyond that
  double MaxRegionShift_ = 0.15; ///< share of requests that change region
  std::string LogLevel_ = "info";
};

/// Parses the settings file of a fleet's process.
/// \ingroup Config
/// \param File name used in findings
/// \param[out] Errors all errors found; the result is valid only if empty
FleetSettings parseFleetSettings(const std::string &Text,
                                 const std::string &File, Diagnostics &Errors);

} // namespace lagoonpoint
