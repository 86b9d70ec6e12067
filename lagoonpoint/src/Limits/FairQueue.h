#pragma once

#include "lagoonpoint/Core"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lagoonpoint {

/// A call that waits for an upstream.
struct QueuedCall {
  std::uint64_t Ticket_ = 0;
  TeamId Team_;
  double Cost_ = 1; ///< in upstream slots, 1 for an ordinary request
  Time Deadline_;
};

/// \class FairQueue
/// \ingroup Limits
/// \brief Per-team queues of calls waiting for an upstream, served by deficit
/// round robin: backlogged teams are served in proportion to their weights.
///
/// A plain struct, modified by the functions below. Each team's queue is
/// bounded. A call whose deadline has passed is never returned.
struct FairQueue {
  struct TeamQueue {
    std::deque<QueuedCall> Calls_;
    unsigned Weight_ = 1;
    double Deficit_ = 0;
    bool Credited_ = false; ///< has received its quantum in this round
  };

  std::size_t MaxPerTeam_ = 256;
  std::map<TeamId, TeamQueue> Teams_;
  std::deque<TeamId>
      ActiveTeams_; ///< teams with queued calls, in order of service
};

/// Appends a call to its team's queue.
/// \ingroup Limits
/// \param Weight of the team; 0 counts as 1
/// \returns false if the team's queue is full or the deadline has passed
bool push(FairQueue &Q, QueuedCall Call, unsigned Weight, Time Now);

/// \returns the call to dispatch next, nothing if the queue is empty.
/// \ingroup Limits
/// \param[out] Expired tickets of calls dropped past their deadline, appended
std::optional<QueuedCall> pop(FairQueue &Q, Time Now,
                              std::vector<std::uint64_t> &Expired);

/// Removes all calls past their deadline.
/// \ingroup Limits
/// \returns their tickets
std::vector<std::uint64_t> expire(FairQueue &Q, Time Now);

/// Removes a call whose caller has left.
/// \ingroup Limits
/// \returns true if it was still queued
bool cancel(FairQueue &Q, const TeamId &Team, std::uint64_t Ticket);

/// \returns the number of a team's queued calls.
/// \ingroup Limits
std::size_t queueLength(const FairQueue &Q, const TeamId &Team);

} // namespace lagoonpoint
