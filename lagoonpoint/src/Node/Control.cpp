#include "lagoonpoint/src/Node/Control.h"

#include "lagoonpoint/Log"

#include <chrono>
#include <thread>

namespace lagoonpoint {

namespace {

constexpr Duration ProposalTimeout = Duration::seconds(3);
constexpr Duration WithdrawalLogInterval = Duration::seconds(1);
constexpr Duration ReplaceTimeout = Duration::seconds(120);
constexpr Duration ReplacePollInterval = Duration::millis(200);
/// Text of `status` about a replica that is not running.
const std::string ReplicaStoppedText = "this VM's replica stopped: ";
/// Step of the error for a data folder that another process has locked.
constexpr const char *DiskLockStep = "disk.lock";
constexpr Duration RolloutPollInterval = Duration::millis(20);

/// Opens the replica. With a damaged or failing disk the VM serves calls
/// without a replica, so it has no vote. If another process has locked the data
/// folder, the error is rethrown and the process does not start.
/// \param[out] Fault why there is no replica although the VM has a disk
std::unique_ptr<ReplicaHost> openReplica(const Settings &S, const Clock &C,
                                         Transport &T, ReplicaHost::Observer O,
                                         std::string &Fault) {
  if (S.DataFolder_.empty())
    return nullptr;
  try {
    return std::make_unique<ReplicaHost>(S, C, T, std::move(O));
  } catch (const DiskError &E) {
    if (E.step() == DiskLockStep)
      throw;
    logError(E);
    Fault = E.what();
    return nullptr;
  }
}

/// \returns where a revision is active, as the VMs confirmed it.
RolloutReport
makeRolloutReport(const ActiveDeclarations &F,
                  const std::map<VmId, Revision> &ConfirmedRevisions,
                  Revision R) {
  std::map<ZoneId, bool> AllConfirmed;
  RolloutReport Report;
  for (const auto &[Id, Vm] : F.Declarations_.Vms_) {
    auto Found = ConfirmedRevisions.find(Id);
    bool Confirmed = Found != ConfirmedRevisions.end() && Found->second >= R;
    AllConfirmed.try_emplace(Vm.Zone_, true);
    AllConfirmed[Vm.Zone_] = AllConfirmed[Vm.Zone_] && Confirmed;
    if (!Confirmed)
      Report.Unconfirmed_.push_back(Id);
  }
  for (const auto &[Zone, All] : AllConfirmed)
    if (All)
      Report.Zones_.push_back(Zone);
  return Report;
}

std::string lagReason(const MemberView *Member) {
  if (!Member || Member->Incarnation_ == Incarnation())
    return "no contact with this VM yet";
  if (Member->State_ == VmState::Dead || Member->State_ == VmState::Suspect)
    return "does not answer";
  return "has not confirmed the revision yet";
}

} // namespace

Control::Control(const Settings &S, Incarnation I, const Clock &C, Transport &T,
                 ActiveDeclarationsHolder &Active, MembershipHost &M)
    : Settings_(S), Clock_(C), Active_(Active), Members_(M),
      Feed_(S, I, C, T, Active, M),
      Replica_(openReplica(
          S, C, T,
          [this](const Catalog &State, const Change *Cause) {
            Feed_.onCatalogChange(State, Cause);
          },
          ReplicaFault_)),
      Router_(S.Vm_, S.InitialVoters_, Replica_.get(), C, T),
      ProposalWorker_("control.propose", Duration::seconds(1), [] {}) {}

Control::~Control() { stop(); }

void Control::start() {
  Feed_.start();
  if (Replica_)
    Replica_->start();
  ProposalWorker_.start();
}

void Control::stop() {
  ProposalWorker_.stop();
  if (Replica_)
    Replica_->stop();
  Feed_.stop();
}

void Control::receive(Envelope Message) {
  if (Message.Channel_ == Channel::Forward)
    Router_.receive(Message);
  else if (Message.Channel_ != Channel::Replication)
    Feed_.receive(std::move(Message));
  else if (Replica_)
    Replica_->receive(std::move(Message));
}

ChangeReply Control::submit(const Change &C, Duration Wait) {
  return Router_.submit(C, Wait);
}

void Control::propose(Change C) {
  ProposalWorker_.post(
      [this, C = std::move(C)] { submit(C, ProposalTimeout); });
}

void Control::tick() {
  Feed_.tick(leaderView());
  proposeView();
  logWithdrawals();
}

/// If this VM leads, proposes the withdrawals that it received by gossip or
/// from an operator and that are not yet in the log.
void Control::logWithdrawals() {
  Time Now = Clock_.now();
  if (Now < NextWithdrawalLog_)
    return;
  NextWithdrawalLog_ = Now + WithdrawalLogInterval;
  if (!leaderView().IsLeader_)
    return;
  for (const KeyId &Key : Feed_.unloggedWithdrawals()) {
    Change C;
    C.Id_ = ChangeId("withdraw-" + Key.str());
    C.Kind_ = ChangeKind::WithdrawKey;
    C.Key_.Id_ = Key;
    propose(C);
  }
}

KeyVerdict Control::keyVerdict(const KeyDecl &Key) const {
  auto F = Active_.get();
  auto Team = F->Declarations_.Teams_.find(Key.Team_);
  Duration CutOffFor;
  if (Team != F->Declarations_.Teams_.end())
    CutOffFor = Team->second.CutOffKeysFor_;
  return Feed_.verdict(Key.Id_, CutOffFor);
}

void Control::proposeView() {
  auto F = Active_.get();
  if (F->Revision_ == Revision())
    return;
  auto View = viewToPropose(ViewProposer_, *F, *Members_.view(),
                            Settings_.Zone_, Settings_.Vm_, Clock_.now());
  if (!View)
    return;
  Change C;
  C.Id_ = ChangeId("view-" + Settings_.Vm_.str() + "-" +
                   std::to_string(Clock_.unixMillis()));
  C.Kind_ = ChangeKind::SetView;
  C.View_ = *View;
  propose(C);
}

ChangeReply Control::withdrawKey(const Change &C, Duration Wait) {
  Feed_.withdraw(C.Key_.Id_);
  try {
    return submit(C, Wait);
  } catch (const UnavailableError &) {
    // Withdrawals spread by gossip without a leader; the next leader logs them.
    return {ChangeVerdict::Accepted, Active_.get()->Revision_,
            "withdrawn at this VM and spreading to the others; not yet logged "
            "by a leader"};
  }
}

ChangeReply Control::grantKey(const Change &C, Duration Wait) {
  auto F = Active_.get();
  if (!F->Declarations_.Teams_.count(C.Key_.Team_))
    return {ChangeVerdict::Invalid, F->Revision_,
            "no such team in the declarations: " + C.Key_.Team_.str()};
  if (F->Declarations_.Keys_.count(C.Key_.Id_))
    return {ChangeVerdict::Conflict, F->Revision_, "the key id already exists"};
  return submit(C, Wait);
}

std::string Control::changeVoter(const VoterChange &V, Duration) {
  if (!Replica_)
    return "this VM has no replica; ask the leader";
  if (V.Action_ == "add")
    return Replica_->addVoter(V.Vm_);
  if (V.Action_ == "remove")
    return Replica_->removeVoter(V.Vm_);
  return replaceVoter(V);
}

/// Adds the new voter before removing the old one. A VM that came back with a
/// new disk is replaced by itself, so it has to be removed first.
std::string Control::replaceVoter(const VoterChange &V) {
  bool SameVm = V.Vm_ == V.Replacement_;
  std::string Refusal = SameVm ? Replica_->removeVoter(V.Vm_)
                               : Replica_->addVoter(V.Replacement_);
  if (Refusal.empty())
    ProposalWorker_.post([this, V, SameVm] { finishReplacement(V, SameVm); });
  return Refusal;
}

void Control::finishReplacement(const VoterChange &V, bool SameVm) {
  Time Deadline = Clock_.now() + ReplaceTimeout;
  std::string Refusal = "second step not attempted";
  while (!Refusal.empty() && Clock_.now() < Deadline) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(ReplacePollInterval.count()));
    if (!leaderView().IsLeader_)
      break;
    bool IsVoter = leaderView().Voters_.count(V.Replacement_) > 0;
    if (SameVm)
      Refusal = Replica_->addVoter(V.Replacement_);
    else if (IsVoter)
      Refusal = Replica_->removeVoter(V.Vm_);
  }
  if (!Refusal.empty())
    log({.Level_ = LogLevel::Warning,
         .Step_ = "control.replace",
         .Message_ =
             "the voter was not replaced; repeat the command: " + Refusal,
         .Peer_ = V.Replacement_.str()});
}

/// \returns the newest revision that each VM confirmed to this one, by the
/// feed or by membership.
std::map<VmId, Revision> Control::confirmedRevisions() const {
  std::map<VmId, Revision> Newest = Feed_.confirmedRevisions();
  for (const auto &[Vm, Member] : Members_.view()->Vms_)
    Newest[Vm] = std::max(Newest[Vm], Member.Revision_);
  return Newest;
}

RolloutReport Control::awaitRollout(Revision R, Duration Wait) {
  Time Deadline = Clock_.now() + Wait;
  while (true) {
    auto F = Active_.get();
    RolloutReport Report = makeRolloutReport(*F, confirmedRevisions(), R);
    if (Report.Unconfirmed_.empty() || Clock_.now() >= Deadline)
      return Report;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(RolloutPollInterval.count()));
  }
}

bool Control::isDeclared(const Drain &D) const {
  auto F = Active_.get();
  switch (D.Scope_) {
  case DrainScope::Region:
    return F->Declarations_.Regions_.count(RegionId(D.Id_)) > 0;
  case DrainScope::Zone:
    return F->Declarations_.Zones_.count(ZoneId(D.Id_)) > 0;
  case DrainScope::Vm:
    return F->Declarations_.Vms_.count(VmId(D.Id_)) > 0;
  }
  return false;
}

std::pair<Revision, std::string> Control::declarationsText() const {
  return Feed_.declarationsText();
}

std::string Control::whyNotReady() const { return Feed_.whyNotReady(); }

LeaderView Control::leaderView() const {
  if (Replica_)
    return Replica_->leaderView();
  LeaderView View;
  View.Voters_ = {Settings_.InitialVoters_.begin(),
                  Settings_.InitialVoters_.end()};
  return View;
}

std::vector<VmStatus>
Control::vmRows(const ActiveDeclarations &F, const FleetView &Fleet,
                const std::map<VmId, Revision> &ConfirmedRevisions) const {
  std::vector<VmStatus> Rows;
  for (const auto &[Id, Vm] : F.Declarations_.Vms_) {
    auto Found = Fleet.Vms_.find(Id);
    const MemberView *Member =
        Found == Fleet.Vms_.end() ? nullptr : &Found->second;
    VmStatus Row{Id, Vm.Zone_, "dead", Revision(), ""};
    if (Member) {
      Row.State_ = toString(Member->State_);
      Row.Revision_ = ConfirmedRevisions.at(Id);
    }
    if (Row.Revision_ < F.Revision_)
      Row.LagReason_ = lagReason(Member);
    Rows.push_back(Row);
  }
  return Rows;
}

ControlStatus Control::status() {
  ControlStatus Out;
  Out.Vm_ = Settings_.Vm_;
  Out.Zone_ = Settings_.Zone_;
  Out.WhyNotReady_ = whyNotReady();
  Out.Revision_ = Active_.get()->Revision_;
  auto Fleet = Members_.view();
  Out.Contact_ = toString(Fleet->Contact_);
  Out.Readiness_ = toString(Feed_.readiness());
  Out.Vms_ = vmRows(*Active_.get(), *Fleet, confirmedRevisions());
  for (const UpstreamRecord &U : Fleet->Upstreams_)
    Out.Upstreams_.push_back({U.Key_.Service_, U.Key_.Upstream_, U.Zone_,
                              "serving", U.Slots_, U.Load_});
  if (!ReplicaFault_.empty())
    Out.Repair_ = ReplicaStoppedText + ReplicaFault_;
  if (!Replica_)
    return Out;
  ReplicaStatus Replica = Replica_->status();
  Out.Leader_ = Replica.Leader_;
  Out.Term_ = Replica.Term_;
  bool IsLeader = Replica.Role_ == ReplicaRole::Leader;
  if (!Replica.Fault_.empty())
    Out.Repair_ = ReplicaStoppedText + Replica.Fault_;
  else if (!IsLeader)
    Out.Repair_ = "known only to the leader";
  else
    Out.Repair_ =
        Replica.SurvivesOneLoss_ ? "loses nothing" : "may lose changes";
  for (const Voter &V : Replica.Config_.Voters_)
    Out.Voters_.push_back(
        {V.Vm_, V.Vm_ == Replica.Leader_ ? "leader" : "voter",
         V.Vm_ == Settings_.Vm_ ? Replica.LastIndex_ : Replica.Match_[V.Vm_]});
  for (const VmId &Vm : Replica.Config_.Learners_)
    Out.Voters_.push_back({Vm, "learner", Replica.Match_[Vm]});
  return Out;
}

} // namespace lagoonpoint
