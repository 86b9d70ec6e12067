#pragma once

#include "lagoonpoint/Core"

#include <optional>

namespace lagoonpoint {

/// Parameters of a ConcurrencyLimit.
struct ConcurrencyLimitOptions {
  /// Mean part of the time until their deadlines that calls may take. Cold runs
  /// take up to half of it without a queue.
  double Target_ = 0.6;
  Duration Interval_ = Duration::millis(500); ///< between changes
  unsigned MinCalls_ = 4; ///< calls per interval; with fewer it is extended
  double MaxDecrease_ = 0.8;
  double MaxIncrease_ = 1.1;
  double MinLimit_ = 1; ///< some calls must show whether there is room
  /// The limit is lifted once it exceeds the calls in progress by this factor.
  double LiftedFactor_ = 4;
};

/// \class ConcurrencyLimit
/// \ingroup Admission
/// \brief Limits one VM's calls in progress at a group of upstreams by the time
/// that calls take.
///
/// Upstreams queue what they can't run. Once they get more than they complete,
/// most calls reach their deadline in the queue or soon after, and few of the
/// runs are of use to anybody. A limit on the calls in progress bounds the
/// queue, whatever the rate of the callers is. There is none until calls take
/// too long.
struct ConcurrencyLimit {
  std::optional<double> Limit_;
  unsigned InProgress_ = 0;
  double SumOfParts_ = 0; ///< of the time that calls of this interval had
  unsigned Calls_ = 0;    ///< that ended in this interval
  Time IntervalStart_;
};

/// \ingroup Admission
bool hasRoom(const ConcurrencyLimit &L);

/// Counts a call that is sent.
/// \ingroup Admission
void recordStart(ConcurrencyLimit &L);

/// Counts a call that has ended.
/// \ingroup Admission
/// \param Part time that it took, as a part of the time until its deadline;
/// none if it was neither answered nor timed out
void recordEnd(ConcurrencyLimit &L, std::optional<double> Part,
               const ConcurrencyLimitOptions &Options, Time Now);

} // namespace lagoonpoint
