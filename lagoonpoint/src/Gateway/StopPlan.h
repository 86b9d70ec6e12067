#pragma once

#include "lagoonpoint/Core"

namespace lagoonpoint {

/// \class StopPlan
/// \ingroup Gateway
/// \brief Deadlines of a planned stop of an entry VM. All of its stages share
/// them, so that they can't add up to more than the time the process is given.
struct StopPlan {
  /// Until then, callers still use this VM because of an earlier look-up.
  Time LookupsExpireAt_;
  /// Calls in flight end by then; the rest of the grace time is for the process
  /// to exit.
  Time CallsEndBy_;
};

/// \param Grace time from the signal until the process is killed
/// \param LookupTtl time for which callers may use the result of a look-up
/// \ingroup Gateway
StopPlan makeStopPlan(Time Now, Duration Grace, Duration LookupTtl);

/// \returns whether a call that arrives during the stop is accepted. Callers
/// with an earlier look-up know of no other VM yet, and most calls end well
/// before their deadline. Later ones are accepted only if they are certain to
/// end in time; another VM serves the others.
/// \ingroup Gateway
bool acceptsCall(const StopPlan &Plan, Time Now, Time CallDeadline);

} // namespace lagoonpoint
