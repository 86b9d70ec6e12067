#pragma once

#include "lagoonpoint/src/Node/ActiveDeclarations.h"
#include "lagoonpoint/src/Node/ChangeRouter.h"
#include "lagoonpoint/src/Node/FeedHost.h"
#include "lagoonpoint/src/Node/MembershipHost.h"
#include "lagoonpoint/src/Node/ViewProposer.h"

#include <atomic>

namespace lagoonpoint {

/// One VM as `status` shows it.
struct VmStatus {
  VmId Vm_;
  ZoneId Zone_;
  std::string State_;
  Revision Revision_;     ///< active there, as far as this VM knows
  std::string LagReason_; ///< why its revision is older, if known
};

/// One voter as `status` shows it.
struct VoterStatus {
  VmId Vm_;
  std::string Role_;
  LogIndex Durable_;
};

/// One upstream as `status` shows it.
struct UpstreamStatus {
  ServiceId Service_;
  UpstreamId Upstream_;
  ZoneId Zone_;
  std::string State_;
  unsigned Slots_ = 0;
  double Load_ = 0;
};

/// What `status` shows.
struct ControlStatus {
  VmId Vm_;
  ZoneId Zone_;
  std::string WhyNotReady_;
  std::string Contact_;   ///< which peers this VM can reach
  std::string Readiness_; ///< how this VM became ready
  Revision Revision_;
  VmId Leader_;
  Term Term_;
  std::string Repair_; ///< whether changes survive the loss of one more voter,
                       ///< or why the replica stopped
  std::vector<VmStatus> Vms_;
  std::vector<VoterStatus> Voters_;
  std::vector<UpstreamStatus> Upstreams_;
};

/// A change of the voters.
struct VoterChange {
  std::string Action_; ///< "add", "remove" or "replace"
  VmId Vm_;
  VmId Replacement_; ///< replace: the VM that takes the place of Vm_
};

/// Where a revision is active.
struct RolloutReport {
  std::vector<ZoneId> Zones_; ///< zones in which every VM confirmed it
  std::vector<VmId> Unconfirmed_;
};

/// \class Control
/// \ingroup Node
/// \brief The control plane of this VM: its replica, its feed of declarations,
/// and the operations that operators request. Thread-safe.
class Control {
public:
  Control(const Settings &S, Incarnation I, const Clock &C, Transport &T,
          ActiveDeclarationsHolder &Active, MembershipHost &M);
  ~Control();

  void start();
  void stop();
  void receive(Envelope Message);

  /// Submits a change to the leader.
  /// \throws UnavailableError
  ChangeReply submit(const Change &C, Duration Wait);
  /// Withdraws a key at this VM immediately, then at all others.
  ChangeReply withdrawKey(const Change &C, Duration Wait);
  /// Grants a key. The verdict is Invalid if the team is not declared, and
  /// Conflict if the key id exists already.
  ChangeReply grantKey(const Change &C, Duration Wait);
  /// Starts a change of the voters.
  /// \returns why it is refused, empty if it started
  std::string changeVoter(const VoterChange &V, Duration Wait);

  /// Waits until every VM confirmed a revision, or \p Wait has passed.
  RolloutReport awaitRollout(Revision R, Duration Wait);

  bool isDeclared(const Drain &D) const;
  std::pair<Revision, std::string> declarationsText() const;
  ControlStatus status();
  /// \returns why this VM may not serve calls, empty if it may.
  std::string whyNotReady() const;
  LeaderView leaderView() const;

  /// Advances the feed and proposes the changes that are due. Call it every
  /// 100 ms.
  void tick();
  /// \returns whether a key that is known and has the right secret is valid.
  KeyVerdict keyVerdict(const KeyDecl &Key) const;

private:
  /// Submits a change without waiting for its verdict.
  void propose(Change C);
  void proposeView();
  void logWithdrawals();
  std::string replaceVoter(const VoterChange &V);
  void finishReplacement(const VoterChange &V, bool SameVm);

  std::vector<VmStatus>
  vmRows(const ActiveDeclarations &F, const FleetView &Fleet,
         const std::map<VmId, Revision> &ConfirmedRevisions) const;
  std::map<VmId, Revision> confirmedRevisions() const;

  const Settings &Settings_;
  const Clock &Clock_;
  ActiveDeclarationsHolder &Active_;
  MembershipHost &Members_;
  FeedHost Feed_;
  std::string ReplicaFault_; ///< why there is no replica, if it failed
  std::unique_ptr<ReplicaHost> Replica_;
  ChangeRouter Router_;
  ViewProposer ViewProposer_;
  Time NextWithdrawalLog_;
  Worker ProposalWorker_;
};

} // namespace lagoonpoint
