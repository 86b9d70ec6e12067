#pragma once

#include "lagoonpoint/Codec"
#include "lagoonpoint/Core"

#include <cstdint>
#include <string>

namespace lagoonpoint {

/// State that an upstream announced, or Gone once it is known to have ended.
enum class NoticePhase : std::uint8_t { Serving = 1, Leaving = 2, Gone = 3 };

/// \class UpstreamNotice
/// \ingroup Catalog
/// \brief The last announcement of one upstream.
struct UpstreamNotice {
  UpstreamId Id_;
  std::uint64_t StartedAtMs_ = 0; ///< process start, Unix time in ms
  std::uint64_t Sequence_ =
      0; ///< increases with each announcement of a process
  ServiceId Service_;
  std::string Address_; ///< "host:port"
  ZoneId Zone_;
  unsigned Slots_ = 1; ///< requests that it runs concurrently
  NoticePhase Phase_ = NoticePhase::Serving;
  Duration WarmupLeft_; ///< remaining warm-up at the time of sending
  Duration Age_;        ///< time from the announcement to the sending
  MSGPACK_DEFINE(Id_, StartedAtMs_, Sequence_, Service_, Address_, Zone_,
                 Slots_, Phase_, WarmupLeft_, Age_)
};

/// \returns whether an announcement replaces a known one of the same upstream:
/// a later process, a later phase, or a higher sequence.
/// \ingroup Catalog
bool isNewer(const UpstreamNotice &A, const UpstreamNotice &Known);

} // namespace lagoonpoint

MSGPACK_ADD_ENUM(lagoonpoint::NoticePhase);
