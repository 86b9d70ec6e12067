#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/src/Config/Diagnostics.h"

#include <string>
#include <vector>

namespace lagoonpoint {

/// A host and port to listen on or connect to; the host is an IP address.
struct Address {
  std::string Host_;
  unsigned short Port_ = 0;

  friend bool operator==(const Address &, const Address &) = default;
};

/// \returns "host:port".
std::string toString(const Address &A);

/// A VM to connect to before any declarations are known.
struct SeedPeer {
  VmId Vm_;
  ZoneId Zone_;
  Address Peers_;
};

/// \class Settings
/// \ingroup Config
/// \brief Settings of one process: `[vm]`, `[listen]`, `[peer.ID]`,
/// `[cluster]`, `[data]`, `[limits]` and `[log]` of its settings file.
struct Settings {
  VmId Vm_;
  RegionId Region_;
  ZoneId Zone_;
  bool Entry_ = true;  ///< false on a VM that only votes and relays
  bool Voter_ = false; ///< whether this VM is one of the initial voters
  Address Callers_;
  Address Upstreams_;
  Address Operators_;
  Address Peers_;
  std::vector<SeedPeer> Seeds_;
  std::vector<VmId> InitialVoters_;
  std::string DataFolder_;    ///< empty on a VM without a disk
  std::string ClusterSecret_; ///< shared by all VMs; authenticates peers
  std::string OperatorKey_;   ///< authenticates operators
  unsigned CallerThreads_ = 64;
  unsigned MaxCallerConnections_ = 1000;
  std::size_t MaxHeaderBytes_ = 8192;
  std::size_t MaxBodyBytes_ = 16 << 20;
  Duration HeaderTimeout_ = Duration::seconds(5); ///< for the whole header
  Duration BodyTimeout_ = Duration::seconds(30);  ///< for the whole body
  Duration IdleTimeout_ = Duration::seconds(15);  ///< between requests
  Duration DrainLimit_ = Duration::seconds(30);   ///< of a graceful shutdown
  /// Time for which an idle connection to an upstream is kept for reuse.
  Duration UpstreamIdleTimeout_ = Duration::seconds(5);
  /// Longest time for which a response is buffered before it is relayed.
  Duration ResponseBufferTime_ = Duration::millis(50);
  std::string LogLevel_ = "info";
};

/// Parses the text of a settings file.
/// \ingroup Config
/// \param File file name for the diagnostics
/// \param[out] Errors all errors found; the result is valid only if empty
Settings parseSettings(const std::string &Text, const std::string &File,
                       Diagnostics &Errors);

} // namespace lagoonpoint
