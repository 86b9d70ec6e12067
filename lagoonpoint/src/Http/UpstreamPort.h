#pragma once

#include "lagoonpoint/Config"
#include "lagoonpoint/Core"

#include <string>

namespace lagoonpoint {

/// JSON body of `POST /v1/announce`. The upstream must announce itself again
/// before its lease ends.
struct Announcement {
  ServiceId Service_;
  UpstreamId Upstream_;
  Address Address_;
  unsigned Slots_ = 0;       ///< requests it runs concurrently
  unsigned Connections_ = 0; ///< connections it accepts
  double Load_ = 0;          ///< fraction of its slots in use, 0 to 1
  bool LoadReported_ = false;
  bool Leaving_ = false;
};

/// Response to an announcement.
struct AnnounceReply {
  Duration Lease_;      ///< the upstream is removed if not renewed within this
  Duration RenewEvery_; ///< interval of announcements
};

/// \class UpstreamPort
/// \ingroup Http
/// \brief Interface of the entry VM to the upstreams' listener. Thread-safe.
class UpstreamPort {
public:
  virtual ~UpstreamPort() = default;

  /// \param ServiceKey as sent by the upstream
  /// \throws Refusal if the key is not the service's, or a field is invalid
  virtual AnnounceReply announce(const Announcement &A,
                                 const std::string &ServiceKey) = 0;
};

} // namespace lagoonpoint
