#include "lagoonpoint/src/Node/Control.h"

#include "lagoonpoint/Log"

#include <chrono>
#include <thread>

namespace lagoonpoint {

namespace {

constexpr Duration ProposeWait = Duration::seconds(3);
constexpr Duration LogEvery = Duration::seconds(1);
constexpr Duration ReplaceLimit = Duration::seconds(120);
constexpr Duration ReplacePoll = Duration::millis(200);
/// What status says of a replica that doesn't run.
const std::string StoppedText = "this VM's replica stopped: ";
/// Step of the error that a folder in use raises.
constexpr const char *LockStep = "disk.lock";
constexpr Duration ForcePoll = Duration::millis(20);

/// A damaged or failing disk costs the VM its vote, not its service. A folder
/// that another process holds ends the start.
/// \param[out] Fault why there is no replica though the VM has a disk
std::unique_ptr<ReplicaHost> makeHost(const Settings &S, const Clock &C,
                                      Transport &T, ReplicaHost::Observer O,
                                      std::string &Fault) {
  if (S.DataFolder_.empty())
    return nullptr;
  try {
    return std::make_unique<ReplicaHost>(S, C, T, std::move(O));
  } catch (const DiskError &E) {
    if (E.step() == LockStep)
      throw;
    logError(E);
    Fault = E.what();
    return nullptr;
  }
}

/// \returns where a revision is in force, as the VMs reported it.
ForceReport forceReport(const InForce &F,
                        const std::map<VmId, Revision> &Confirmations,
                        Revision R) {
  std::map<ZoneId, bool> Whole;
  ForceReport Report;
  for (const auto &[Id, Vm] : F.Declared_.Vms_) {
    auto Found = Confirmations.find(Id);
    bool Confirmed = Found != Confirmations.end() && Found->second >= R;
    Whole.try_emplace(Vm.Zone_, true);
    Whole[Vm.Zone_] = Whole[Vm.Zone_] && Confirmed;
    if (!Confirmed)
      Report.Unconfirmed_.push_back(Id);
  }
  for (const auto &[Zone, All] : Whole)
    if (All)
      Report.Zones_.push_back(Zone);
  return Report;
}

std::string whyLagging(const MemberView *Member) {
  if (!Member || Member->Incarnation_ == Incarnation())
    return "never heard of";
  if (Member->State_ == VmState::Dead || Member->State_ == VmState::Suspect)
    return "doesn't answer";
  return "has not reported it yet";
}

} // namespace

Control::Control(const Settings &S, Incarnation I, const Clock &C, Transport &T,
                 InForceCell &Cell, MemberHost &M)
    : Settings_(S), Clock_(C), InForce_(Cell), Members_(M),
      Feed_(S, I, C, T, Cell, M),
      Host_(makeHost(
          S, C, T,
          [this](const Catalog &State, const Change *Cause) {
            Feed_.observe(State, Cause);
          },
          ReplicaFault_)),
      Router_(S.Vm_, S.InitialVoters_, Host_.get(), C, T),
      Proposer_("control.propose", Duration::seconds(1), [] {}) {}

Control::~Control() { stop(); }

void Control::start() {
  Feed_.start();
  if (Host_)
    Host_->start();
  Proposer_.start();
}

void Control::stop() {
  Proposer_.stop();
  if (Host_)
    Host_->stop();
  Feed_.stop();
}

void Control::receive(Envelope Message) {
  if (Message.Channel_ == Channel::Forward)
    Router_.receive(Message);
  else if (Message.Channel_ != Channel::Replication)
    Feed_.receive(std::move(Message));
  else if (Host_)
    Host_->receive(std::move(Message));
}

ChangeReply Control::submit(const Change &C, Duration Wait) {
  return Router_.submit(C, Wait);
}

void Control::propose(Change C) {
  Proposer_.post([this, C = std::move(C)] { submit(C, ProposeWait); });
}

void Control::tick() {
  Feed_.tick(leaderView());
  keepView();
  logWithdrawals();
}

/// The leader logs the withdrawals that reached it by another way.
void Control::logWithdrawals() {
  Time Now = Clock_.now();
  if (Now < NextLogging_)
    return;
  NextLogging_ = Now + LogEvery;
  if (!leaderView().Leading_)
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
  auto F = InForce_.get();
  auto Team = F->Declared_.Teams_.find(Key.Team_);
  Duration CutOffFor;
  if (Team != F->Declared_.Teams_.end())
    CutOffFor = Team->second.CutOffKeysFor_;
  return Feed_.verdict(Key.Id_, CutOffFor);
}

void Control::keepView() {
  auto F = InForce_.get();
  if (F->Revision_ == Revision())
    return;
  auto View = viewToPropose(Keeper_, *F, *Members_.view(), Settings_.Zone_,
                            Settings_.Vm_, Clock_.now());
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
    // It spreads without a leader, and the next leader logs it.
    return {ChangeVerdict::Accepted, InForce_.get()->Revision_,
            "withdrawn at this VM and spreading; no leader has logged it yet"};
  }
}

ChangeReply Control::grantKey(const Change &C, Duration Wait) {
  auto F = InForce_.get();
  if (!F->Declared_.Teams_.count(C.Key_.Team_))
    return {ChangeVerdict::Invalid, F->Revision_,
            "the declarations name no team " + C.Key_.Team_.str()};
  if (F->Declared_.Keys_.count(C.Key_.Id_))
    return {ChangeVerdict::Conflict, F->Revision_, "the key exists"};
  return submit(C, Wait);
}

std::string Control::changeVoter(const VoterChange &V, Duration) {
  if (!Host_)
    return "this VM has no replica; ask the leader";
  if (V.Action_ == "add")
    return Host_->addVoter(V.Vm_);
  if (V.Action_ == "remove")
    return Host_->removeVoter(V.Vm_);
  return replaceVoter(V);
}

/// Adds the new voter before it removes the old one; a VM that came back with
/// another disk has to be removed first.
std::string Control::replaceVoter(const VoterChange &V) {
  bool SameVm = V.Vm_ == V.With_;
  std::string Refused =
      SameVm ? Host_->removeVoter(V.Vm_) : Host_->addVoter(V.With_);
  if (Refused.empty())
    Proposer_.post([this, V, SameVm] { finishReplacing(V, SameVm); });
  return Refused;
}

void Control::finishReplacing(const VoterChange &V, bool SameVm) {
  Time Deadline = Clock_.now() + ReplaceLimit;
  std::string Refused = "not tried";
  while (!Refused.empty() && Clock_.now() < Deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ReplacePoll.count()));
    if (!leaderView().Leading_)
      break;
    bool NewVotes = leaderView().Voters_.count(V.With_) > 0;
    if (SameVm)
      Refused = Host_->addVoter(V.With_);
    else if (NewVotes)
      Refused = Host_->removeVoter(V.Vm_);
  }
  if (!Refused.empty())
    log({.Level_ = LogLevel::Warning,
         .Step_ = "control.replace",
         .Message_ =
             "the voter was not replaced; repeat the command: " + Refused,
         .Peer_ = V.With_.str()});
}

/// \returns the newest revision that each VM confirmed to this one, by the
/// feed or by membership.
std::map<VmId, Revision> Control::confirmations() const {
  std::map<VmId, Revision> Newest = Feed_.confirmed();
  for (const auto &[Vm, Member] : Members_.view()->Vms_)
    Newest[Vm] = std::max(Newest[Vm], Member.Revision_);
  return Newest;
}

ForceReport Control::awaitInForce(Revision R, Duration Wait) {
  Time Deadline = Clock_.now() + Wait;
  while (true) {
    auto F = InForce_.get();
    ForceReport Report = forceReport(*F, confirmations(), R);
    if (Report.Unconfirmed_.empty() || Clock_.now() >= Deadline)
      return Report;
    std::this_thread::sleep_for(std::chrono::milliseconds(ForcePoll.count()));
  }
}

bool Control::declares(const Drain &D) const {
  auto F = InForce_.get();
  switch (D.Scope_) {
  case DrainScope::Region:
    return F->Declared_.Regions_.count(RegionId(D.Id_)) > 0;
  case DrainScope::Zone:
    return F->Declared_.Zones_.count(ZoneId(D.Id_)) > 0;
  case DrainScope::Vm:
    return F->Declared_.Vms_.count(VmId(D.Id_)) > 0;
  }
  return false;
}

std::pair<Revision, std::string> Control::declarationsText() const {
  return Feed_.declarationsText();
}

std::string Control::whyNotReady() const { return Feed_.whyNotReady(); }

LeaderView Control::leaderView() const {
  if (Host_)
    return Host_->leaderView();
  LeaderView View;
  View.Voters_ = {Settings_.InitialVoters_.begin(),
                  Settings_.InitialVoters_.end()};
  return View;
}

std::vector<VmStatus>
Control::vmRows(const InForce &F, const FleetView &Fleet,
                const std::map<VmId, Revision> &Confirmed) const {
  std::vector<VmStatus> Rows;
  for (const auto &[Id, Vm] : F.Declared_.Vms_) {
    auto Found = Fleet.Vms_.find(Id);
    const MemberView *Member =
        Found == Fleet.Vms_.end() ? nullptr : &Found->second;
    VmStatus Row{Id, Vm.Zone_, "dead", Revision(), ""};
    if (Member) {
      Row.State_ = toString(Member->State_);
      Row.Revision_ = Confirmed.at(Id);
    }
    if (Row.Revision_ < F.Revision_)
      Row.Why_ = whyLagging(Member);
    Rows.push_back(Row);
  }
  return Rows;
}

ControlStatus Control::status() {
  ControlStatus Out;
  Out.Vm_ = Settings_.Vm_;
  Out.Zone_ = Settings_.Zone_;
  Out.WhyNotReady_ = whyNotReady();
  Out.Revision_ = InForce_.get()->Revision_;
  auto Fleet = Members_.view();
  Out.Contact_ = toString(Fleet->Contact_);
  Out.Readiness_ = toString(Feed_.readiness());
  Out.Vms_ = vmRows(*InForce_.get(), *Fleet, confirmations());
  for (const UpstreamRecord &U : Fleet->Upstreams_)
    Out.Upstreams_.push_back({U.Key_.Service_, U.Key_.Upstream_, U.Zone_,
                              "serving", U.Slots_, U.Load_});
  if (!ReplicaFault_.empty())
    Out.Repair_ = StoppedText + ReplicaFault_;
  if (!Host_)
    return Out;
  ReplicaStatus Replica = Host_->status();
  Out.Leader_ = Replica.Leader_;
  Out.Term_ = Replica.Term_;
  bool Leads = Replica.Role_ == ReplicaRole::Leader;
  if (!Replica.Fault_.empty())
    Out.Repair_ = StoppedText + Replica.Fault_;
  else if (!Leads)
    Out.Repair_ = "known to the leader";
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
