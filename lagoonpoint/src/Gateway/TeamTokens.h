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
  void setHolders(std::vector<VmId> Near, std::vector<VmId> Far);

  /// Counts a request for a service.
  void countService(const ServiceId &Service);
  /// Takes one token, asking for it if none is held.
  /// \throws Refusal if the team is over its rate, or no core VM says whether
  /// it is
  void take(const TeamId &Team);
  /// Gives back the token of a request that was not sent.
  void giveBack(const TeamId &Team);
  void onGrant(const VmId &From, const TokenGrant &G);

  /// Tells what this VM is asked for.
  void rates(RateMap &Teams, RateMap &Services);

private:
  struct Purse {
    DemandMeter Asked_;
    DemandMeter Granted_;
    unsigned Tokens_ = 0;
    Time GotAt_;
    unsigned Waiting_ = 0;     ///< requests that wait for a token
    std::uint64_t Number_ = 0; ///< of the ask not answered yet; 0: none
    VmId Of_;                  ///< it went there
    Time SentAt_;
    Time NoneUntil_; ///< the team is over its rate
    Time TokenAt_;   ///< last grant
    double Own_ = 0; ///< tokens to use while no core VM answers
    Time OwnAt_;
    std::condition_variable Changed_;
  };

  bool takeHeld(Purse &P, Time Now) const;
  bool takeOwn(Purse &P, Time Now) const;
  bool ask(const TeamId &Team, Purse &P, Time Now);
  VmId holderOf(const TeamId &Team, Time Now) const;

  const Clock &Clock_;
  const Sender Send_;
  std::mutex Lock_;
  std::vector<VmId> Near_;
  std::vector<VmId> Far_;
  std::map<VmId, Time> Suspected_; ///< until then
  std::map<TeamId, Purse> Purses_;
  std::map<ServiceId, DemandMeter> Services_;
  std::uint64_t NextNumber_ = 1;
};

} // namespace lagoonpoint
