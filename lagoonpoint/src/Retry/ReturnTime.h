#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// What is known of a refused call when its caller is told to return.
/// \ingroup Retry
struct ReturnQuery {
  Duration Earliest_;      ///< until the cause of the refusal may have ended
  Duration TimeLeft_;      ///< until the caller gives up; 0 if unknown
  Duration Objective_;     ///< latency objective of the route; 0 if none
  Duration ObjectiveLeft_; ///< until a response is late
};

/// Chooses the Retry-After of a call that was refused without being run.
///
/// A call that can still meet its objective returns in time for that. Any other
/// one returns late in the time for which callers obey Retry-After, because a
/// burst or an outage is then more likely to be over, and many callers retry
/// only once. Calls that are refused together are spread over that time.
/// \ingroup Retry
/// \param Spread position in that time, from 0 to 1; differs between calls
/// \returns at least 1 ms and \p Q.Earliest_; beyond that, at most the part of
/// the time left for which callers obey
Duration returnDelay(const ReturnQuery &Q, double Spread);

} // namespace lagoonpoint
