#include "lagoonpoint/src/Limits/FairQueue.h"

#include "lagoonpoint/src/Core/Assert.h"

#include <algorithm>

namespace lagoonpoint {

namespace {

using TeamQueue = FairQueue::TeamQueue;

/// Removes a team with an empty queue. Its deficit is dropped, so an idle team
/// accumulates no credit.
void removeTeam(FairQueue &Q, const TeamId &Team) {
  std::erase(Q.ActiveTeams_, Team);
  Q.Teams_.erase(Team);
}

void dropExpired(TeamQueue &T, Time Now, std::vector<std::uint64_t> &Expired) {
  while (!T.Calls_.empty() && T.Calls_.front().Deadline_ <= Now) {
    Expired.push_back(T.Calls_.front().Ticket_);
    T.Calls_.pop_front();
  }
}

void endTurn(FairQueue &Q, TeamQueue &T) {
  T.Credited_ = false;
  Q.ActiveTeams_.push_back(Q.ActiveTeams_.front());
  Q.ActiveTeams_.pop_front();
}

} // namespace

bool push(FairQueue &Q, QueuedCall Call, unsigned Weight, Time Now) {
  if (Call.Deadline_ <= Now)
    return false;
  auto [Found, New] = Q.Teams_.try_emplace(Call.Team_);
  TeamQueue &T = Found->second;
  T.Weight_ = std::max(1U, Weight);
  if (T.Calls_.size() >= Q.MaxPerTeam_)
    return false;
  if (New)
    Q.ActiveTeams_.push_back(Call.Team_);
  T.Calls_.push_back(std::move(Call));
  return true;
}

std::optional<QueuedCall> pop(FairQueue &Q, Time Now,
                              std::vector<std::uint64_t> &Expired) {
  while (!Q.ActiveTeams_.empty()) {
    TeamId Team = Q.ActiveTeams_.front();
    TeamQueue &T = Q.Teams_.at(Team);
    dropExpired(T, Now, Expired);
    if (T.Calls_.empty()) {
      removeTeam(Q, Team);
      continue;
    }
    if (!T.Credited_)
      T.Deficit_ += T.Weight_;
    T.Credited_ = true;
    if (T.Deficit_ < T.Calls_.front().Cost_) {
      endTurn(Q, T);
      continue;
    }
    QueuedCall Call = std::move(T.Calls_.front());
    T.Calls_.pop_front();
    T.Deficit_ -= Call.Cost_;
    LAGOONPOINT_ASSERT(Call.Deadline_ > Now, "queue.pop");
    if (T.Calls_.empty())
      removeTeam(Q, Team);
    return Call;
  }
  return std::nullopt;
}

std::vector<std::uint64_t> expire(FairQueue &Q, Time Now) {
  std::vector<std::uint64_t> Expired;
  std::vector<TeamId> Empty;
  for (auto &[Team, T] : Q.Teams_) {
    std::erase_if(T.Calls_, [&](const QueuedCall &Call) {
      if (Call.Deadline_ > Now)
        return false;
      Expired.push_back(Call.Ticket_);
      return true;
    });
    if (T.Calls_.empty())
      Empty.push_back(Team);
  }
  for (const TeamId &Team : Empty)
    removeTeam(Q, Team);
  return Expired;
}

bool cancel(FairQueue &Q, const TeamId &Team, std::uint64_t Ticket) {
  auto Found = Q.Teams_.find(Team);
  if (Found == Q.Teams_.end())
    return false;
  auto Removed =
      std::erase_if(Found->second.Calls_, [&](const QueuedCall &Call) {
        return Call.Ticket_ == Ticket;
      });
  if (Found->second.Calls_.empty())
    removeTeam(Q, Team);
  return Removed > 0;
}

std::size_t queueLength(const FairQueue &Q, const TeamId &Team) {
  auto Found = Q.Teams_.find(Team);
  return Found == Q.Teams_.end() ? 0 : Found->second.Calls_.size();
}

} // namespace lagoonpoint
