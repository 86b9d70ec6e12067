#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"

#include <string>

namespace lagoonpoint {

/// `POST /v1/announce`, body JSON. Renewed before the lease ends.
struct Announcement {
  ServiceId Service_;
  UpstreamId Upstream_;
  Address Address_;
  unsigned Slots_ = 0;       ///< requests it runs at once
  unsigned Connections_ = 0; ///< connections it accepts
  double Load_ = 0;          ///< share of its slots in use, 0 to 1
  bool LoadReported_ = false;
  bool Leaving_ = false;
};

/// Answer to an announcement.
struct AnnounceReply {
  Duration Lease_;      ///< after this without renewal the upstream is gone
  Duration RenewEvery_; ///< how often to announce
};

/// \class UpstreamPort
/// \ingroup Http
/// \brief What the upstreams' listener needs of the entry VM. Thread-safe.
class UpstreamPort {
public:
  virtual ~UpstreamPort() = default;

  /// \param ServiceKey as shown by the upstream
  /// \throws Refusal if the key is not the service's, or a field is invalid
  virtual AnnounceReply announce(const Announcement &A,
                                 const std::string &ServiceKey) = 0;
};

} // namespace lagoonpoint
