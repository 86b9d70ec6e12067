#pragma once

#include "lagoonpoint/Fleet"
#include "lagoonpoint/Limits"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace lagoonpoint {

/// \class TeamTokens
/// \ingroup Gateway
/// \brief Tokens of the teams' rates at an entry VM, asked of core VMs when
/// requests need them, and the demand that the VM sees. Thread-safe.
class TeamTokens {
public:
  using Sender = std::function<void(const VmId &, const TokenRequest &)>;

  /// \param Send passes an ask on; must not block
  TeamTokens(const Clock &C, Sender Send) : Clock_(C), Send_(std::move(Send)) {}

  /// Sets the core VMs in contact.
  /// \param Near of this VM's region
  /// \param Far others, the nearest first
  void setHolders(std::vector<VmId> Local, std::vector<VmId> Remote);

  /// Counts a request for a service.
  void countService(const ServiceId &Service);
  /// Takes one token, asking for it if none is held.
  /// \throws Refusal if the team is over its rate, or no core VM says whether
  /// it is
  void take(const TeamId &Team);
  /// Gives back the token of a request that was not sent.
  void returnToken(const TeamId &Team);
  void onGrant(const VmId &From, const TokenGrant &G);

  /// Tells what this VM is asked for.
  void collectRates(RateMap &Teams, RateMap &Services);

private:
  struct TeamState {
    DemandMeter Demand_;
    DemandMeter Granted_;
    unsigned Tokens_ = 0;
    Time ReceivedAt_;
    unsigned Waiting_ = 0;            ///< requests that wait for a token
    std::uint64_t RequestNumber_ = 0; ///< of the ask not answered yet; 0: none
    VmId RequestedFrom_;              ///< it went there
    Time SentAt_;
    Time OverRateUntil_;        ///< the team is over its rate
    Time LastGrantAt_;          ///< last grant
    double FallbackTokens_ = 0; ///< tokens to use while no core VM answers
    Time FallbackUpdatedAt_;
    std::condition_variable Changed_;
  };

  bool takeCachedToken(TeamState &State, Time Now) const;
  bool takeFallbackToken(TeamState &State, Time Now) const;
  bool requestTokens(const TeamId &Team, TeamState &State, Time Now);
  VmId holderOf(const TeamId &Team, Time Now) const;

  const Clock &Clock_;
  const Sender Send_;
  std::mutex Lock_;
  std::vector<VmId> LocalHolders_;
  std::vector<VmId> RemoteHolders_;
  std::map<VmId, Time> SuspectedUntil_; ///< until then
  std::map<TeamId, TeamState> Teams_;
  std::map<ServiceId, DemandMeter> Services_;
  std::uint64_t NextRequestNumber_ = 1;
};

} // namespace lagoonpoint
