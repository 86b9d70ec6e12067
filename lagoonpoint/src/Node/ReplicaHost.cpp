#include "lagoonpoint/src/Node/ReplicaHost.h"

#include "lagoonpoint/Log"

namespace lagoonpoint {

namespace {

constexpr Duration TickEvery = Duration::millis(25);
constexpr const char *VoterFolder = "/voter";

ReplicaOptions optionsOf(const Settings &S) {
  ReplicaOptions Options;
  Options.Self_ = S.Vm_;
  Options.InitialVoters_ = S.InitialVoters_;
  Options.Seed_ = std::random_device()();
  return Options;
}

} // namespace

ReplicaHost::ReplicaHost(const Settings &S, const Clock &C, Transport &T,
                         Observer O)
    : Clock_(C), Transport_(T), Observer_(std::move(O)),
      Files_(S.DataFolder_ + VoterFolder), Storage_(Files_, randomDiskId()),
      Replica_(std::make_unique<Replica>(optionsOf(S), Storage_, C.now())),
      Worker_("replica.run", TickEvery, [this] { tick(); }) {
  for (const std::string &Line : Replica_->recoveryMessages())
    log({.Level_ = LogLevel::Warning,
         .Step_ = "replica.recover",
         .Message_ = Line});
  settle();
}

ReplicaHost::~ReplicaHost() { stop(); }

void ReplicaHost::start() { Worker_.start(); }

void ReplicaHost::stop() { Worker_.stop(); }

void ReplicaHost::receive(Envelope Message) {
  Worker_.post([this, M = std::move(Message)] {
    Replica_->receive(M, Clock_.now());
    settle();
  });
}

void ReplicaHost::submit(Change C, SubmitDone Done) {
  Worker_.post([this, C = std::move(C), Done = std::move(Done)] {
    SubmitResult NotHere{.Leader_ = Replica_->leaderHint()};
    if (!Replica_->isLeader() || !Replica_->leaseValid(Clock_.now()))
      return Done(NotHere);
    if (auto Kept = findReply(Catalog_, C.Id_))
      return Done({true, *Kept, {}});
    // A resend of a change that is on its way waits for the same entry.
    for (const auto &[Index, Other] : Waiting_)
      if (Other.Id_ == C.Id_) {
        Waiting_.emplace(Index, Waiting{C.Id_, Done});
        return;
      }
    std::string Fault = C.Kind_ == ChangeKind::PatchItems
                            ? validatePatch(Catalog_.Items_, C.Items_)
                            : validateChange(C);
    if (!Fault.empty())
      return Done(
          {true, {ChangeVerdict::Invalid, Catalog_.Revision_, Fault}, {}});
    ProposeResult Result =
        Replica_->propose(encode(makeSplice(Catalog_, C)), Clock_.now());
    if (!Result.accepted())
      return Done(NotHere);
    Waiting_.emplace(Result.Index_, Waiting{C.Id_, Done});
    settle();
  });
}

std::string ReplicaHost::outcome(const ProposeResult &Result) {
  settle();
  if (Result.accepted())
    return "";
  std::string Why = toString(Result.Refusal_);
  if (Result.Refusal_ == ProposeRefusal::NotLeader && !Result.Leader_.empty())
    Why += "; ask VM " + Result.Leader_.str();
  return Why;
}

std::string ReplicaHost::addVoter(const VmId &Vm) {
  return Worker_.call(
      [this, Vm] { return outcome(Replica_->addLearner(Vm, Clock_.now())); });
}

std::string ReplicaHost::removeVoter(const VmId &Vm) {
  return Worker_.call(
      [this, Vm] { return outcome(Replica_->remove(Vm, Clock_.now())); });
}

LeaderView ReplicaHost::leaderView() const {
  std::lock_guard Guard(ViewLock_);
  return View_;
}

ReplicaStatus ReplicaHost::status() {
  return Worker_.call([this] { return Replica_->status(Clock_.now()); });
}

void ReplicaHost::tick() {
  Replica_->tick(Clock_.now());
  promoteLearners();
  settle();
}

/// Each learner was added to become a voter; it votes once it is durable.
void ReplicaHost::promoteLearners() {
  if (!Replica_->isLeader())
    return;
  ReplicaStatus Status = Replica_->status(Clock_.now());
  if (Status.ChangeInProgress_ || Status.Config_.Learners_.empty())
    return;
  Replica_->promote(Status.Config_.Learners_.front(), Clock_.now());
}

void ReplicaHost::settle() {
  // Whoever counts on a message of this VM can count on its view, too.
  publishView();
  for (Envelope &Message : Replica_->takeOutbox())
    Transport_.send(std::move(Message));
  for (const CommittedItem &Item : Replica_->takeCommitted())
    applyItem(Item);
  Delivered_ = Replica_->state().Commit_;
  answerWaiting();
  if (Replica_->wantsSnapshot())
    Replica_->snapshot(encode(Catalog_), Clock_.now());
  publishView();
}

void ReplicaHost::applyItem(const CommittedItem &Item) {
  Applied_ = Item.Index_;
  if (Item.IsSnapshot_) {
    Catalog_ = decode<Catalog>(Item.Bytes_, "replica.snapshot", "");
    Observer_(Catalog_, nullptr);
    return;
  }
  Change C = decode<Change>(Item.Bytes_, "replica.apply", "");
  Revision Before = Catalog_.Revision_;
  ChangeReply Reply = applyChange(Catalog_, C);
  if (Catalog_.Revision_ == Before)
    return;
  log({.Step_ = "replica.apply",
       .Message_ = "change " + C.Id_.str() + " accepted",
       .Revision_ = Reply.Revision_});
  Observer_(Catalog_, &C);
}

void ReplicaHost::answerWaiting() {
  auto End = Waiting_.upper_bound(Applied_);
  for (auto It = Waiting_.begin(); It != End; It = Waiting_.erase(It)) {
    SubmitResult Result{.Leader_ = Replica_->leaderHint()};
    if (auto Kept = findReply(Catalog_, It->second.Id_))
      Result = {true, *Kept, {}};
    It->second.Done_(Result);
  }
}

std::vector<std::string> ReplicaHost::teamsOfTail() const {
  std::vector<std::string> Out;
  for (const LogEntry &E : Replica_->state().Log_.tailAfter(Delivered_)) {
    if (E.Kind_ != EntryKind::Command)
      continue;
    Change C = decode<Change>(E.Bytes_, "replica.tail", "");
    for (const auto &[Name, Team] : C.Items_.Teams_)
      Out.push_back(Name);
  }
  return Out;
}

void ReplicaHost::publishView() {
  Time Now = Clock_.now();
  ReplicaStatus Status = Replica_->status(Now);
  if (Status.Fault_ != LoggedFault_) {
    LoggedFault_ = Status.Fault_;
    log({.Level_ = LogLevel::Error,
         .Step_ = "replica.stop",
         .Message_ = Status.Fault_});
  }
  std::vector<std::string> Doubtful = teamsOfTail();
  std::lock_guard Guard(ViewLock_);
  View_.Doubtful_ = std::move(Doubtful);
  View_.Leader_ = Status.Leader_;
  View_.Term_ = Status.Term_;
  View_.Leading_ = Replica_->isLeader() && Replica_->leaseValid(Now);
  View_.Revision_ = Catalog_.Revision_;
  View_.Voters_.clear();
  for (const Voter &V : Status.Config_.Voters_)
    View_.Voters_.insert(V.Vm_);
  View_.Applied_ = Delivered_;
  View_.Last_ = Status.LastIndex_;
  View_.ConfigAt_ = Replica_->state().Log_.configIndex();
  View_.Config_ = Status.Config_;
  View_.Disk_ = Status.Disk_;
  View_.LeadsUntil_ = leaseEnd(Replica_->state(), Now).value_or(Time());
}

} // namespace lagoonpoint
