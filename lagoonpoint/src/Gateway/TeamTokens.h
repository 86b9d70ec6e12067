#pragma once

#include "lagoonpoint/Fleet"
#include "lagoonpoint/Limits"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace lagoonpoint {

/// Entry VMs drop unused tokens after this time, because the rate limit must
/// hold in any time window: tokens that are kept longer are used together with
/// those of later seconds.
inline constexpr Duration TokenLifetime = Duration::millis(400);

/// \class TeamTokens
/// \ingroup Gateway
/// \brief Rate-limit tokens of the teams at an entry VM, requested from core
/// VMs on demand, and the request rates that this VM measures. Thread-safe.
class TeamTokens {
public:
  using Sender = std::function<void(const VmId &, const TokenRequest &)>;

  /// \param Send sends a token request; must not block
  TeamTokens(const Clock &C, Sender Send) : Clock_(C), Send_(std::move(Send)) {}

  /// Sets the core VMs that may grant tokens.
  /// \param Local those in contact of this VM's region
  /// \param Remote those of other regions, the nearest first
  /// \param Replying those of \p Local that are known to run
  void setHolders(std::vector<VmId> Local, std::vector<VmId> Remote,
                  std::vector<VmId> Replying);

  /// Counts a request for a service.
  void countService(const ServiceId &Service);
  /// Takes one token, requesting tokens if none is cached.
  /// \throws Refusal if the team is over its rate, or no core VM answers and no
  /// fallback token is left
  void take(const TeamId &Team);
  /// Returns the token of a request that was not sent to an upstream.
  void returnToken(const TeamId &Team);
  void onGrant(const VmId &From, const TokenGrant &G);

  /// Reports the requests per second at this VM by team and by service.
  void collectRates(RateMap &Teams, RateMap &Services);

private:
  struct OverdueRequest {
    Time SentAt_;
    unsigned ReportedUsed_ = 0;
  };
  struct TeamState {
    DemandMeter Demand_;
    DemandMeter Granted_;
    unsigned Tokens_ = 0;
    Time ReceivedAt_;
    unsigned Waiting_ = 0;            ///< requests that wait for a token
    std::uint64_t RequestNumber_ = 0; ///< of the outstanding request; 0: none
    VmId RequestedFrom_;              ///< receiver of the outstanding request
    Time SentAt_;
    /// Requests that were not answered in time and still may be.
    std::map<std::uint64_t, OverdueRequest> Overdue_;
    Time OverRateUntil_; ///< the team is over its rate until then
    Time LastGrantAt_;
    std::map<VmId, Time> GrantedAt_; ///< last grant of each core VM
    double FallbackTokens_ = 0;      ///< tokens to use while no core VM answers
    Time FallbackUpdatedAt_;
    unsigned UnreportedUsed_ = 0; ///< fallback tokens that no request reports
    unsigned ReportedUsed_ = 0;   ///< those in the outstanding request
    std::condition_variable Changed_;
  };

  bool takeCachedToken(TeamState &State, Time Now) const;
  bool takeFallbackToken(TeamState &State, Time Now) const;
  void addTokens(TeamState &State, const VmId &From, unsigned Count,
                 Time Now) const;
  void setOverdue(TeamState &State, Time Now) const;
  void acceptLateGrant(TeamState &State, const VmId &From, const TokenGrant &G,
                       Time Now) const;
  Time lastGrantOfOthers(const TeamState &State) const;
  bool precedingReplies(const TeamId &Team, const VmId &Vm) const;
  bool requestTokens(const TeamId &Team, TeamState &State, Time Now);
  VmId holderOf(const TeamId &Team, Time Now) const;

  const Clock &Clock_;
  const Sender Send_;
  std::mutex Lock_;
  std::vector<VmId> LocalHolders_;
  std::vector<VmId> RemoteHolders_;
  std::vector<VmId> ReplyingHolders_;
  std::map<VmId, Time> SuspectedUntil_; ///< core VMs that gave no usable answer
  std::map<TeamId, TeamState> Teams_;
  std::map<ServiceId, DemandMeter> Services_;
  std::uint64_t NextRequestNumber_ = 1;
};

} // namespace lagoonpoint
