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
  double Cost_ = 1; ///< share of a slot, 1 for an ordinary request
  Time Deadline_;
};

/// \class FairQueue
/// \ingroup Limits
/// \brief Calls that wait for upstreams, served by deficit round robin: over
/// any time in which teams wait, each gets a share in proportion to its weight.
///
/// A plain struct; the functions below change it. Bounded per team; a call
/// whose deadline has passed is never handed out.
struct FairQueue {
  struct TeamQueue {
    std::deque<QueuedCall> Calls_;
    unsigned Weight_ = 1;
    double Deficit_ = 0;
    bool Credited_ = false; ///< got this round's quantum
  };

  std::size_t MaxPerTeam_ = 256;
  std::map<TeamId, TeamQueue> Teams_;
  std::deque<TeamId> ActiveTeams_; ///< teams with calls, next to serve first
};

/// Queues a call behind its team's others.
/// \ingroup Limits
/// \param Weight share of the team; 0 counts as 1
/// \returns false if the team's queue is full or the deadline has passed
bool push(FairQueue &Q, QueuedCall Call, unsigned Weight, Time Now);

/// \returns the call to dispatch next, if any waits.
/// \ingroup Limits
/// \param[out] Expired tickets found to be past their deadline, appended
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

/// \returns how many calls of a team wait.
/// \ingroup Limits
std::size_t queueLength(const FairQueue &Q, const TeamId &Team);

} // namespace lagoonpoint
