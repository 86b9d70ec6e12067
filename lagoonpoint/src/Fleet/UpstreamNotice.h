#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <cstdint>
#include <string>

namespace lagoonpoint {

/// What an upstream says of itself, or what is known of its end.
enum class NoticePhase : std::uint8_t { Serving = 1, Leaving = 2, Gone = 3 };

/// \class UpstreamNotice
/// \ingroup Fleet
/// \brief What one upstream said of itself last.
struct UpstreamNotice {
  UpstreamId Id_;
  std::uint64_t StartedAtMs_ = 0; ///< Unix milliseconds of the process's start
  std::uint64_t Sequence_ = 0;    ///< grows with each announcement of a process
  ServiceId Service_;
  std::string Address_; ///< "host:port"
  ZoneId Zone_;
  unsigned Slots_ = 1; ///< requests it runs at once
  NoticePhase Phase_ = NoticePhase::Serving;
  Duration WarmupLeft_; ///< rest of its warm-up, when it was sent
  Duration Age_;        ///< since the upstream said it, when it was sent
  MSGPACK_DEFINE(Id_, StartedAtMs_, Sequence_, Service_, Address_, Zone_,
                 Slots_, Phase_, WarmupLeft_, Age_)
};

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::NoticePhase);
