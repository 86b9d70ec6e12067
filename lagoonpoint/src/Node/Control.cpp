#include "lagoonpoint/src/Node/Control.h"

namespace lagoonpoint {

namespace {

std::unique_ptr<ReplicaHost> makeHost(const Settings &S, const Clock &C,
                                      Transport &T, ReplicaHost::Observer O) {
  if (S.DataFolder_.empty())
    return nullptr;
  return std::make_unique<ReplicaHost>(S, C, T, std::move(O));
}

} // namespace

Control::Control(const Settings &S, const Clock &C, Transport &T,
                 InForceCell &Cell, Upstreams &Ups)
    : Settings_(S), InForce_(Cell), Upstreams_(Ups),
      Host_(makeHost(S, C, T,
                     [this](const Catalog &State, const Change *Cause) {
                       onCatalog(State, Cause);
                     })),
      Router_(S.Vm_, S.InitialVoters_, Host_.get(), C, T) {}

Control::~Control() { stop(); }

void Control::start() {
  if (Host_)
    Host_->start();
}

void Control::stop() {
  if (Host_)
    Host_->stop();
}

void Control::receive(Envelope Message) {
  if (Message.Channel_ == Channel::Forward)
    Router_.receive(Message);
  else if (Message.Channel_ == Channel::Replication && Host_)
    Host_->receive(std::move(Message));
}

void Control::onCatalog(const Catalog &State, const Change *) {
  auto Next = prepare(State);
  std::lock_guard Guard(Lock_);
  Catalog_ = State;
  InForce_.set(Next);
}

ChangeReply Control::submit(const Change &C, Duration Wait) {
  return Router_.submit(C, Wait);
}

ChangeReply Control::withdrawKey(const Change &C, Duration Wait) {
  return submit(C, Wait);
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
    return "this VM has no replica; ask the leader, VM " +
           leaderView().Leader_.str();
  if (V.Action_ == "add")
    return Host_->addVoter(V.Vm_);
  if (V.Action_ == "remove")
    return Host_->removeVoter(V.Vm_);
  return Host_->addVoter(V.With_);
}

ForceReport Control::awaitInForce(Revision, Duration) { return {}; }

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
  std::lock_guard Guard(Lock_);
  return {Catalog_.Revision_, Catalog_.Text_};
}

std::string Control::whyNotReady() const {
  if (InForce_.get()->Revision_ == Revision())
    return "no declarations are in force yet";
  return "";
}

LeaderView Control::leaderView() const {
  return Host_ ? Host_->leaderView() : LeaderView();
}

ControlStatus Control::status() {
  ControlStatus Out;
  Out.Vm_ = Settings_.Vm_;
  Out.Zone_ = Settings_.Zone_;
  Out.WhyNotReady_ = whyNotReady();
  Out.Revision_ = InForce_.get()->Revision_;
  for (const Announcement &A : Upstreams_.list())
    Out.Upstreams_.push_back({A.Service_, A.Upstream_, Settings_.Zone_,
                              A.Leaving_ ? "leaving" : "serving", A.Slots_,
                              A.Load_});
  if (!Host_)
    return Out;
  ReplicaStatus Replica = Host_->status();
  Out.Leader_ = Replica.Leader_;
  Out.Term_ = Replica.Term_;
  Out.Repair_ = Replica.SurvivesOneLoss_ ? "loses nothing" : "may lose changes";
  for (const Voter &V : Replica.Config_.Voters_)
    Out.Voters_.push_back(
        {V.Vm_, V.Vm_ == Replica.Leader_ ? "leader" : "voter",
         V.Vm_ == Settings_.Vm_ ? Replica.LastIndex_ : Replica.Match_[V.Vm_]});
  for (const VmId &Vm : Replica.Config_.Learners_)
    Out.Voters_.push_back({Vm, "learner", Replica.Match_[Vm]});
  return Out;
}

} // namespace lagoonpoint
