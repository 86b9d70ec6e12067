#pragma once

#include "lagoonpoint/Core"
#include "lagoonpoint/src/Config/Diagnostics.h"

#include <string>
#include <vector>

namespace lagoonpoint {

/// A host and port to listen on or connect to; the host is an IP number.
struct Address {
  std::string Host_;
  unsigned short Port_ = 0;

  friend bool operator==(const Address &, const Address &) = default;
};

/// \returns "host:port".
std::string toString(const Address &A);

/// A VM to start from, before any declarations are known.
struct SeedPeer {
  VmId Vm_;
  ZoneId Zone_;
  Address Peers_;
};

/// \class Settings
/// \ingroup Config
/// \brief What one process is told at its start: `[vm]`, `[listen]`, `[peers]`,
/// `[secrets]`, `[limits]`, `[log]` of its settings file.
struct Settings {
  VmId Vm_;
  RegionId Region_;
  ZoneId Zone_;
  bool Entry_ = true;  ///< false on a VM that only votes and relays
  bool Voter_ = false; ///< one of the voters the deployment starts with
  Address Callers_;
  Address Upstreams_;
  Address Operators_;
  Address Peers_;
  std::vector<SeedPeer> Seeds_;
  std::vector<VmId> InitialVoters_;
  std::string DataFolder_;    ///< empty on a VM without a disk
  std::string ClusterSecret_; ///< peers prove that they hold it
  std::string OperatorKey_;   ///< operators present it
  unsigned CallerThreads_ = 64;
  unsigned MaxCallerConnections_ = 1000;
  std::size_t MaxHeaderBytes_ = 8192;
  std::size_t MaxBodyBytes_ = 16 << 20;
  Duration HeaderTimeout_ = Duration::seconds(5); ///< for the whole head
  Duration BodyTimeout_ = Duration::seconds(30);  ///< for the whole body
  Duration IdleTimeout_ = Duration::seconds(15);  ///< between requests
  Duration DrainLimit_ = Duration::seconds(30);   ///< of a graceful shutdown
  Duration UpstreamIdleTimeout_ =
      Duration::seconds(5); ///< reuse of a connection
  Duration ResponseBufferTime_ =
      Duration::millis(50); ///< before an answer is relayed
  std::string LogLevel_ = "info";
};

/// Parses a settings file's text.
/// \ingroup Config
/// \param File name used in findings
/// \param[out] Errors all errors found; the result is valid only if empty
Settings parseSettings(const std::string &Text, const std::string &File,
                       Diagnostics &Errors);

} // namespace lagoonpoint
